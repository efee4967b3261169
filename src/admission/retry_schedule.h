/// \file
/// Schedules the retries of refused requests: one after the other at the rate at which capacity
/// becomes free for their urgency level, so that they do not arrive together.
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
  /// Maximum delay: callers wait some seconds, and a shortage is assessed again by then.
  static constexpr base::Duration kMaximumDelay = std::chrono::seconds(10);

  /// Time after which this request, refused now, should be retried. It was queued at `queuedAt`;
  /// `workAhead` is the work ahead of it in seconds of the whole replica.
  base::Duration retryAfter(const QueueEntry& entry, base::TimePoint queuedAt, double workAhead,
                            const LoadSnapshot& load);

 private:
  /// Time of the next free retry, by urgency level.
  using NextTimes = std::array<base::TimePoint, ArrivalRates::kUrgencyLevels>;
  struct Window {
    base::Duration earliest{};
    base::Duration latest{};
    /// Time it takes until capacity for the request becomes free.
    base::Duration interval{};
  };

  /// Reserves a time `interval` after the previous one, shifted within the interval by a hash of
  /// the id; empty if that is later than `window.latest`.
  static std::optional<base::Duration> reserveTime(NextTimes& nextTimes, const QueueEntry& entry,
                                                   const Window& window, base::TimePoint now);

  NextTimes nextRetries_{};
  /// Times for requests whose regular retry would come after their hard deadline.
  NextTimes finalRetries_{};
};

}  // namespace covewing::admission
