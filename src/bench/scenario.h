/// \file
/// The scenarios of the benchmark. Each defines the fleet and workload, the settings, and the
/// faults with their times.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/result_code.h"
#include "base/time.h"

namespace covewing::bench {

/// Kind of fleet that a scenario simulates.
enum class FleetKind : std::uint8_t { kTournaments, kMarkets };

/// Numeric settings of one run that `--set KEY=VALUE` can change. The unit of times is in their
/// names.
struct ScenarioSettings {
  /// Factor by which all request rates are multiplied; 1 is the peak of the scenario's fleet.
  double load = 1.0;
  /// Further factor for the rates of completions below the highest class.
  double lowerLoad = 1.0;
  /// Time that the workload runs before the measured period starts.
  double warmupSeconds = 30;
  double measuredSeconds = 60;
  double nodesPerZone = 2;
  double engines = 20;
  /// Memory of an engine in blocks of 16 tokens.
  double engineBlocks = 6144;
  /// One-way latency between zones.
  double zoneLatencyMilliseconds = 1.5;
  /// Share of cache events that are lost.
  double eventLoss = 0.01;
  double eventDelayMilliseconds = 200;
  double loadReportMilliseconds = 250;
  /// Memory of the store of kept KV cache in blocks; 0 if the fleet has no store.
  double keptCacheBlocks = 65'536;
  /// Share of datagrams between nodes that are lost.
  double datagramLoss = 0.001;
  /// Time from the start of the measured period to the replacement of the shared document with the
  /// highest demand; 0 if it is never replaced.
  double shiftAfterSeconds = 0;
  /// Period of engine crashes, counted from the start of the measured period; 0 if no engine
  /// crashes.
  double crashEverySeconds = 0;
  /// Time from the crash of an engine to its restart.
  double crashDownSeconds = 3;
  /// See OracleOptions::computeWeight.
  double oracleComputeWeight = 4;
  /// Stream chunks in one network message. More of them shorten the run time of the simulation; the
  /// first chunk of a stream is never delayed.
  double chunksPerMessage = 8;
};

/// One key of `--set`.
struct SettingKey {
  std::string_view name;
  std::string_view meaning;
  double ScenarioSettings::*member;
};
std::span<const SettingKey> settingKeys();

/// Applies one "KEY=VALUE". Returns false and sets `reason` if the key is unknown or the value is
/// not a number of at least 0.
bool applySetting(ScenarioSettings& settings, std::string_view assignment, base::Reason& reason);

struct Scenario {
  std::string_view name;
  std::string_view description;
  FleetKind fleet = FleetKind::kTournaments;
  ScenarioSettings settings;
};

std::span<const Scenario> scenarios();
/// Returns null if there is no scenario of this name.
const Scenario* findScenario(std::string_view name);

}  // namespace covewing::bench
