/// \file
/// Time as decision code sees it: a monotonic clock and one-shot timers, both injected.
///
/// Contract: one thread (live) or one event loop (simulated) for all of a node; no wall clock here.
/// Ages, leases and deadlines count a suspension (docs/design/clock.md: which clock serves what).
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

namespace covewing::base {

using Duration = std::chrono::microseconds;

/// Marker type of the injected monotonic clock. Its origin is arbitrary and differs between nodes.
struct MonotonicClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicClock, Duration>;
  static constexpr bool is_steady =
      true;  // NOLINT(readability-identifier-naming): name set by <chrono>
};
using TimePoint = MonotonicClock::time_point;

/// Milliseconds as a floating point number, for reports.
constexpr double toMilliseconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1000.0;
}
/// Seconds as a floating point number, for rates.
constexpr double toSeconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1'000'000.0;
}

/// Source of monotonic time. A pause of process or machine shows as a jump, never as a step back.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual TimePoint now() const = 0;
};

/// Handle of a scheduled timer; 0 is never used.
using TimerId = std::uint64_t;

/// One-shot timers. Callbacks run on the node's own thread, never from inside `schedule`.
class TimerService {
 public:
  virtual ~TimerService() = default;
  /// Runs `callback` once, `delay` or later from now. Negative delays count as zero.
  virtual TimerId schedule(Duration delay, std::function<void()> callback) = 0;
  /// Forgets the timer; a handle that already fired or was cancelled is ignored.
  virtual void cancel(TimerId timer) = 0;
};

}  // namespace covewing::base
