#include "emulator/weight_store_model.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace covewing::emulator {

namespace {
constexpr double kMicrosecondsPerSecond = 1e6;
/// Loads with less left than this are complete: the clock's resolution.
constexpr double kDoneBelow = 1.0 / kMicrosecondsPerSecond;
}  // namespace

WeightStoreModel::LoadId WeightStoreModel::load(double share, std::function<void()> done) {
  settle();
  const LoadId id = ++lastLoad_;
  loads_.emplace(id, Load{base::toSeconds(options_.loadTime) * share, std::move(done)});
  peakLoads_ = std::max(peakLoads_, loads_.size());
  scheduleNext();
  return id;
}

void WeightStoreModel::cancel(LoadId load) {
  settle();
  loads_.erase(load);
  scheduleNext();
}

void WeightStoreModel::setSpeed(double speed) {
  settle();
  speed_ = speed;
  scheduleNext();
}

double WeightStoreModel::currentSpeed() const {
  const double full = options_.fullSpeedLoads;
  const auto active = static_cast<double>(loads_.size());
  return active <= full ? speed_ : speed_ * full / active;
}

void WeightStoreModel::settle() {
  const base::TimePoint now = clock_.now();
  const double progress = base::toSeconds(now - settledAt_) * currentSpeed();
  for (auto& [id, load] : loads_) load.remaining -= progress;
  settledAt_ = now;
}

void WeightStoreModel::scheduleNext() {
  if (timer_ != 0) timers_.cancel(timer_);
  timer_ = 0;
  const double speed = currentSpeed();
  if (loads_.empty() || speed <= 0.0) return;
  double least = loads_.begin()->second.remaining;
  for (const auto& [id, load] : loads_) least = std::min(least, load.remaining);
  const double wait = std::ceil(std::max(0.0, least) / speed * kMicrosecondsPerSecond);
  timer_ = timers_.schedule(base::Duration{static_cast<base::Duration::rep>(wait)},
                            [this] { finishDue(); });
}

void WeightStoreModel::finishDue() {
  timer_ = 0;
  settle();
  std::vector<std::function<void()>> finished;
  for (auto load = loads_.begin(); load != loads_.end();) {
    if (load->second.remaining >= kDoneBelow) {
      ++load;
      continue;
    }
    finished.push_back(std::move(load->second.done));
    load = loads_.erase(load);
  }
  scheduleNext();
  for (const auto& done : finished) done();
}

}  // namespace covewing::emulator
