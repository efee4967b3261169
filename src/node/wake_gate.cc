#include "node/wake_gate.h"

#include <string>
#include <utility>

namespace covewing::node {

WakeGate::WakeGate(base::Clock& clock, base::TimerService& timers, base::EventLog& log,
                   std::function<bool()> caughtUp)
    : clock_(clock), log_(log), caughtUp_(std::move(caughtUp)), timer_(timers) {}

void WakeGate::onWake(base::Duration pause, base::Duration suspended) {
  resumedAt_ = clock_.now();
  pause_ = pause;
  suspended_ = suspended;
  closed_ = true;
  poll();
}

void WakeGate::runWhenOpen(std::function<void()> action) {
  if (closed_) {
    heldActions_.push_back(std::move(action));
  } else {
    action();
  }
}

void WakeGate::poll() {
  const bool caughtUp = caughtUp_();
  if (caughtUp || clock_.now() - resumedAt_ >= kMaximumHold) {
    open(caughtUp);
  } else {
    timer_.start(kPollInterval, [this] { poll(); });
  }
}

void WakeGate::open(bool caughtUp) {
  closed_ = false;
  const auto released = std::exchange(heldActions_, {});
  log_.write(base::Event::kNodeCaughtUp,
             {{"silence_ms", base::millisecondsText(pause_)},
              {"suspended_ms", base::millisecondsText(suspended_)},
              {"read_again", caughtUp ? "yes" : "not yet"},
              {"after_ms", base::millisecondsText(clock_.now() - resumedAt_)},
              {"held", std::to_string(released.size())}});
  for (const auto& action : released) action();
}

}  // namespace covewing::node
