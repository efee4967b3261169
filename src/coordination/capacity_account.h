/// \file
/// How much room the fleet has and needs, and so how many replicas may be away at once.
///
/// Load that it answers: new weights must be in force by a date while callers ask more than usual
/// or replicas are down. Kept by the holder of the rollout's lease; nothing of it must last: a new
/// holder learns it again from the replicas' list and from the work under way within a second.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "base/time.h"

namespace covewing::coordination {

/// The replicas of one model by what they can do now.
struct FleetCapacity {
  /// Can be reached and are neither leaving nor changing, whatever their version.
  std::size_t serving = 0;
  /// Do not answer.
  std::size_t unresponsive = 0;
  /// Leave, or are told not to take requests.
  std::size_t leaving = 0;
  /// Drain for or load new weights.
  std::size_t changing = 0;
  /// Replicas that the work under way and waiting fills, by slots or memory, whichever is more.
  double needed = 0;

  /// Replicas that could be away, those that change included, without that callers miss them.
  std::size_t spareReplicas(double headroom) const;
};

struct CapacityAccountOptions {
  /// More demand counts at once, less only after about this long: waves and bursts come back.
  base::Duration decayTime = std::chrono::seconds(2);
};

/// Follows the demand of each model: rises at once, falls slowly.
class CapacityAccount {
 public:
  explicit CapacityAccount(CapacityAccountOptions options = {}) : options_(options) {}

  /// The work under way fills so many replicas now.
  void onDemand(const std::string& model, double replicas, base::TimePoint now);
  /// Replicas that the model's callers need.
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
