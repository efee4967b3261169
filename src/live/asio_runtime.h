/// \file
/// Clock, timers, random seed and incarnation number of a live node. All callbacks run on the
/// single thread of the io_context.
#pragma once

#include <cstdint>
#include <memory>

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"

namespace boost::asio {
class io_context;
}

namespace covewing::live {

/// Reads the operating system's boot-time clock, which includes the time during which the machine
/// is suspended (live/boot_clock.h).
class AsioClock final : public base::Clock {
 public:
  base::TimePoint now() const override;
};

/// Timers on an io_context, driven by the boot-time clock. Timers that became due while the machine
/// was suspended run in order of their due times, within BootWaitTraits::kMaximumWait after the
/// machine resumes. Destroying the service discards all timers without running them.
class AsioTimerService final : public base::TimerService {
 public:
  explicit AsioTimerService(boost::asio::io_context& context);
  ~AsioTimerService() override;
  AsioTimerService(const AsioTimerService&) = delete;
  AsioTimerService& operator=(const AsioTimerService&) = delete;

  base::TimerId schedule(base::Duration delay, std::function<void()> callback) override;
  void cancel(base::TimerId timer) override;
  /// How late a timer ran at most since the last call: for so long the event loop was busy, or the
  /// process paused.
  base::Duration takeLongestDelay();

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

/// Returns a seed for base::SeededRandom from the operating system's entropy source.
std::uint64_t systemSeed();

/// Returns an incarnation number that increases with each start of a process: the current time in
/// microseconds since the Unix epoch.
base::Incarnation startIncarnation();

}  // namespace covewing::live
