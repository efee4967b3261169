/// \file
/// Observed load of one replica by urgency: what is asked for, forgotten exponentially. The reserve
/// for more urgent requests, the room left to the less urgent ones and the predicted waits follow
/// from it.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/time.h"

namespace covewing::admission {

/// What one request takes of a replica, as work: room times time.
struct Work {
  /// Seconds in which it holds a slot.
  double slotSeconds = 0.0;
  /// Tokens of memory times the seconds in which it holds them.
  double tokenSeconds = 0.0;
  /// Seconds of the whole replica: the larger of its shares of slots and memory, times its run.
  double replicaSeconds = 0.0;
};

/// Work asked for a second: mean slots and tokens held, and mean share of the whole replica, if all
/// of it was granted.
struct Demand {
  double slots = 0.0;
  double tokens = 0.0;
  double share = 0.0;
};

class ArrivalRates {
 public:
  /// Urgencies beyond the last one kept count as the last one.
  static constexpr std::size_t kUrgencyLevels = 16;

  explicit ArrivalRates(base::Duration timeConstant);

  /// A request that can be in time asked for room.
  void onArrival(std::uint32_t urgency, const Work& work, base::TimePoint now);

  /// What requests of this urgency ask for.
  Demand demand(std::uint32_t urgency, base::TimePoint now) const;
  /// The share of the replica that requests more urgent than this one ask for.
  double demandAbove(std::uint32_t urgency, base::TimePoint now) const;

 private:
  struct Level {
    base::TimePoint at{};
    Work work;
  };

  static std::size_t index(std::uint32_t urgency);
  double remaining(const Level& level, base::TimePoint now) const;
  void decay(Level& level, base::TimePoint now);

  double timeConstantSeconds_;
  std::array<Level, kUrgencyLevels> levels_;
};

}  // namespace covewing::admission
