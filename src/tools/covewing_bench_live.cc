/// \file
/// covewing-bench live: runs a load test over HTTP against running nodes, measures latency and
/// throughput, and checks the responses.
#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "sim/checkers.h"
#include "tools/covewing_bench.h"
#include "tools/covewing_bench_live_load.h"
#include "tools/covewing_bench_live_options.h"

namespace covewing::tools {

namespace {

constexpr base::Duration kAdminTimeout = std::chrono::seconds(10);
constexpr std::size_t kExecutionsPerPage = 10'000;

/// Appends the entries of the emulator's execution log to `history`, starting with entry `from`,
/// and advances `from` past the last entry read. With a null `history` it only advances `from`.
/// Returns false if the log cannot be fetched.
bool readExecutions(boost::asio::io_context& context, const base::Endpoint& admin,
                    std::uint64_t& from, sim::History* history) {
  live::HttpClient http(context);
  for (bool more = true; more;) {
    live::HttpRequest request;
    request.method = "GET";
    request.target = fmt::format("/admin/executions?from={}&limit={}", from, kExecutionsPerPage);
    std::optional<live::HttpResult> result;
    http.fetch(admin, request, kAdminTimeout,
               [&result](live::HttpResult fetched) { result = std::move(fetched); });
    while (!result.has_value()) context.run_one();
    const auto* response = std::get_if<live::HttpResponse>(&*result);
    if (response == nullptr) return false;
    const auto json = nlohmann::json::parse(response->body, nullptr, false);
    if (!json.is_object() || !json.contains("executions")) return false;
    for (const auto& entry : json["executions"]) {
      if (history == nullptr || entry.value("kind", "") != "accepted") continue;
      sim::EngineExecution& execution = history->executions.emplace_back();
      execution.record.requestId.value = entry.value("request_id", "");
      execution.record.attempt = entry.value("attempt", 0U);
      execution.record.engine = base::engineIdOf(entry.value("back_end", ""));
      execution.record.promptTokens = entry.value("prompt_tokens", 0U);
    }
    more = json["executions"].size() == kExecutionsPerPage;
    from = json.value("next", from);
  }
  return true;
}

void printMeasurements(std::string_view path, LiveMeasurements& measurements, double seconds) {
  fmt::print("{}: {} streams started, {} complete, {} failed; {:.1f} streams/s, {:.0f} tokens/s\n",
             path, measurements.started, measurements.complete, measurements.failed,
             static_cast<double>(measurements.complete) / seconds,
             static_cast<double>(measurements.tokens) / seconds);
  fmt::print("  first token ms:    p50 {:.2f}  p95 {:.2f}  p99 {:.2f}\n",
             measurements.firstToken.at(0.50), measurements.firstToken.at(0.95),
             measurements.firstToken.at(0.99));
  fmt::print("  between tokens ms: p50 {:.2f}  p95 {:.2f}  p99 {:.2f}\n",
             measurements.betweenTokens.at(0.50), measurements.betweenTokens.at(0.95),
             measurements.betweenTokens.at(0.99));
}

std::size_t printViolations(const std::vector<sim::Violation>& violations) {
  for (const sim::Violation& violation : violations) {
    fmt::print("violation of {}: {}\n", sim::toString(violation.promise), violation.detail);
  }
  return violations.size();
}

}  // namespace

int runLive(int argc, char** argv) {
  int exitStatus = kExitOk;
  const std::optional<LiveOptions> options = parseLiveOptions(argc, argv, exitStatus);
  if (!options.has_value()) return exitStatus;
  boost::asio::io_context context;
  std::uint64_t firstExecution = 0;
  if (options->admin.has_value() &&
      !readExecutions(context, *options->admin, firstExecution, nullptr)) {
    fmt::print(stderr, "covewing-bench live: the emulator's admin service does not answer\n");
    return kExitFailure;
  }
  LiveLoad load(context, *options);
  load.run();
  sim::History& history = load.history();
  const bool executionsKnown = options->admin.has_value() &&
                               readExecutions(context, *options->admin, firstExecution, &history);
  const double seconds = std::max(0.001, base::toSeconds(load.duration()));
  fmt::print("{:.1f} s, at most {} streams open\n", seconds, load.peakOpen());
  printMeasurements("through nodes", load.throughNodes(), seconds);
  if (!options->engines.empty()) {
    printMeasurements("straight to engines", load.directToEngines(), seconds);
    const auto added = [&](double quantile) {
      return load.throughNodes().firstToken.at(quantile) -
             load.directToEngines().firstToken.at(quantile);
    };
    fmt::print("added to the first token by nodes: p50 {:.2f} ms, p99 {:.2f} ms\n", added(0.50),
               added(0.99));
  }
  std::size_t violations = printViolations(sim::checkStreams(history));
  if (executionsKnown) {
    violations += printViolations(sim::checkAtMostOnce(history));
    violations += printViolations(sim::checkNotRun(history));
  }
  fmt::print("checked: {} streams{}; violations: {}\n", history.calls.size(),
             executionsKnown ? fmt::format(", {} executions", history.executions.size()) : "",
             violations);
  const bool anyComplete = load.throughNodes().complete > 0;
  return violations == 0 && anyComplete ? kExitOk : kExitFailure;
}

}  // namespace covewing::tools
