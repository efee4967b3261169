// Virtual clock and timers for the tests of the emulator's models.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

#include "base/random.h"
#include "base/time.h"

namespace covewing::emulator {

class VirtualTime final : public base::Clock, public base::TimerService {
 public:
  base::TimePoint now() const override { return now_; }

  base::TimerId schedule(base::Duration delay, std::function<void()> callback) override {
    const base::TimerId id = ++lastTimer_;
    const base::TimePoint at = now_ + std::max(delay, base::Duration{0});
    due_[id] = at;
    queue_[{at, id}] = std::move(callback);
    return id;
  }

  void cancel(base::TimerId timer) override {
    const auto found = due_.find(timer);
    if (found == due_.end()) return;
    queue_.erase({found->second, timer});
    due_.erase(found);
  }

  /// Runs everything due within `duration` and ends that much later.
  void run(base::Duration duration) {
    const base::TimePoint end = now_ + duration;
    while (!queue_.empty() && queue_.begin()->first.first <= end) {
      auto node = queue_.extract(queue_.begin());
      now_ = node.key().first;
      due_.erase(node.key().second);
      node.mapped()();
    }
    now_ = end;
  }

  std::size_t pendingTimers() const { return queue_.size(); }

 private:
  base::TimePoint now_{};
  base::TimerId lastTimer_ = 0;
  std::map<std::pair<base::TimePoint, base::TimerId>, std::function<void()>> queue_;
  std::map<base::TimerId, base::TimePoint> due_;
};

/// Everything that a model under test is given.
struct TestWorld {
  VirtualTime time;
  base::SeededRandom random{7};
};

}  // namespace covewing::emulator
