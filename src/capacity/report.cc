#include "capacity/report.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "capacity/two_year_size.h"

namespace covewing::capacity {

namespace {

using Json = nlohmann::ordered_json;

constexpr double kBytesPerMegabyte = 1e6;

/// Rounds to at most six significant digits, so that lines stay readable.
double rounded(double value) {
  constexpr double kDigits = 6;
  if (value == 0 || !std::isfinite(value)) return 0;
  const double scale = std::pow(10.0, kDigits - std::ceil(std::log10(std::abs(value))));
  return std::round(value * scale) / scale;
}

template <class Value>
void addLine(const Slope& slope, const std::string& metric, const LineFit& fit, Value value,
             std::vector<std::string>& lines) {
  Json x = Json::array();
  Json values = Json::array();
  bool zero = true;
  for (const Sample& sample : slope.samples) {
    const double figure = value(sample);
    zero = zero && figure == 0;
    x.push_back(rounded(sample.x));
    values.push_back(rounded(figure));
  }
  if (zero) return;
  Json line;
  line["slope"] = toString(slope.dimension);
  line["metric"] = metric;
  line["per_unit"] = rounded(fit.slope);
  line["intercept"] = rounded(fit.intercept);
  line["residual"] = rounded(fit.residual);
  line["x"] = std::move(x);
  line["values"] = std::move(values);
  lines.push_back(line.dump());
}

Json spreadJson(const Spread& spread) {
  return {{"mean", rounded(spread.mean)},
          {"p99", rounded(spread.p99)},
          {"worst", rounded(spread.worst)}};
}

Json secondsJson(const std::optional<base::Duration>& duration) {
  return duration ? Json(rounded(base::toSeconds(*duration))) : Json();
}

}  // namespace

std::vector<std::string> slopeLines(const Slope& slope) {
  std::vector<std::string> lines;
  addLine(
      slope, "bytes_per_s", slope.totalBytes(),
      [](const Sample& sample) { return sample.usage.totalBytes(); }, lines);
  for (std::size_t index = 0; index < kTrafficCount; ++index) {
    const auto traffic = static_cast<Traffic>(index);
    addLine(
        slope, "bytes_per_s." + std::string(toString(traffic)), slope.bytes(traffic),
        [index](const Sample& sample) { return sample.usage.bytes.at(index); }, lines);
  }
  constexpr double kNanosecondsPerPercent = 1e7;
  addLine(
      slope, "cpu_percent", slope.cpuPercent(),
      [](const Sample& sample) { return sample.usage.cpuNanoseconds / kNanosecondsPerPercent; },
      lines);
  addLine(
      slope, "memory_bytes", slope.memoryBytes(),
      [](const Sample& sample) { return sample.memoryBytes; }, lines);
  return lines;
}

std::string budgetLine(const RoleBudget& role) {
  Json line;
  line["budget"] = role.role == "sum" ? "sum" : "role";
  line["role"] = role.role;
  line["bytes_per_s"] = rounded(role.bytesPerSecond);
  line["cpu_percent"] = rounded(role.cpuPercent);
  line["memory_mb"] = rounded(role.memoryMegabytes);
  line["limit_bytes_per_s"] = kLimitBytesPerSecond;
  line["limit_cpu_percent"] = kLimitCpuPercent;
  line["limit_memory_mb"] = kLimitMemoryMegabytes;
  line["within"] = role.within();
  return line.dump();
}

std::string hollowLine(const HollowResult& result) {
  Json line;
  line["hollow"] = "fleet";
  line["seed"] = result.size.seed;
  line["nodes"] = result.size.nodes;
  line["engines"] = result.size.engines;
  line["blocks"] = result.size.engines * static_cast<std::size_t>(result.size.blocksPerEngine);
  line["tenants"] = result.size.tenants;
  line["events_per_s"] = result.size.eventsPerSecond;
  line["published_events_per_s"] = rounded(result.publishedPerSecond);
  line["requests_per_s"] = result.size.requestsPerSecond;
  line["claims_per_s"] = result.size.claimsPerSecond;
  line["changes_per_s"] = rounded(result.size.changesPerSecond);
  line["warm_up_s"] = base::toSeconds(result.warmUp);
  line["span_s"] = base::toSeconds(result.span);
  line["bytes_per_s"] = spreadJson(result.bytes);
  Json bytes;
  for (std::size_t index = 0; index < kTrafficCount; ++index) {
    bytes[std::string(toString(static_cast<Traffic>(index)))] =
        rounded(result.mean.bytes.at(index));
  }
  line["mean_bytes_per_s"] = std::move(bytes);
  line["cpu_percent"] = spreadJson(result.cpuPercent);
  line["memory_mb"] = rounded(result.memoryBytes / kBytesPerMegabyte);
  line["nodes_that_see_all"] = result.nodesThatSeeAll;
  line["nodes_ready"] = result.nodesReady;
  line["answered"] = result.outcome.answered;
  line["refused"] = result.outcome.refused;
  Json refusals = Json::object();
  for (const auto& [code, count] : result.outcome.refusals) {
    refusals[std::to_string(static_cast<int>(code))] = count;
  }
  line["refusals"] = std::move(refusals);
  const auto reusable = static_cast<double>(result.outcome.reusableBlocks);
  line["hit_rate"] =
      reusable > 0 ? Json(rounded(static_cast<double>(result.outcome.reusedBlocks) / reusable))
                   : Json();
  line["change_everywhere_s"] = secondsJson(result.changeEverywhere);
  line["death_everywhere_s"] = secondsJson(result.deathEverywhere);
  line["own_cpu_s"] = rounded(result.ownCpuSeconds);
  Json failures = Json::array();
  for (const auto& failure : result.failures) {
    Json entry;
    entry["name"] = failure.name;
    entry["extra_bytes"] = rounded(failure.extraBytes);
    entry["worst_second_bytes"] = rounded(failure.worstSecondBytes);
    entry["repaired_after_s"] = secondsJson(failure.repairedAfter);
    failures.push_back(std::move(entry));
  }
  line["failures"] = std::move(failures);
  return line.dump();
}

}  // namespace covewing::capacity
