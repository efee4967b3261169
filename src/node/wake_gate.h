/// \file
/// Holds requests that arrive after a pause of the process until the node has read its
/// configuration and replica list again: its copies from before the pause may contain replicas that
/// have left and keys that have been revoked.
///
/// A request waits for one reply of the table service or of another node. If none arrives, the
/// request is released after `kMaximumHold` and decided on the copies that the node has, subject to
/// the limits on their age, as in any outage of the service.
#pragma once

#include <deque>
#include <functional>

#include "base/event_log.h"
#include "base/time.h"
#include "request/one_shot_timer.h"

namespace covewing::node {

class WakeGate {
 public:
  /// Maximum time for which requests are held. A reply takes some 10 ms from the table service and
  /// one round trip from another node.
  static constexpr base::Duration kMaximumHold = std::chrono::milliseconds(300);
  static constexpr base::Duration kPollInterval = std::chrono::milliseconds(5);

  /// `caughtUp` returns whether everything has been read again since the end of the pause.
  WakeGate(base::Clock& clock, base::TimerService& timers, base::EventLog& log,
           std::function<bool()> caughtUp);

  /// Called when the node has detected a pause, with the length of the pause and the part of it in
  /// which the machine was suspended. Both are logged when the gate opens.
  void onWake(base::Duration pause, base::Duration suspended);
  /// Whether requests are held.
  bool closed() const { return closed_; }
  /// Runs the action at once if the gate is open; otherwise once it opens, in the order of calls.
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
