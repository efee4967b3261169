#include "config/service_clock.h"

#include <algorithm>

namespace covewing::config {

base::TimePoint ServiceClock::madeAt(base::Duration serviceTime, base::TimePoint sentAt,
                                     base::TimePoint now) {
  if (now - windowBegan_ > window_) {
    previous_ = current_;
    current_.reset();
    windowBegan_ = now;
  }
  const auto lead = serviceTime - sentAt.time_since_epoch();
  current_ = std::min(current_.value_or(lead), lead);
  const auto least = std::min(*current_, previous_.value_or(*current_));
  const base::TimePoint made{serviceTime - least};
  return std::clamp(made, sentAt, now);
}

}  // namespace covewing::config
