#include "live/boot_clock.h"

#include <atomic>
#include <chrono>
#include <ctime>

namespace covewing::live {

namespace {

std::atomic<base::Duration::rep> simulatedSuspension{0};

base::Duration read(clockid_t clock) {
  timespec time{};
  // Cannot fail: both clocks exist on every supported kernel (2.6.39 and later).
  clock_gettime(clock, &time);
  return std::chrono::duration_cast<base::Duration>(std::chrono::seconds(time.tv_sec) +
                                                    std::chrono::nanoseconds(time.tv_nsec));
}

base::Duration sinceBoot() {
  return read(CLOCK_BOOTTIME) + base::Duration{simulatedSuspension.load(std::memory_order_relaxed)};
}

}  // namespace

BootClock::time_point BootClock::now() { return time_point{sinceBoot()}; }

base::Duration suspendedTime() { return sinceBoot() - read(CLOCK_MONOTONIC); }

void simulateSuspension(base::Duration duration) {
  simulatedSuspension.fetch_add(duration.count(), std::memory_order_relaxed);
}

}  // namespace covewing::live
