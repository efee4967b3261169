/// \file
/// Slopes of a node's use: hollow fleets that differ in one dimension are run at three sizes, and a
/// line is laid through each figure.
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

/// What is varied, and the unit of its x.
enum class Dimension : std::uint8_t {
  /// Nodes of the fleet, without engines and load.
  kNodes,
  /// Engines a node.
  kEngines,
  /// Cache events a second and node, counted once however many homes hear them.
  kEvents,
  /// Cached blocks a node, counted once.
  kBlocks,
  /// Tenants of the fleet.
  kTenants,
  /// Changes of configuration a second over the fleet.
  kChanges,
  /// Requests a second and node.
  kRequests,
  /// The same without lookups, by the routing policy "prefix_hash".
  kRequestsWithoutLookups,
  /// Calls that need a claim, a second and node.
  kClaims,
};
inline constexpr std::size_t kDimensionCount = 9;
std::string_view toString(Dimension dimension);

/// A node's mean use at one size.
struct Sample {
  double x = 0;
  /// A second.
  Usage usage;
  double memoryBytes = 0;
};

struct Slope {
  Dimension dimension = Dimension::kNodes;
  /// Nodes of the measured fleets, where they do not differ.
  std::size_t nodes = 0;
  std::vector<Sample> samples;

  LineFit bytes(Traffic traffic) const;
  LineFit totalBytes() const;
  /// Percent of a core.
  LineFit cpuPercent() const;
  LineFit memoryBytes() const;
};

struct MeasuringTimes {
  base::Duration warmUp = std::chrono::seconds(30);
  base::Duration span = std::chrono::seconds(15);
};

/// Runs a fleet and reads its nodes' mean use over the span after the warm-up.
Sample measure(const FleetSize& size, const MeasuringTimes& times);

/// Sizes of the small sweep are a third of those of the whole one.
enum class Sweep : std::uint8_t { kQuick, kWhole };

std::vector<FleetSize> sizesOf(Dimension dimension, Sweep sweep);
Slope measureSlope(Dimension dimension, Sweep sweep);

}  // namespace covewing::capacity
