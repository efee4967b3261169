/// \file
/// The clock and the timers of live nodes. They count the time that the machine is suspended.
///
/// Asio waits by CLOCK_MONOTONIC, which stands still during a suspension. A timer here is due by
/// the boot-time clock, and the loop waits at most `kMaximumWait` before it compares due times with
/// that clock again: so much later than its time does a timer run after a wake, at most.
#pragma once

#include <algorithm>
#include <boost/asio/basic_waitable_timer.hpp>

#include "base/time.h"

namespace covewing::live {

/// CLOCK_BOOTTIME plus the offset that a test states. For Asio's timers and live::AsioClock.
struct BootClock {
  using rep = base::Duration::rep;
  using period = base::Duration::period;
  using duration = base::Duration;
  using time_point = std::chrono::time_point<BootClock, duration>;
  static constexpr bool is_steady =
      true;  // NOLINT(readability-identifier-naming): name set by <chrono>
  static time_point now();
};

/// How long the machine was suspended since it started: the lead of the boot-time clock over the
/// monotonic one, within a microsecond or two.
base::Duration suspendedTime();

/// Lets the boot-time clock of this process jump ahead as if the machine had been suspended for so
/// long. For tests: a process cannot suspend its machine. May be called on any thread.
void simulateSuspension(base::Duration duration);

/// How long a loop waits for a timer without a look at the boot-time clock.
struct BootWaitTraits {
  /// A fifth of the shortest hold of a request (250 ms); 20 looks a second cost 0.08% of a core.
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
