/// \file
/// How hot each prefix root is, by this node's own traffic: decides how many engines may hold it.
/// Widens with the first measurement, narrows one engine at a time.
#pragma once

#include <cstdint>
#include <map>

#include "base/time.h"

namespace covewing::routing {

struct PrefixDemandOptions {
  /// Time constant of the measured rate.
  base::Duration timeConstant = std::chrono::seconds(2);
  /// Shortest time between two steps of narrowing.
  base::Duration shrinkInterval = std::chrono::seconds(2);
  /// Roots remembered; the coldest are forgotten.
  std::size_t maximumRoots = 4096;
};

class PrefixDemand {
 public:
  using RootKey = std::uint64_t;

  explicit PrefixDemand(const PrefixDemandOptions& options) : options_(options) {}

  /// Work for this root came in, in prompt tokens to compute.
  void record(RootKey root, std::uint32_t tokens, base::TimePoint now);
  /// Tokens a second for this root.
  double tokensPerSecond(RootKey root, base::TimePoint now) const;
  /// Follows `wanted` upwards at once and downwards by steps.
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

}  // namespace covewing::routing
