/// \file
/// covewing-sim: runs scenarios in the simulator and checks their histories. Prints one JSON line
/// per run to standard output, and violations with the surrounding history to standard error.
#include <fmt/core.h>
#include <getopt.h>

#include <atomic>
#include <charconv>
#include <cstdio>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "sim/report.h"
#include "sim/scenario.h"
#include "sim/simulation_run.h"

namespace {

using covewing::sim::Mutation;
using covewing::sim::Scenario;

constexpr int kExitViolation = 1;
constexpr int kExitUsage = 2;
constexpr std::size_t kMaximumViolationsShown = 3;

struct Options {
  std::vector<const Scenario*> scenarios;
  std::uint64_t firstSeed = 1;
  std::uint64_t lastSeed = 1;
  unsigned jobs = 1;
  Mutation mutation = Mutation::kNone;
  bool quiet = false;
  bool timeline = false;
};

constexpr std::string_view kUsage =
    "usage: covewing-sim SCENARIO|all [--seed N | --seeds A-B] [--jobs N] [--mutation NAME]\n"
    "                    [--quiet] [--timeline]\n"
    "       covewing-sim --list | --list-mutations\n"
    "Prints one JSON line a run. --quiet prints no history around violations; --timeline prints\n"
    "faults and events of nodes of every run.\n"
    "Exit status: 0 no violation, 1 a violation, 2 wrong usage.\n";

void listScenarios() {
  for (const auto& scenario : covewing::sim::scenarios()) {
    fmt::print("{:34} {}\n", scenario.name, scenario.description);
  }
}

void listMutations() {
  for (const auto& entry : covewing::sim::mutations()) {
    fmt::print("{}\t{}\t{}\n", entry.name, entry.scenario, entry.description);
  }
}

std::optional<std::uint64_t> parseNumber(std::string_view text) {
  std::uint64_t value = 0;
  const auto* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != end) return std::nullopt;
  return value;
}

bool parseSeeds(std::string_view text, Options& options) {
  const auto dash = text.find('-');
  const auto first = parseNumber(text.substr(0, dash));
  const auto last = dash == std::string_view::npos ? first : parseNumber(text.substr(dash + 1));
  if (!first || !last || *last < *first) return false;
  options.firstSeed = *first;
  options.lastSeed = *last;
  return true;
}

bool addScenarios(std::string_view name, Options& options) {
  if (name == "all") {
    for (const auto& scenario : covewing::sim::scenarios()) options.scenarios.push_back(&scenario);
    return true;
  }
  const auto* scenario = covewing::sim::findScenario(name);
  if (scenario != nullptr) options.scenarios.push_back(scenario);
  return scenario != nullptr;
}

/// Parses the command line. Returns nullopt, with the exit status in `status`, if there is nothing
/// to run.
std::optional<Options> parseArguments(int argc, char** argv, int& status) {
  enum : int {
    kSeed = 256,
    kSeeds,
    kJobs,
    kMutation,
    kQuiet,
    kTimeline,
    kList,
    kListMutations,
    kHelp
  };
  const option longOptions[] = {{"seed", required_argument, nullptr, kSeed},
                                {"seeds", required_argument, nullptr, kSeeds},
                                {"jobs", required_argument, nullptr, kJobs},
                                {"mutation", required_argument, nullptr, kMutation},
                                {"quiet", no_argument, nullptr, kQuiet},
                                {"timeline", no_argument, nullptr, kTimeline},
                                {"list", no_argument, nullptr, kList},
                                {"list-mutations", no_argument, nullptr, kListMutations},
                                {"help", no_argument, nullptr, kHelp},
                                {nullptr, 0, nullptr, 0}};
  Options options;
  status = kExitUsage;
  for (;;) {
    const int choice = getopt_long(argc, argv, "", longOptions, nullptr);
    if (choice == -1) break;
    switch (choice) {
      case kSeed:
      case kSeeds:
        if (!parseSeeds(optarg, options)) return std::nullopt;
        break;
      case kJobs: {
        const auto jobs = parseNumber(optarg);
        if (!jobs || *jobs == 0) return std::nullopt;
        options.jobs = static_cast<unsigned>(*jobs);
        break;
      }
      case kMutation: {
        const auto mutation = covewing::sim::findMutation(optarg);
        if (!mutation) return std::nullopt;
        options.mutation = *mutation;
        break;
      }
      case kQuiet:
        options.quiet = true;
        break;
      case kTimeline:
        options.timeline = true;
        break;
      case kList:
        listScenarios();
        status = 0;
        return std::nullopt;
      case kListMutations:
        listMutations();
        status = 0;
        return std::nullopt;
      default:
        return std::nullopt;
    }
  }
  if (optind + 1 != argc || !addScenarios(argv[optind], options)) return std::nullopt;
  return options;
}

void printViolations(const covewing::sim::SimulationResult& result) {
  std::size_t shown = 0;
  for (const auto& violation : result.violations) {
    if (shown++ == kMaximumViolationsShown) break;
    fmt::print(stderr, "VIOLATION {} seed {}: {}: {} ({})\n{}\n", result.scenario, result.seed,
               covewing::sim::toString(violation.promise), violation.detail, violation.subject,
               covewing::sim::historyAround(result.history, violation));
  }
}

/// Runs all seeds of all scenarios; each thread executes one run at a time. Returns true if no run
/// has a violation.
bool runAll(const Options& options) {
  const std::uint64_t seeds = options.lastSeed - options.firstSeed + 1;
  const std::uint64_t runs = seeds * options.scenarios.size();
  std::atomic<std::uint64_t> next{0};
  std::atomic<bool> clean{true};
  std::mutex output;
  const auto work = [&] {
    for (auto run = next++; run < runs; run = next++) {
      const auto& scenario = *options.scenarios[run / seeds];
      const auto result =
          covewing::sim::runScenario(scenario, options.firstSeed + run % seeds, options.mutation);
      const std::lock_guard lock(output);
      fmt::print("{}\n", covewing::sim::toJsonLine(result));
      std::fflush(stdout);
      if (options.timeline) {
        fmt::print(stderr, "{}", covewing::sim::timeline(result.history));
      }
      if (result.violations.empty()) continue;
      clean = false;
      if (!options.quiet) printViolations(result);
    }
  };
  std::vector<std::thread> threads;
  for (unsigned job = 1; job < options.jobs; ++job) threads.emplace_back(work);
  work();
  for (auto& thread : threads) thread.join();
  return clean;
}

}  // namespace

int main(int argc, char** argv) {
  int status = 0;
  const auto options = parseArguments(argc, argv, status);
  if (!options) {
    if (status != 0) fmt::print(stderr, "{}", kUsage);
    return status;
  }
  return runAll(*options) ? 0 : kExitViolation;
}
