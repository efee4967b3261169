/// \file
/// Slopes of a node's resource use. Hollow fleets that differ in one dimension are run at three
/// sizes, and a line is fitted to each figure.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

#include "capacity/hollow_fleet.h"
#include "capacity/line_fit.h"
#include "capacity/usage.h"

namespace covewing::capacity {

/// The dimension that is varied. Each enumerator states the unit of x.
enum class Dimension : std::uint8_t {
  /// Nodes of the fleet, without engines and load.
  kNodes,
  /// Engines per node.
  kEngines,
  /// Cache events per second and node; an event counts once, no matter how many home nodes receive
  /// it.
  kEvents,
  /// Cached blocks per node; a block counts once, no matter how many home nodes index it.
  kBlocks,
  /// Tenants of the fleet.
  kTenants,
  /// Configuration changes per second over the whole fleet.
  kChanges,
  /// Requests per second and node.
  kRequests,
  /// Requests per second and node under the routing policy "prefix_hash", which does no lookups in
  /// the cache index.
  kRequestsWithoutLookups,
  /// Calls that need a claim, per second and node.
  kClaims,
};
inline constexpr std::size_t kDimensionCount = 9;
std::string_view toString(Dimension dimension);

/// Mean resource use of a node at one size of the fleet.
struct Sample {
  double x = 0;
  /// Per second.
  Usage usage;
  double memoryBytes = 0;
};

struct Slope {
  Dimension dimension = Dimension::kNodes;
  /// Number of nodes of the measured fleets. If it differs between them, that of the last fleet.
  std::size_t nodes = 0;
  std::vector<Sample> samples;

  LineFit bytes(Traffic traffic) const;
  LineFit totalBytes() const;
  /// Percent of one core.
  LineFit cpuPercent() const;
  LineFit memoryBytes() const;
};

struct MeasuringTimes {
  base::Duration warmUp = std::chrono::seconds(30);
  base::Duration span = std::chrono::seconds(15);
};

/// Runs a fleet and measures the mean use of its nodes over the span after the warm-up. Leaves
/// `Sample::x` at 0.
Sample measure(const FleetSize& size, const MeasuringTimes& times);

/// The quick sweep uses fleets of a third of the size of the whole one.
enum class Sweep : std::uint8_t { kQuick, kWhole };

/// Sizes of the fleets that a sweep of the dimension runs.
std::vector<FleetSize> sizesOf(Dimension dimension, Sweep sweep);
/// Runs the fleets of a sweep and returns their samples.
Slope measureSlope(Dimension dimension, Sweep sweep);

}  // namespace covewing::capacity
