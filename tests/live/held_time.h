/// \file
/// A clock and its timers that a test can hold back, so that what they drive makes no progress
/// until the test lets it, however long the process stands still meanwhile.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

#include "base/time.h"

namespace covewing::live {

class HeldTime final : public base::Clock, public base::TimerService {
 public:
  HeldTime(const base::Clock& clock, base::TimerService& timers) : clock_(clock), timers_(timers) {}
  ~HeldTime() override { timers_.cancel(realTimer_); }
  HeldTime(const HeldTime&) = delete;
  HeldTime& operator=(const HeldTime&) = delete;

  base::TimePoint now() const override { return held_ ? heldAt_ : clock_.now() - lag_; }

  base::TimerId schedule(base::Duration delay, std::function<void()> callback) override {
    const auto id = ++lastId_;
    const auto due = now() + std::max(delay, base::Duration::zero());
    dueTimes_.emplace(id, due);
    waiting_.emplace(std::pair{due, id}, std::move(callback));
    arm();
    return id;
  }
  void cancel(base::TimerId timer) override {
    const auto found = dueTimes_.find(timer);
    if (found == dueTimes_.end()) return;
    waiting_.erase({found->second, timer});
    dueTimes_.erase(found);
  }

  /// Stops the clock.
  void hold() {
    heldAt_ = now();
    held_ = true;
  }
  /// Sets the clock to the time at which the next timer is due, and fires that timer.
  void fireNext() {
    if (waiting_.empty()) return;
    heldAt_ = std::max(heldAt_, waiting_.begin()->first.first);
    fireFirst();
  }
  /// Lets the clock run on from where it stands.
  void release() {
    lag_ = clock_.now() - heldAt_;
    held_ = false;
    arm();
  }

 private:
  void fireFirst() {
    auto entry = waiting_.extract(waiting_.begin());
    dueTimes_.erase(entry.key().second);
    entry.mapped()();
  }
  void fireDue() {
    while (!held_ && !waiting_.empty() && waiting_.begin()->first.first <= now()) fireFirst();
    arm();
  }
  void arm() {
    timers_.cancel(realTimer_);
    if (held_ || waiting_.empty()) return;
    realTimer_ = timers_.schedule(waiting_.begin()->first.first - now(), [this] { fireDue(); });
  }

  const base::Clock& clock_;
  base::TimerService& timers_;
  bool held_ = false;
  base::TimePoint heldAt_{};
  /// By how much this clock is behind the real one.
  base::Duration lag_{};
  base::TimerId lastId_ = 0;
  base::TimerId realTimer_ = 0;
  std::map<base::TimerId, base::TimePoint> dueTimes_;
  std::map<std::pair<base::TimePoint, base::TimerId>, std::function<void()>> waiting_;
};

}  // namespace covewing::live
