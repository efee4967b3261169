/// \file
/// How much room the fleet has and needs, and so how many replicas may be away at once.
///
/// Load that it answers: new weights must be in force by a date while callers ask more than usual
/// or replicas are down. Kept by the holder of the rollout's lease; nothing of it must last: a new
/// holder learns it again from the replicas' list and from the homes within a second.
#pragma once

#include <cstddef>
#include <cstdint>

#include "base/time.h"

namespace covewing::coordination {

/// The replicas of one model by what they can do now.
struct FleetRoom {
  /// Serve requests, whatever their version.
  std::size_t serving = 0;
  /// Do not answer.
  std::size_t silent = 0;
  /// Leave, or are told not to take requests.
  std::size_t leaving = 0;
  /// Drain for or load new weights.
  std::size_t changing = 0;
  /// Replicas that the work under way and waiting fills, by slots or memory, whichever is more.
  double needed = 0;
};

}  // namespace covewing::coordination
