#include "config/service_clock.h"

#include <algorithm>

namespace covewing::config {

std::optional<base::Duration> ServiceClock::leastLead() const {
  if (current_ && previous_) return std::min(*current_, *previous_);
  return current_ ? current_ : previous_;
}

void ServiceClock::forget() {
  current_.reset();
  previous_.reset();
}

base::TimePoint ServiceClock::madeAt(base::Duration serviceTime, base::TimePoint sentAt,
                                     base::Duration hold, base::TimePoint now) {
  const auto known = leastLead();
  if (known && base::TimePoint{serviceTime - *known} > now + kTolerance) {
    forget();
    return sentAt;
  }
  if (now - windowBegan_ > window_) {
    previous_ = current_;
    current_.reset();
    windowBegan_ = now;
  }
  const auto lead = serviceTime - sentAt.time_since_epoch();
  current_ = std::min(current_.value_or(lead), lead);
  const base::TimePoint made{serviceTime - *leastLead()};
  // Not the time of its arrival: behind a leap of 20 s, an answer that lay unread for 7 s counted
  // as 6 s younger than it was, and a key that had been taken away was accepted for 5 s too long.
  return std::clamp(made, sentAt, std::max(sentAt, std::min(now, sentAt + hold)));
}

}  // namespace covewing::config
