#include "node/wake_gate.h"

#include <string>
#include <utility>

namespace covewing::node {

WakeGate::WakeGate(base::Clock& clock, base::TimerService& timers, base::EventLog& log,
                   std::function<bool()> caughtUp)
    : clock_(clock), log_(log), caughtUp_(std::move(caughtUp)), timer_(timers) {}

void WakeGate::onWake(base::Duration silence, base::Duration suspended) {
  wokeAt_ = clock_.now();
  silence_ = silence;
  suspended_ = suspended;
  closed_ = true;
  look();
}

void WakeGate::runWhenOpen(std::function<void()> action) {
  if (closed_) {
    held_.push_back(std::move(action));
  } else {
    action();
  }
}

void WakeGate::look() {
  const bool caughtUp = caughtUp_();
  if (caughtUp || clock_.now() - wokeAt_ >= kLongestHold) {
    open(caughtUp);
  } else {
    timer_.start(kStep, [this] { look(); });
  }
}

void WakeGate::open(bool caughtUp) {
  closed_ = false;
  const auto waiting = std::exchange(held_, {});
  log_.write(base::Event::kNodeCaughtUp,
             {{"silence_ms", base::millisecondsText(silence_)},
              {"suspended_ms", base::millisecondsText(suspended_)},
              {"read_again", caughtUp ? "yes" : "not yet"},
              {"after_ms", base::millisecondsText(clock_.now() - wokeAt_)},
              {"held", std::to_string(waiting.size())}});
  for (const auto& action : waiting) action();
}

}  // namespace covewing::node
