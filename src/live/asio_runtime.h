/// \file
/// Clock, timers and random seed of the live runtime. All callbacks run on the io_context's one
/// thread.
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

/// The boot-time clock of the operating system, which counts suspensions (live/boot_clock.h).
class AsioClock final : public base::Clock {
 public:
  base::TimePoint now() const override;
};

/// Timers on an io_context, by the boot-time clock: those that came due while the machine was
/// suspended run in their order within BootWaitTraits::kMaximumWait of the wake. Destroying the
/// service forgets all timers.
class AsioTimerService final : public base::TimerService {
 public:
  explicit AsioTimerService(boost::asio::io_context& context);
  ~AsioTimerService() override;
  AsioTimerService(const AsioTimerService&) = delete;
  AsioTimerService& operator=(const AsioTimerService&) = delete;

  base::TimerId schedule(base::Duration delay, std::function<void()> callback) override;
  void cancel(base::TimerId timer) override;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

/// A seed from the operating system's entropy, for base::SeededRandom.
std::uint64_t systemSeed();

/// A number that grows with each start of a process: microseconds since the Unix epoch.
base::Incarnation startIncarnation();

}  // namespace covewing::live
