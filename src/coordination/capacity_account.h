/// \file
/// Capacity that the fleet has and requires, and so how many replicas may be unavailable at once.
///
/// A new version of weights must be loaded by a deadline while callers may send more requests than
/// usual and replicas may be down. The holder of the rollout's lease keeps these figures. They are
/// not persisted: a new holder rebuilds them from the replica list and the current load within a
/// second.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "base/time.h"

namespace covewing::coordination {

/// Replicas of one model, counted by their current state.
struct FleetCapacity {
  /// Replicas that are reachable and neither leaving nor changing weights, whatever their version.
  std::size_t serving = 0;
  /// Replicas that are unresponsive.
  std::size_t unresponsive = 0;
  /// Replicas that are leaving or are excluded from new requests.
  std::size_t leaving = 0;
  /// Replicas that are draining for new weights or loading them.
  std::size_t changing = 0;
  /// Replicas required for the running and queued requests, by request slots or by memory,
  /// whichever is more.
  double needed = 0;

  /// Number of replicas that could be unavailable, those that change weights included, while the
  /// others still have the required capacity. `headroom` is the spare capacity to keep, as a
  /// fraction of the required capacity.
  std::size_t spareReplicas(double headroom) const;
};

struct CapacityAccountOptions {
  /// Time constant by which a decrease in demand takes effect; an increase takes effect at once.
  /// Bursts tend to recur, so capacity is not released right after one.
  base::Duration decayTime = std::chrono::seconds(2);
};

/// Tracks the demand of each model: follows increases at once and decreases slowly.
class CapacityAccount {
 public:
  explicit CapacityAccount(CapacityAccountOptions options = {}) : options_(options) {}

  /// Reports that the requests in progress currently fill this many replicas.
  void onDemand(const std::string& model, double replicas, base::TimePoint now);
  /// Number of replicas required to serve the model's callers; 0 if no demand was reported.
  double needed(const std::string& model) const;

 private:
  struct Demand {
    double replicas = 0;
    base::TimePoint at{};
  };

  CapacityAccountOptions options_;
  std::map<std::string, Demand> demands_;
};

}  // namespace covewing::coordination
