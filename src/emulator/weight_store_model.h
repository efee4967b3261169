/// \file
/// The platform's weight store. Its bandwidth carries a number of loads at full speed; more at once
/// share it evenly, so each takes longer.
#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include "base/time.h"

namespace covewing::emulator {

struct WeightStoreOptions {
  /// Time of one load that has the store's full speed for one reader.
  base::Duration loadTime = std::chrono::milliseconds(500);
  /// Loads that run at full speed together.
  std::uint32_t fullSpeedLoads = 3;
};

class WeightStoreModel {
 public:
  using LoadId = std::uint64_t;

  WeightStoreModel(const WeightStoreOptions& options, const base::Clock& clock,
                   base::TimerService& timers)
      : options_(options), clock_(clock), timers_(timers) {}

  /// Starts a load of `share` of a whole set of weights (adapters are a small share); `done` runs
  /// once, later, unless the load is cancelled.
  LoadId load(double share, std::function<void()> done);
  void cancel(LoadId load);
  /// 1 is normal, less is slow, 0 is down: loads wait until it rises again.
  void setSpeed(double speed);

  std::size_t activeLoads() const { return loads_.size(); }
  /// Most loads that ever ran at once.
  std::size_t peakLoads() const { return peakLoads_; }

 private:
  struct Load {
    /// Seconds left at full speed.
    double remaining = 0.0;
    std::function<void()> done;
  };

  /// Speed of each load now, as a fraction of full speed.
  double currentSpeed() const;
  /// Takes the time since the last call off every load.
  void settle();
  void scheduleNext();
  void finishDue();

  WeightStoreOptions options_;
  const base::Clock& clock_;
  base::TimerService& timers_;
  double speed_ = 1.0;
  /// Ascending by start, so that loads that end together finish in a fixed order.
  std::map<LoadId, Load> loads_;
  LoadId lastLoad_ = 0;
  base::TimePoint settledAt_{};
  base::TimerId timer_ = 0;
  std::size_t peakLoads_ = 0;
};

}  // namespace covewing::emulator
