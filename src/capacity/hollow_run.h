/// \file
/// One run of a hollow fleet. It measures resource use per node in steady state, then the time that
/// a configuration change takes to reach all nodes, and the time to detect a crashed node.
#pragma once

#include <optional>

#include "capacity/hollow_fleet.h"
#include "capacity/slopes.h"

namespace covewing::capacity {

struct HollowOptions {
  FleetSize size;
  MeasuringTimes times;
  /// Also measures disturbances: restarts one node and a zone's nodes, cuts a zone off, and cuts
  /// the connections between the regions.
  bool failures = false;
};

/// Cost of a disturbance.
struct FailureResult {
  std::string name;
  /// Control bytes of all nodes in excess of the steady state, from the start of the disturbance
  /// until the fleet has recovered.
  double extraBytes = 0;
  /// Maximum of the bytes that one node sent plus received within one second.
  double worstSecondBytes = 0;
  /// Time until every node sees all others as live and is ready, counted from the end of the
  /// disturbance; empty if the fleet did not recover in time.
  std::optional<base::Duration> repairedAfter;
};

struct HollowResult {
  FleetSize size;
  base::Duration warmUp{};
  base::Duration span{};
  /// Use per second, as the mean over all nodes.
  Usage mean;
  /// Control bytes per second, over the nodes.
  Spread bytes;
  /// Percent of one core, over the nodes.
  Spread cpuPercent;
  /// Per node.
  double memoryBytes = 0;
  std::size_t nodesThatSeeAll = 0;
  std::size_t nodesReady = 0;
  RequestOutcome outcome;
  /// Cache events per second that the engines actually published, over the whole fleet.
  double publishedPerSecond = 0;
  std::optional<base::Duration> changeEverywhere;
  std::optional<base::Duration> deathEverywhere;
  std::vector<FailureResult> failures;
  /// CPU time of this process for the run, in seconds.
  double ownCpuSeconds = 0;
};

HollowResult runHollowFleet(const HollowOptions& options);

}  // namespace covewing::capacity
