/// \file
/// A timer that is a member of the object it serves, so that it never fires after that object was
/// destroyed.
#pragma once

#include <functional>
#include <utility>

#include "base/time.h"

namespace covewing::request {

/// Holds at most one scheduled callback. Starting the timer again replaces the callback.
class OneShotTimer {
 public:
  explicit OneShotTimer(base::TimerService& timers) : timers_(timers) {}
  ~OneShotTimer() { stop(); }
  OneShotTimer(const OneShotTimer&) = delete;
  OneShotTimer& operator=(const OneShotTimer&) = delete;

  /// Runs `callback` once after `delay`. The callback may destroy this timer.
  void start(base::Duration delay, std::function<void()> callback) {
    stop();
    timer_ = timers_.schedule(delay, [this, callback = std::move(callback)] {
      timer_ = 0;
      callback();
    });
  }

  void stop() {
    if (timer_ != 0) timers_.cancel(timer_);
    timer_ = 0;
  }

  bool running() const { return timer_ != 0; }

 private:
  base::TimerService& timers_;
  base::TimerId timer_ = 0;
};

}  // namespace covewing::request
