#include "routing/rate_pacer.h"

#include <algorithm>

namespace covewing::routing {

base::Duration RatePacer::intervalOf(std::optional<double> perSecond) {
  constexpr double kMicrosecondsPerSecond = 1'000'000;
  if (!perSecond) return {};
  return base::Duration{static_cast<base::Duration::rep>(kMicrosecondsPerSecond /
                                                         std::max(*perSecond, kMinimumRate))};
}

void RatePacer::setRate(std::optional<double> perSecond, base::TimePoint now) {
  const auto before = interval_;
  interval_ = perSecond ? std::optional(intervalOf(perSecond)) : std::nullopt;
  if (!interval_ || before == interval_) return;
  // A replica that has just reported a limit is overloaded: one request may pass at once, without
  // credit.
  if (!before) nextDue_ = std::max(nextDue_, now + kCredit);
  // After an increase of the rate the next request is due earlier than the lower rate implied.
  if (before && *interval_ < *before)
    nextDue_ = std::min(nextDue_, lastPassed_ + kCredit + *interval_);
}

base::Duration RatePacer::untilNext(base::TimePoint now) const {
  if (!interval_) return {};
  return std::max(nextDue_ - kCredit - now, base::Duration::zero());
}

void RatePacer::onPassed(base::TimePoint now) {
  lastPassed_ = now;
  if (interval_) nextDue_ = std::max(nextDue_, now) + *interval_;
}

void RatePacer::onControlCall(base::TimePoint now) {
  if (!interval_) return;
  if (now < nextFreeControlCall_) {
    onPassed(now);
    return;
  }
  nextFreeControlCall_ = now + kIntervalsPerControlCall * *interval_;
}

void RatePacer::onNotSent() {
  if (interval_) nextDue_ -= *interval_;
}

}  // namespace covewing::routing
