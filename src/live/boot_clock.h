/// \file
/// Clock and timers of live nodes, which include the time during which the machine is suspended.
///
/// Asio waits on CLOCK_MONOTONIC, which does not advance during a suspension. The due times of
/// BootTimer refer to the boot-time clock instead, and the event loop waits at most `kMaximumWait`
/// before it compares them with that clock again. After the machine resumes, a timer therefore runs
/// at most that much too late.
#pragma once

#include <algorithm>
#include <boost/asio/basic_waitable_timer.hpp>

#include "base/time.h"

namespace covewing::live {

/// CLOCK_BOOTTIME plus the suspensions simulated by a test. Used by BootTimer and live::AsioClock.
struct BootClock {
  using rep = base::Duration::rep;
  using period = base::Duration::period;
  using duration = base::Duration;
  using time_point = std::chrono::time_point<BootClock, duration>;
  static constexpr bool is_steady =
      true;  // NOLINT(readability-identifier-naming): name set by <chrono>
  static time_point now();
};

/// Returns the total time that the machine has been suspended since it booted: the difference
/// between the boot-time clock and the monotonic clock, accurate to a microsecond or two.
base::Duration suspendedTime();

/// Advances the boot-time clock of this process by `duration`, as if the machine had been suspended
/// for that long. For tests, because a process cannot suspend its machine. May be called on any
/// thread.
void simulateSuspension(base::Duration duration);

/// Limits how long the event loop waits for a timer before it reads the boot-time clock again.
struct BootWaitTraits {
  /// A fifth of the shortest time that a request is held (250 ms). Reading the clock 20 times a
  /// second costs 0.08% of a core.
  static constexpr base::Duration kMaximumWait = std::chrono::milliseconds(50);

  static base::Duration to_wait_duration(  // NOLINT(readability-identifier-naming): set by Asio
      base::Duration remaining) {
    return std::min(remaining, kMaximumWait);
  }
  static base::Duration to_wait_duration(  // NOLINT(readability-identifier-naming): set by Asio
      const BootClock::time_point& due) {
    return to_wait_duration(due - BootClock::now());
  }
};

using BootTimer = boost::asio::basic_waitable_timer<BootClock, BootWaitTraits>;

}  // namespace covewing::live
