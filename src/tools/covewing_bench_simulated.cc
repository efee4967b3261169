/// \file
/// Verbs of covewing-bench that run in virtual time or only process their input.
#include <fmt/format.h>
#include <getopt.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <iostream>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bench/experiment.h"
#include "bench/report.h"
#include "bench/scenario.h"
#include "bench/working_set.h"
#include "bench/workload.h"
#include "engine_routing/policy_factory.h"
#include "prefix/prompt.h"
#include "tools/covewing_bench.h"

namespace covewing::tools {

namespace {

using bench::ExperimentOptions;

constexpr double kMicrosecondsPerSecond = 1e6;

enum Option : int { kPolicy = 1, kSeed, kSet, kNoOracle };

constexpr std::array kRunOptions = {
    option{"policy", required_argument, nullptr, kPolicy},
    option{"seed", required_argument, nullptr, kSeed},
    option{"set", required_argument, nullptr, kSet},
    option{"no-oracle", no_argument, nullptr, kNoOracle},
    option{nullptr, 0, nullptr, 0},
};

struct RunArguments {
  ExperimentOptions experiment;
  std::vector<std::string> assignments;
  bool withOracle = true;
};

std::vector<std::string_view> policyNames() {
  std::vector<std::string_view> names = engine_routing::policyNames();
  names.push_back(bench::kOraclePolicy);
  return names;
}

std::optional<std::uint64_t> parseNumber(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return value;
}

/// Prints an error in the arguments and returns false, so that the caller can return the result.
bool reject(std::string_view text) {
  fmt::print(stderr, "covewing-bench: {}\n", text);
  return false;
}

bool applyOption(int choice, RunArguments& arguments) {
  switch (choice) {
    case kPolicy:
      arguments.experiment.policy = optarg;
      return true;
    case kSeed: {
      const auto seed = parseNumber(optarg);
      if (!seed.has_value()) return reject(fmt::format("--seed {}: no whole number", optarg));
      arguments.experiment.seed = *seed;
      return true;
    }
    case kSet:
      arguments.assignments.emplace_back(optarg);
      return true;
    case kNoOracle:
      arguments.withOracle = false;
      return true;
    default:
      return false;
  }
}

bool selectScenario(std::string_view name, RunArguments& arguments) {
  const bench::Scenario* scenario = bench::findScenario(name);
  if (scenario == nullptr) return reject(fmt::format("no scenario \"{}\"; list names them", name));
  arguments.experiment.scenario = *scenario;
  for (const std::string& assignment : arguments.assignments) {
    base::Reason reason;
    if (!bench::applySetting(arguments.experiment.scenario.settings, assignment, reason)) {
      return reject("--set " + reason.detail);
    }
  }
  return true;
}

/// Parses the arguments of a run. Prints an error message and returns nullopt if they are invalid.
std::optional<RunArguments> parseRun(int argc, char** argv) {
  RunArguments arguments;
  arguments.experiment.policy = engine_routing::kDefaultPolicy;
  for (int choice = 0; (choice = getopt_long(argc, argv, "", kRunOptions.data(), nullptr)) != -1;) {
    if (!applyOption(choice, arguments)) return std::nullopt;
  }
  if (optind + 1 != argc) {
    reject("give one scenario; list names them");
    return std::nullopt;
  }
  if (!selectScenario(argv[optind], arguments)) return std::nullopt;
  const auto names = policyNames();
  if (std::find(names.begin(), names.end(), arguments.experiment.policy) == names.end()) {
    reject(fmt::format("no policy \"{}\"; list names them", arguments.experiment.policy));
    return std::nullopt;
  }
  return arguments;
}

base::Duration fromSeconds(double seconds) {
  return base::Duration{static_cast<base::Duration::rep>(seconds * kMicrosecondsPerSecond)};
}

}  // namespace

int runScenario(int argc, char** argv) {
  const auto arguments = parseRun(argc, argv);
  if (!arguments.has_value()) return kExitUsage;
  bench::ExperimentResult result = bench::runExperiment(arguments->experiment);
  std::optional<double> oracleHitRate;
  if (arguments->experiment.policy == bench::kOraclePolicy) {
    oracleHitRate = result.reuse.hitRate();
  } else if (arguments->withOracle) {
    ExperimentOptions oracle = arguments->experiment;
    oracle.policy = bench::kOraclePolicy;
    oracleHitRate = bench::runExperiment(oracle).reuse.hitRate();
  }
  std::cout << bench::reportLine(result, oracleHitRate) + "\n" << std::flush;
  std::uint64_t violations = 0;
  for (const bench::ViolationCount& violation : result.violations) violations += violation.count;
  return violations == 0 ? kExitOk : kExitFailure;
}

int listScenarios() {
  fmt::print("scenarios:\n");
  for (const bench::Scenario& scenario : bench::scenarios()) {
    fmt::print("  {:<14} {}\n", scenario.name, scenario.description);
  }
  fmt::print("policies:\n");
  for (const std::string_view policy : policyNames()) fmt::print("  {}\n", policy);
  fmt::print("keys of --set, with their values in the scenario tournaments:\n");
  const bench::ScenarioSettings& settings = bench::findScenario("tournaments")->settings;
  for (const bench::SettingKey& key : bench::settingKeys()) {
    fmt::print("  {:<20} {:<8} {}\n", key.name, settings.*key.member, key.meaning);
  }
  return kExitOk;
}

int writeTable(int argc, char** argv) {
  const bool plot = argc == 2 && std::string_view(argv[1]) == "--plot";
  if (argc > 1 && !plot) {
    reject("table takes nothing but --plot");
    return kExitUsage;
  }
  plot ? bench::writePlotData(std::cin, std::cout) : bench::writeComparison(std::cin, std::cout);
  return kExitOk;
}

int describeWorkload(int argc, char** argv) {
  const auto arguments = parseRun(argc, argv);
  if (!arguments.has_value()) return kExitUsage;
  const bench::Scenario& scenario = arguments->experiment.scenario;
  const bench::ScenarioSettings& settings = scenario.settings;
  const base::Duration from = fromSeconds(settings.warmupSeconds);
  const base::Duration until = from + fromSeconds(settings.measuredSeconds);
  bench::WorkloadOptions options;
  options.seed = arguments->experiment.seed;
  options.duration = until;
  options.load = settings.load;
  options.lowerLoad = settings.lowerLoad;
  const bench::Workload workload = scenario.fleet == bench::FleetKind::kTournaments
                                       ? bench::drawTournaments(options)
                                       : bench::drawMarkets(options);
  const bench::WorkingSet set = bench::measureWorkingSet(workload, from, until);
  const double memory = settings.engines * settings.engineBlocks * prefix::kTokensPerBlock;
  const auto perSecond = [&](std::uint64_t count) {
    return static_cast<double>(count) / settings.measuredSeconds;
  };
  fmt::print("completions a second          {:.1f}\n", perSecond(set.completions));
  fmt::print("prompt tokens a second        {:.0f}\n", perSecond(set.promptTokens));
  fmt::print("distinct prompt tokens        {}\n", set.distinctTokens);
  fmt::print("  of them in several prompts  {}\n", set.sharedTokens);
  fmt::print("engines' memory in tokens     {:.0f}\n", memory);
  fmt::print("distinct tokens / memory      {:.2f}\n",
             static_cast<double>(set.distinctTokens) / memory);
  return kExitOk;
}

}  // namespace covewing::tools
