/// \file
/// Observed demand on one replica per urgency level, with exponential decay. The reserve for more
/// urgent requests, the capacity left to less urgent ones and the predicted waits are derived from
/// it.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/time.h"

namespace covewing::admission {

/// Work of one request on a replica: capacity multiplied by time.
struct Work {
  /// Seconds during which it holds a slot.
  double slotSeconds = 0.0;
  /// Tokens of memory multiplied by the seconds during which it holds them.
  double tokenSeconds = 0.0;
  /// Seconds of the whole replica: the larger of its shares of slots and memory, multiplied by its
  /// run time.
  double replicaSeconds = 0.0;
};

/// Work requested per second: the mean number of slots and tokens held, and the mean share of the
/// whole replica, if all of it were granted.
struct Demand {
  double slots = 0.0;
  double tokens = 0.0;
  double share = 0.0;
};

class ArrivalRates {
 public:
  /// Number of levels that are tracked; higher values count as the last level.
  static constexpr std::size_t kUrgencyLevels = 16;

  explicit ArrivalRates(base::Duration timeConstant);

  /// Records a request for capacity that can still be on time.
  void onArrival(std::uint32_t urgency, const Work& work, base::TimePoint now);

  /// Demand of the requests of this urgency level.
  Demand demand(std::uint32_t urgency, base::TimePoint now) const;
  /// Share of the replica that requests more urgent than this level demand.
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
