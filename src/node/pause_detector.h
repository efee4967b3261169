/// \file
/// Detects that the process was paused: its clock jumped between two checks that follow each other
/// closely while the process runs.
#pragma once

#include <functional>

#include "base/event_log.h"
#include "base/time.h"
#include "request/one_shot_timer.h"

namespace covewing::node {

class PauseDetector {
 public:
  static constexpr base::Duration kCheckInterval = std::chrono::milliseconds(250);
  /// A longer time than this between two checks counts as a pause.
  static constexpr base::Duration kPauseThreshold = std::chrono::seconds(1);

  /// `onWake` is called with the length of the pause, before anything else is done after it.
  PauseDetector(base::Clock& clock, base::TimerService& timers, base::EventLog& log,
                std::function<void(base::Duration)> onWake);

  void start();
  /// Compares the clock with its value at the previous check. Called at each timer tick and before
  /// each request, so that a pause is detected before the first request after it is handled.
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
