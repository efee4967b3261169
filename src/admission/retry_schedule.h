/// \file
/// When refused requests may come back: one after the other at the rate at which room falls free
/// for their urgency, so that they do not come back together.
#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "admission/arrival_rates.h"
#include "admission/queue_entry.h"
#include "admission/replica_load.h"
#include "base/time.h"

namespace covewing::admission {

class RetrySchedule {
 public:
  /// The longest time named: callers wait some seconds, and a shortage is looked at anew by then.
  static constexpr base::Duration kMaximumDelay = std::chrono::seconds(10);

  /// The time after which this request, refused now, may come back. It asked at `since`, with the
  /// work ahead of it in seconds of the whole replica.
  base::Duration retryAfter(const QueueEntry& entry, base::TimePoint queuedAt, double workAhead,
                            const LoadSnapshot& load);

 private:
  /// The next free time to come back, by urgency.
  using NextTimes = std::array<base::TimePoint, ArrivalRates::kUrgencyLevels>;
  struct Window {
    base::Duration earliest{};
    base::Duration latest{};
    /// How long the room takes to fall free for the request.
    base::Duration interval{};
  };

  /// `interval` after the one before it, moved within the interval by a hash of the id; nothing
  /// where that is past the latest.
  static std::optional<base::Duration> reserveTime(NextTimes& nextTimes, const QueueEntry& entry,
                                                   const Window& window, base::TimePoint now);

  NextTimes nextRetries_{};
  /// Of those whose time to come back would be past their use.
  NextTimes finalRetries_{};
};

}  // namespace covewing::admission
