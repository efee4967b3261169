#include "tools/covewing_bench_live_options.h"

#include <fmt/format.h>
#include <getopt.h>

#include <array>
#include <charconv>
#include <cstdio>
#include <string_view>

#include "tools/covewing_bench.h"

namespace covewing::tools {

namespace {

constexpr std::string_view kHelp =
    R"(usage: covewing-bench live --node ADDRESS:PORT... --key KEY [OPTION]...
Streams completions through running nodes and prints throughput, time to first token and time
between tokens. Every answer is checked against what emulated engines answer to its prompt.

  --node ADDRESS:PORT         caller listener of a node; repeat for several
  --key KEY                   bearer key of a tenant
  --model NAME                model to ask for (default rules)
  --engine NAME=ADDRESS:PORT  engine that every second stream goes straight to; repeat for several
  --admin ADDRESS:PORT        admin service of the emulator: executions are checked too
  --streams N                 streams open at a time (default 50)
  --rate R                    start R streams a second instead, whatever is open
  --seconds S                 how long streams are started (default 10)
  --max-tokens N              tokens of an answer (default 64)
  --shared-tokens N           leading prompt tokens that all streams share (default 512)
  --own-tokens N              further prompt tokens (default 64)
  --seed N                    seed of the prompts (default 1)

Exit status: 0 when every promise held, 1 when not, 2 for a wrong command line.
)";

enum Flag : int {
  kNode = 1,
  kKey,
  kModel,
  kEngine,
  kAdmin,
  kStreams,
  kRate,
  kSeconds,
  kMaxTokens,
  kSharedTokens,
  kOwnTokens,
  kSeed,
  kHelpFlag,
};

constexpr std::array kFlags = {
    option{"node", required_argument, nullptr, kNode},
    option{"key", required_argument, nullptr, kKey},
    option{"model", required_argument, nullptr, kModel},
    option{"engine", required_argument, nullptr, kEngine},
    option{"admin", required_argument, nullptr, kAdmin},
    option{"streams", required_argument, nullptr, kStreams},
    option{"rate", required_argument, nullptr, kRate},
    option{"seconds", required_argument, nullptr, kSeconds},
    option{"max-tokens", required_argument, nullptr, kMaxTokens},
    option{"shared-tokens", required_argument, nullptr, kSharedTokens},
    option{"own-tokens", required_argument, nullptr, kOwnTokens},
    option{"seed", required_argument, nullptr, kSeed},
    option{"help", no_argument, nullptr, kHelpFlag},
    option{nullptr, 0, nullptr, 0},
};

constexpr double kMicrosecondsPerSecond = 1e6;
constexpr double kMaximumSeconds = 3600;

template <class Number>
bool readNumber(std::string_view text, Number& value) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc{} && end == text.data() + text.size() && value >= 0;
}

bool readEngine(std::string_view text, LiveOptions& options) {
  const std::size_t equals = text.find('=');
  if (equals == std::string_view::npos) return false;
  const auto endpoint = base::parseEndpoint(text.substr(equals + 1));
  if (!endpoint.has_value()) return false;
  const std::string name(text.substr(0, equals));
  options.engines.push_back({base::engineIdOf(name), name, *endpoint});
  return true;
}

bool readSeconds(std::string_view text, LiveOptions& options) {
  double seconds = 0;
  if (!readNumber(text, seconds) || seconds > kMaximumSeconds) return false;
  options.duration =
      base::Duration{static_cast<base::Duration::rep>(seconds * kMicrosecondsPerSecond)};
  return true;
}

bool readEndpointInto(std::string_view text, std::optional<base::Endpoint>& endpoint) {
  endpoint = base::parseEndpoint(text);
  return endpoint.has_value();
}

bool applyFlag(int flag, std::string_view value, LiveOptions& options) {
  switch (flag) {
    case kNode: {
      const auto endpoint = base::parseEndpoint(value);
      if (endpoint.has_value()) options.nodes.push_back(*endpoint);
      return endpoint.has_value();
    }
    case kKey:
      options.bearerKey = value;
      return true;
    case kModel:
      options.model = value;
      return true;
    case kEngine:
      return readEngine(value, options);
    case kAdmin:
      return readEndpointInto(value, options.admin);
    case kStreams:
      return readNumber(value, options.streams) && options.streams > 0;
    case kRate:
      return readNumber(value, options.rate);
    case kSeconds:
      return readSeconds(value, options);
    case kMaxTokens:
      return readNumber(value, options.maximumTokens) && options.maximumTokens > 0;
    case kSharedTokens:
      return readNumber(value, options.sharedTokens);
    case kOwnTokens:
      return readNumber(value, options.ownTokens) && options.ownTokens > 0;
    case kSeed:
      return readNumber(value, options.seed);
    default:
      return false;
  }
}

}  // namespace

std::optional<LiveOptions> parseLiveOptions(int argc, char** argv, int& exitStatus) {
  LiveOptions options;
  exitStatus = kExitUsage;
  int index = 0;
  for (int flag = 0; (flag = getopt_long(argc, argv, "", kFlags.data(), &index)) != -1;) {
    if (flag == kHelpFlag) {
      fmt::print("{}", kHelp);
      exitStatus = kExitOk;
      return std::nullopt;
    }
    if (flag == '?') return std::nullopt;
    if (!applyFlag(flag, optarg, options)) {
      fmt::print(stderr, "covewing-bench live: --{}: \"{}\" cannot be used\n",
                 kFlags.at(static_cast<std::size_t>(index)).name, optarg);
      return std::nullopt;
    }
  }
  if (optind != argc || options.nodes.empty() || options.bearerKey.empty()) {
    fmt::print(stderr, "covewing-bench live: give --node and --key, and no other words\n");
    return std::nullopt;
  }
  return options;
}

}  // namespace covewing::tools
