/// \file
/// One run of a hollow fleet: use a node in steady state, then a change of configuration and the
/// death of a node.
#pragma once

#include <optional>

#include "capacity/hollow_fleet.h"
#include "capacity/slopes.h"

namespace covewing::capacity {

struct HollowOptions {
  FleetSize size;
  MeasuringTimes times;
  /// Also restart a zone, cut one off and cut the regions apart.
  bool failures = false;
};

/// What a disturbance costs.
struct FailureResult {
  std::string name;
  /// Control bytes of all nodes above the steady state, from its begin until the repair.
  double extraBytes = 0;
  /// The most that one node sent and received in one second.
  double worstSecondBytes = 0;
  /// Until every running node sees all others and serves.
  std::optional<base::Duration> repairedAfter;
};

struct HollowResult {
  FleetSize size;
  base::Duration warmUp{};
  base::Duration span{};
  /// A second, in the mean over all nodes.
  Usage mean;
  Spread bytes;
  Spread cpuPercent;
  double memoryBytes = 0;
  std::size_t nodesThatSeeAll = 0;
  std::size_t nodesReady = 0;
  RequestOutcome outcome;
  /// Cache events that the engines really published.
  double publishedPerSecond = 0;
  std::optional<base::Duration> changeEverywhere;
  std::optional<base::Duration> deathEverywhere;
  std::vector<FailureResult> failures;
  /// Processor time that the run itself took.
  double ownCpuSeconds = 0;
};

HollowResult runHollowFleet(const HollowOptions& options);

}  // namespace covewing::capacity
