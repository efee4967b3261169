/// \file
/// covewing-capacity: measures the control overhead of nodes on hollow fleets in virtual time.
/// Prints one JSON line per result to standard output.
#include <fmt/core.h>
#include <getopt.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <optional>
#include <string>
#include <string_view>

#include "capacity/budget.h"
#include "capacity/hollow_run.h"
#include "capacity/report.h"
#include "capacity/slopes.h"

namespace {

using namespace covewing::capacity;

constexpr int kExitUsage = 2;

constexpr std::string_view kUsage =
    "usage: covewing-capacity slopes [--quick] [--only DIMENSION]\n"
    "       covewing-capacity hollow [--nodes N] [--engines N] [--blocks-per-engine N]\n"
    "                         [--events N] [--tenants N] [--requests N] [--claims N]\n"
    "                         [--changes N] [--warm-up S] [--span S] [--zones N] [--regions N]\n"
    "                         [--seed N] [--failures]\n"
    "Rates are over the whole fleet, a second.\n"
    "Exit status: 0 done, 2 wrong usage.\n";

struct Options {
  HollowOptions hollow;
  Sweep sweep = Sweep::kWhole;
  std::string only;
};

std::optional<double> parseNumber(std::string_view text) {
  double value = 0;
  const auto* end = text.data() + text.size();
  const auto [position, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc{} || position != end || !(value >= 0)) return std::nullopt;
  return value;
}

covewing::base::Duration seconds(double value) {
  constexpr double kMicroseconds = 1e6;
  return covewing::base::Duration{
      static_cast<covewing::base::Duration::rep>(value * kMicroseconds)};
}

/// Sets the numeric option `name`; returns false if there is no such option.
bool setNumber(std::string_view name, double value, HollowOptions& options) {
  FleetSize& size = options.size;
  if (name == "nodes") {
    size.nodes = static_cast<std::size_t>(value);
  } else if (name == "engines") {
    size.engines = static_cast<std::size_t>(value);
  } else if (name == "blocks-per-engine") {
    size.blocksPerEngine = static_cast<std::uint32_t>(value);
  } else if (name == "events") {
    size.eventsPerSecond = value;
  } else if (name == "tenants") {
    size.tenants = static_cast<std::size_t>(value);
  } else if (name == "requests") {
    size.requestsPerSecond = value;
  } else if (name == "claims") {
    size.claimsPerSecond = value;
  } else if (name == "changes") {
    size.changesPerSecond = value;
  } else if (name == "warm-up") {
    options.times.warmUp = seconds(value);
  } else if (name == "span") {
    options.times.span = seconds(value);
  } else if (name == "zones") {
    size.zones = std::max<std::size_t>(1, static_cast<std::size_t>(value));
  } else if (name == "regions") {
    size.regions = std::max<std::size_t>(1, static_cast<std::size_t>(value));
  } else if (name == "seed") {
    size.seed = static_cast<std::uint64_t>(value);
  } else {
    return false;
  }
  return true;
}

std::optional<Options> parse(int argumentCount, char** arguments) {
  constexpr std::array<option, 17> kOptions = {
      {{"quick", no_argument, nullptr, 'q'},
       {"only", required_argument, nullptr, 'o'},
       {"failures", no_argument, nullptr, 'f'},
       {"nodes", required_argument, nullptr, 'n'},
       {"engines", required_argument, nullptr, 'n'},
       {"blocks-per-engine", required_argument, nullptr, 'n'},
       {"events", required_argument, nullptr, 'n'},
       {"tenants", required_argument, nullptr, 'n'},
       {"requests", required_argument, nullptr, 'n'},
       {"claims", required_argument, nullptr, 'n'},
       {"changes", required_argument, nullptr, 'n'},
       {"warm-up", required_argument, nullptr, 'n'},
       {"span", required_argument, nullptr, 'n'},
       {"seed", required_argument, nullptr, 'n'},
       {"zones", required_argument, nullptr, 'n'},
       {"regions", required_argument, nullptr, 'n'},
       {nullptr, 0, nullptr, 0}}};
  Options options;
  int index = 0;
  for (;;) {
    const int flag = getopt_long(argumentCount, arguments, "", kOptions.data(), &index);
    if (flag == -1) break;
    if (flag == 'q') {
      options.sweep = Sweep::kQuick;
    } else if (flag == 'o') {
      options.only = optarg;
    } else if (flag == 'f') {
      options.hollow.failures = true;
    } else {
      if (flag != 'n') return std::nullopt;
      const auto value = parseNumber(optarg);
      if (!value ||
          !setNumber(kOptions.at(static_cast<std::size_t>(index)).name, *value, options.hollow)) {
        return std::nullopt;
      }
    }
  }
  if (optind != argumentCount) return std::nullopt;
  return options;
}

void print(const std::string& line) {
  fmt::print("{}\n", line);
  std::fflush(stdout);
}

void runSlopes(const Options& options) {
  Slopes slopes;
  for (std::size_t number = 0; number < kDimensionCount; ++number) {
    const auto dimension = static_cast<Dimension>(number);
    if (!options.only.empty() && options.only != toString(dimension)) continue;
    const auto& slope = slopes[dimension] = measureSlope(dimension, options.sweep);
    for (const auto& line : slopeLines(slope)) print(line);
  }
  if (slopes.size() != kDimensionCount) return;
  const auto roles = budgetsOf(slopes);
  for (const auto& role : roles) print(budgetLine(role));
  print(budgetLine(sumOf(roles)));
}

}  // namespace

int main(int argumentCount, char** arguments) {
  const std::string_view command = argumentCount > 1 ? arguments[1] : "";
  const auto options = argumentCount > 1 ? parse(argumentCount - 1, arguments + 1) : std::nullopt;
  if (options && command == "slopes") {
    runSlopes(*options);
    return 0;
  }
  if (options && command == "hollow") {
    print(hollowLine(runHollowFleet(options->hollow)));
    return 0;
  }
  fmt::print(stderr, "{}", kUsage);
  return kExitUsage;
}
