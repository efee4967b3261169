// A clock and timers that a test moves by hand.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

#include "base/time.h"

namespace covewing::test_support {

/// Virtual time: timers fire in order of due time, then of scheduling.
class VirtualTime final : public base::Clock, public base::TimerService {
 public:
  base::TimePoint now() const override { return now_; }
  base::TimerId schedule(base::Duration delay, std::function<void()> callback) override {
    const base::TimerId id = ++lastId_;
    const base::TimePoint due = now_ + std::max(delay, base::Duration::zero());
    timers_.emplace(std::pair(due, id), std::move(callback));
    dueOf_[id] = due;
    return id;
  }
  void cancel(base::TimerId timer) override {
    const auto found = dueOf_.find(timer);
    if (found == dueOf_.end()) return;
    timers_.erase(std::pair(found->second, timer));
    dueOf_.erase(found);
  }
  /// Fires all timers due within `span` and leaves the clock at its end.
  void advance(base::Duration span) {
    const base::TimePoint end = now_ + span;
    while (!timers_.empty() && timers_.begin()->first.first <= end) {
      const auto [due, id] = timers_.begin()->first;
      const std::function<void()> callback = std::move(timers_.begin()->second);
      timers_.erase(timers_.begin());
      dueOf_.erase(id);
      now_ = std::max(now_, due);
      callback();
    }
    now_ = end;
  }
  /// Moves the clock while nothing runs, as in a paused process.
  void pause(base::Duration span) { now_ += span; }
  /// Fires what is due now.
  void settle() { advance(base::Duration::zero()); }

 private:
  base::TimePoint now_{};
  base::TimerId lastId_ = 0;
  std::map<std::pair<base::TimePoint, base::TimerId>, std::function<void()>> timers_;
  std::map<base::TimerId, base::TimePoint> dueOf_;
};

}  // namespace covewing::test_support
