#include "node/pause_detector.h"

#include <fmt/format.h>

#include <utility>

namespace covewing::node {

PauseDetector::PauseDetector(base::Clock& clock, base::TimerService& timers, base::EventLog& log,
                             std::function<void(base::Duration)> onWake)
    : clock_(clock),
      log_(log),
      onWake_(std::move(onWake)),
      lastSeen_(clock.now()),
      timer_(timers) {}

void PauseDetector::start() {
  lastSeen_ = clock_.now();
  tick();
}

void PauseDetector::check() {
  const base::TimePoint now = clock_.now();
  const base::Duration silence = now - lastSeen_;
  lastSeen_ = now;
  if (silence <= kPauseThreshold) return;
  log_.write(base::Event::kNodeWokeFromPause,
             {{"silence_ms", fmt::format("{:.0f}", base::toMilliseconds(silence))}});
  onWake_(silence);
}

void PauseDetector::tick() {
  check();
  timer_.start(kTick, [this] { tick(); });
}

}  // namespace covewing::node
