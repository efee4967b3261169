/// \file
/// Holds requests that arrive after a pause until the node has read again what it decides by: its
/// copies from before the pause may name replicas that have left and keys that were taken away.
///
/// A request waits for one answer of the table service or of another node. Where none comes, it is
/// let through after `kMaximumHold` and decided by what is known, under the bounds on its age, as
/// in any outage of the service.
#pragma once

#include <deque>
#include <functional>

#include "base/event_log.h"
#include "base/time.h"
#include "request/one_shot_timer.h"

namespace covewing::node {

class WakeGate {
 public:
  /// Answers of the table service take some 10 ms, of other nodes a round trip.
  static constexpr base::Duration kMaximumHold = std::chrono::milliseconds(300);
  static constexpr base::Duration kPollInterval = std::chrono::milliseconds(5);

  /// `caughtUp` says whether all has been read again since the wake.
  WakeGate(base::Clock& clock, base::TimerService& timers, base::EventLog& log,
           std::function<bool()> caughtUp);

  /// The node has just noticed a pause: so long it did nothing, and so much of that its machine was
  /// suspended. The event of the gate's opening tells both.
  void onWake(base::Duration pause, base::Duration suspended);
  /// Whether requests are held.
  bool closed() const { return closed_; }
  /// Runs the action now, or in order with others once the gate opens.
  void runWhenOpen(std::function<void()> action);

 private:
  void poll();
  void open(bool caughtUp);

  base::Clock& clock_;
  base::EventLog& log_;
  std::function<bool()> caughtUp_;
  request::OneShotTimer timer_;
  std::deque<std::function<void()>> heldActions_;
  base::TimePoint resumedAt_{};
  base::Duration pause_{};
  base::Duration suspended_{};
  bool closed_ = false;
};

}  // namespace covewing::node
