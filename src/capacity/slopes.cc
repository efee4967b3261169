#include "capacity/slopes.h"

#include <utility>

namespace covewing::capacity {

namespace {

constexpr double kNanosecondsPerPercent = 1e7;

/// Position of a fleet of this size on the x axis of the dimension.
double xOf(Dimension dimension, const FleetSize& size) {
  const auto nodes = static_cast<double>(size.nodes);
  switch (dimension) {
    case Dimension::kNodes:
      return nodes;
    case Dimension::kEngines:
      return static_cast<double>(size.engines) / nodes;
    case Dimension::kEvents:
      return size.eventsPerSecond / nodes;
    case Dimension::kBlocks:
      return static_cast<double>(size.engines) * size.blocksPerEngine / nodes;
    case Dimension::kTenants:
      return static_cast<double>(size.tenants);
    case Dimension::kChanges:
      return size.changesPerSecond;
    case Dimension::kRequests:
    case Dimension::kRequestsWithoutLookups:
      return size.requestsPerSecond / nodes;
    case Dimension::kClaims:
      return size.claimsPerSecond / nodes;
  }
  return 0;
}

template <class Value>
LineFit fitOf(const std::vector<Sample>& samples, Value value) {
  std::vector<Point> points;
  points.reserve(samples.size());
  for (const Sample& sample : samples) points.push_back({sample.x, value(sample)});
  return fitLine(points);
}

/// Sets one dimension of `size` to the value of measurement `step`, counted from 0.
void grow(Dimension dimension, double factor, std::size_t step, FleetSize& size) {
  const auto nodes = static_cast<double>(size.nodes);
  const auto scaled = [&](double value) { return static_cast<std::size_t>(value * factor); };
  constexpr std::array<double, 3> kDoubling = {1, 2, 4};
  const double doubled = kDoubling.at(step);
  const auto steps = static_cast<double>(step);
  switch (dimension) {
    case Dimension::kNodes:
      size.nodes = scaled(42 * doubled);
      size.engines = 0;
      break;
    case Dimension::kEngines:
      size.engines = scaled(doubled * nodes);
      break;
    case Dimension::kEvents:
      size.eventsPerSecond = steps * 110 * nodes;
      break;
    case Dimension::kBlocks:
      size.blocksPerEngine = static_cast<std::uint32_t>(scaled(4096 * doubled));
      break;
    case Dimension::kTenants:
      size.tenants = scaled(900 * doubled);
      break;
    case Dimension::kChanges:
      size.changesPerSecond = steps * 2;
      break;
    case Dimension::kRequestsWithoutLookups:
      size.policy = "prefix_hash";
      [[fallthrough]];
    case Dimension::kRequests:
      size.requestsPerSecond = steps * 6 * nodes;
      break;
    case Dimension::kClaims:
      size.claimsPerSecond = steps * nodes / 4;
      break;
  }
}

}  // namespace

std::string_view toString(Dimension dimension) {
  switch (dimension) {
    case Dimension::kNodes:
      return "nodes";
    case Dimension::kEngines:
      return "engines";
    case Dimension::kEvents:
      return "events";
    case Dimension::kBlocks:
      return "blocks";
    case Dimension::kTenants:
      return "tenants";
    case Dimension::kChanges:
      return "changes";
    case Dimension::kRequests:
      return "requests";
    case Dimension::kRequestsWithoutLookups:
      return "requests_without_lookups";
    case Dimension::kClaims:
      return "claims";
  }
  return "unknown";
}

LineFit Slope::bytes(Traffic traffic) const {
  const auto index = static_cast<std::size_t>(traffic);
  return fitOf(samples, [index](const Sample& sample) { return sample.usage.bytes.at(index); });
}

LineFit Slope::totalBytes() const {
  return fitOf(samples, [](const Sample& sample) { return sample.usage.totalBytes(); });
}

LineFit Slope::cpuPercent() const {
  return fitOf(samples, [](const Sample& sample) {
    return sample.usage.cpuNanoseconds / kNanosecondsPerPercent;
  });
}

LineFit Slope::memoryBytes() const {
  return fitOf(samples, [](const Sample& sample) { return sample.memoryBytes; });
}

Sample measure(const FleetSize& size, const MeasuringTimes& times) {
  HollowFleet fleet(size);
  fleet.start();
  fleet.runFor(times.warmUp);
  Usage sum;
  for (const Usage& usage : fleet.usage()) sum -= usage;
  fleet.runFor(times.span);
  for (const Usage& usage : fleet.usage()) sum += usage;
  sum /= static_cast<double>(size.nodes) * base::toSeconds(times.span);
  Sample sample;
  sample.usage = sum;
  sample.memoryBytes = fleet.memoryPerNode();
  return sample;
}

std::vector<FleetSize> sizesOf(Dimension dimension, Sweep sweep) {
  constexpr std::size_t kSteps = 3;
  constexpr double kQuickFactor = 1.0 / 3;
  std::vector<FleetSize> sizes;
  for (std::size_t step = 0; step < kSteps; ++step) {
    FleetSize size;
    size.nodes = sweep == Sweep::kQuick ? 14 : 42;
    size.engines = size.nodes * 2;
    grow(dimension, sweep == Sweep::kQuick ? kQuickFactor : 1.0, step, size);
    sizes.push_back(std::move(size));
  }
  return sizes;
}

Slope measureSlope(Dimension dimension, Sweep sweep) {
  Slope slope;
  slope.dimension = dimension;
  MeasuringTimes times;
  // Nodes need longer to receive the snapshots of engines with many blocks.
  if (dimension == Dimension::kBlocks) times.warmUp *= 2;
  for (const FleetSize& size : sizesOf(dimension, sweep)) {
    Sample sample = measure(size, times);
    sample.x = xOf(dimension, size);
    slope.nodes = size.nodes;
    slope.samples.push_back(sample);
  }
  return slope;
}

}  // namespace covewing::capacity
