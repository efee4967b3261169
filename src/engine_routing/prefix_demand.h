/// \file
/// Demand for each prefix root in prompt tokens per second, measured from this node's own traffic.
/// Determines how many engines may hold the prefix: the number grows with the first measurement and
/// shrinks by one engine at a time.
#pragma once

#include <cstdint>
#include <map>

#include "base/time.h"

namespace covewing::engine_routing {

struct PrefixDemandOptions {
  /// Time constant of the measured rate.
  base::Duration timeConstant = std::chrono::seconds(2);
  /// Minimum time between two decrements of the holder count.
  base::Duration shrinkInterval = std::chrono::seconds(2);
  /// Maximum number of roots; the ones with the lowest rate are evicted.
  std::size_t maximumRoots = 4096;
};

class PrefixDemand {
 public:
  using RootKey = std::uint64_t;

  explicit PrefixDemand(const PrefixDemandOptions& options) : options_(options) {}

  /// Records work for this root, in prompt tokens to compute.
  void record(RootKey root, std::uint32_t tokens, base::TimePoint now);
  /// Rate of this root in tokens per second.
  double tokensPerSecond(RootKey root, base::TimePoint now) const;
  /// Number of engines that may hold the root: increases to `wanted` at once and decreases towards
  /// it step by step.
  std::size_t holderCount(RootKey root, std::size_t wanted, base::TimePoint now);
  std::size_t roots() const { return entries_.size(); }

 private:
  struct Entry {
    double tokens = 0;
    base::TimePoint at{};
    std::size_t holderCount = 0;
    base::TimePoint shrunkAt{};
  };

  double decayed(const Entry& entry, base::TimePoint now) const;
  void evictLowestDemand(base::TimePoint now);

  PrefixDemandOptions options_;
  std::map<RootKey, Entry> entries_;
};

}  // namespace covewing::engine_routing
