#include "node/pause_detector.h"

#include <fmt/format.h>

#include <utility>

namespace covewing::node {

PauseDetector::PauseDetector(base::Clock& clock, base::TimerService& timers, base::EventLog& log,
                             std::function<void(base::Duration)> onWake)
    : clock_(clock),
      log_(log),
      onWake_(std::move(onWake)),
      lastCheckedAt_(clock.now()),
      timer_(timers) {}

void PauseDetector::start() {
  lastCheckedAt_ = clock_.now();
  tick();
}

void PauseDetector::check() {
  const base::TimePoint now = clock_.now();
  const base::Duration pause = now - lastCheckedAt_;
  lastCheckedAt_ = now;
  if (pause <= kPauseThreshold) return;
  log_.write(base::Event::kNodeWokeFromPause,
             {{"silence_ms", fmt::format("{:.0f}", base::toMilliseconds(pause))}});
  onWake_(pause);
}

void PauseDetector::tick() {
  check();
  timer_.start(kCheckInterval, [this] { tick(); });
}

}  // namespace covewing::node
