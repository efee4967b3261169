/// \file
/// Notices that the process was paused: its clock jumped between two moments that lie close
/// together while it runs.
#pragma once

#include <functional>

#include "base/event_log.h"
#include "base/time.h"
#include "request/one_shot_timer.h"

namespace covewing::node {

class PauseDetector {
 public:
  static constexpr base::Duration kCheckInterval = std::chrono::milliseconds(250);
  /// A longer silence than this between two ticks counts as a pause.
  static constexpr base::Duration kPauseThreshold = std::chrono::seconds(1);

  /// `onWake` runs with the length of the silence, before anything else is done after a pause.
  PauseDetector(base::Clock& clock, base::TimerService& timers, base::EventLog& log,
                std::function<void(base::Duration)> onWake);

  void start();
  /// Compares the clock with the last time it was looked at. Called at each tick and before each
  /// request, so that a request that arrives first after a pause finds it noticed.
  void check();

 private:
  void tick();

  base::Clock& clock_;
  base::EventLog& log_;
  std::function<void(base::Duration)> onWake_;
  base::TimePoint lastCheckedAt_;
  request::OneShotTimer timer_;
};

}  // namespace covewing::node
