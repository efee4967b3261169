#include "covewing_emulator_options.h"

#include <getopt.h>

#include <array>
#include <charconv>
#include <limits>

#include "base/endpoint.h"

namespace covewing::tools {

using base::Reason;
using base::ResultCode;

namespace {

constexpr std::string_view kHelp =
    R"(Usage: covewing-emulator [OPTION]...
Serve emulated engines, applications and platform services over HTTP.

  --fleet NAME            deployment to emulate: tournaments (default) or markets
  --engines N             number of engines, instead of the fleet's own
  --capacity-blocks N     memory of each engine in blocks of 16 tokens
  --speed X               divide every duration of the models by X (default 1)
  --seed N                seed of all random draws (default 1)
  --address IP            address to listen at (default 127.0.0.1)
  --port-base PORT        first port; 0 (default) takes free ones
  --endpoints FILE        write where everything listens to FILE (default: standard output)
  --scenario FILE         JSON file of timed actions (docs/EMULATOR.md)
  --table-rate N          calls a second that the table service takes; 0: no limit
  --machine-list-lag MS   lag of the machine list in milliseconds
  --help                  show this text
  --version               show the version

The program ends on SIGINT or SIGTERM.
Exit status: 0 after a signal, 1 when a port or file cannot be had, 2 for a wrong command line.
)";

enum Flag : int {
  kFleet = 1,
  kEngines,
  kCapacityBlocks,
  kSpeed,
  kSeed,
  kAddress,
  kPortBase,
  kEndpoints,
  kScenario,
  kTableRate,
  kMachineListLag,
  kHelpFlag,
  kVersionFlag,
};

constexpr std::array kFlags = {
    option{"fleet", required_argument, nullptr, kFleet},
    option{"engines", required_argument, nullptr, kEngines},
    option{"capacity-blocks", required_argument, nullptr, kCapacityBlocks},
    option{"speed", required_argument, nullptr, kSpeed},
    option{"seed", required_argument, nullptr, kSeed},
    option{"address", required_argument, nullptr, kAddress},
    option{"port-base", required_argument, nullptr, kPortBase},
    option{"endpoints", required_argument, nullptr, kEndpoints},
    option{"scenario", required_argument, nullptr, kScenario},
    option{"table-rate", required_argument, nullptr, kTableRate},
    option{"machine-list-lag", required_argument, nullptr, kMachineListLag},
    option{"help", no_argument, nullptr, kHelpFlag},
    option{"version", no_argument, nullptr, kVersionFlag},
    option{nullptr, 0, nullptr, 0},
};

/// Command-line values that override the settings of the selected fleet. They are collected first
/// and applied after parsing, because the fleet is not known before.
struct FleetOverrides {
  std::string fleet = "tournaments";
  std::optional<std::uint32_t> engines;
  std::optional<std::uint32_t> capacityBlocks;
  std::optional<double> tableRate;
  std::optional<std::uint32_t> machineListLag;
  double speed = 1.0;
};

/// Parses `text` as a number from `minimum` to `maximum`; returns false if it is not one.
template <class Number>
bool parse(std::string_view text, Number minimum, Number maximum, Number& value) {
  Number parsed{};
  const auto result = std::from_chars(text.data(), text.data() + text.size(), parsed);
  if (result.ec != std::errc{} || result.ptr != text.data() + text.size()) return false;
  if (parsed < minimum || parsed > maximum) return false;
  value = parsed;
  return true;
}

bool parseAddress(std::string_view text, std::uint32_t& address) {
  const auto endpoint = base::parseEndpoint(std::string(text) + ":0");
  if (!endpoint) return false;
  address = endpoint->address;
  return true;
}

bool applyFlag(int flag, std::string_view text, FleetOverrides& overrides,
               EmulatorOptions& options) {
  constexpr std::uint32_t kMaximumEngines = 1000;
  constexpr std::uint32_t kMaximumBlocks = 10'000'000;
  constexpr std::uint32_t kMaximumLag = 3'600'000;
  constexpr double kMaximumSpeed = 1000.0;
  constexpr double kMaximumRate = 1e9;
  switch (flag) {
    case kFleet:
      overrides.fleet = text;
      return emulator::fleetNamed(text).has_value();
    case kEngines:
      return parse<std::uint32_t>(text, 1, kMaximumEngines, overrides.engines.emplace());
    case kCapacityBlocks:
      return parse<std::uint32_t>(text, 1, kMaximumBlocks, overrides.capacityBlocks.emplace());
    case kSpeed:
      return parse(text, 1.0 / kMaximumSpeed, kMaximumSpeed, overrides.speed);
    case kSeed:
      return parse<std::uint64_t>(text, 0, std::numeric_limits<std::uint64_t>::max(),
                                  options.fleet.seed);
    case kAddress:
      return parseAddress(text, options.fleet.address);
    case kPortBase:
      return parse<std::uint16_t>(text, 0, std::numeric_limits<std::uint16_t>::max(),
                                  options.fleet.portBase);
    case kEndpoints:
      options.endpointsFile = text;
      return true;
    case kScenario:
      options.scenarioFile = text;
      return true;
    case kTableRate:
      return parse(text, 0.0, kMaximumRate, overrides.tableRate.emplace());
    case kMachineListLag:
      return parse<std::uint32_t>(text, 0, kMaximumLag, overrides.machineListLag.emplace());
    case kHelpFlag:
      options.help = true;
      return true;
    case kVersionFlag:
      options.version = true;
      return true;
    default:
      return false;
  }
}

emulator::FleetOptions makeFleetOptions(const FleetOverrides& overrides) {
  auto fleet = emulator::fleetNamed(overrides.fleet).value_or(emulator::tournamentsFleet());
  fleet = emulator::spedUp(fleet, overrides.speed);
  fleet.engines = overrides.engines.value_or(fleet.engines);
  fleet.engine.capacityBlocks = overrides.capacityBlocks.value_or(fleet.engine.capacityBlocks);
  fleet.table.rateLimit = overrides.tableRate.value_or(fleet.table.rateLimit);
  if (overrides.machineListLag) {
    fleet.machineList.lag = std::chrono::milliseconds(*overrides.machineListLag);
  }
  return fleet;
}

}  // namespace

std::string_view emulatorHelp() { return kHelp; }

std::optional<EmulatorOptions> parseEmulatorOptions(int argumentCount, char** arguments,
                                                    Reason& reason) {
  EmulatorOptions options;
  FleetOverrides overrides;
  opterr = 0;
  while (true) {
    const int before = optind;
    int index = -1;
    const int flag = getopt_long(argumentCount, arguments, "", kFlags.data(), &index);
    if (flag == -1) break;
    const bool known = flag != '?' && flag != ':';
    if (!known || !applyFlag(flag, optarg == nullptr ? "" : optarg, overrides, options)) {
      reason = Reason{ResultCode::kSettingsInvalid, arguments[before]};
      return std::nullopt;
    }
  }
  if (optind < argumentCount) {
    reason = Reason{ResultCode::kSettingsInvalid, arguments[optind]};
    return std::nullopt;
  }
  options.fleet.fleet = makeFleetOptions(overrides);
  return options;
}

}  // namespace covewing::tools
