#include "admission/arrival_rates.h"

#include <algorithm>
#include <cmath>

namespace covewing::admission {

namespace {

/// Minimum time constant: a shorter one averages over hardly more than one request.
constexpr base::Duration kMinimumTimeConstant = std::chrono::milliseconds(100);

}  // namespace

ArrivalRates::ArrivalRates(base::Duration timeConstant)
    : timeConstantSeconds_(base::toSeconds(std::max(timeConstant, kMinimumTimeConstant))) {}

std::size_t ArrivalRates::index(std::uint32_t urgency) {
  return std::min<std::size_t>(urgency, kUrgencyLevels - 1);
}

double ArrivalRates::remaining(const Level& level, base::TimePoint now) const {
  return std::exp(-std::max(0.0, base::toSeconds(now - level.at)) / timeConstantSeconds_);
}

void ArrivalRates::decay(Level& level, base::TimePoint now) {
  const double fraction = remaining(level, now);
  level.work.slotSeconds *= fraction;
  level.work.tokenSeconds *= fraction;
  level.work.replicaSeconds *= fraction;
  level.at = std::max(level.at, now);
}

void ArrivalRates::onArrival(std::uint32_t urgency, const Work& work, base::TimePoint now) {
  Level& level = levels_.at(index(urgency));
  decay(level, now);
  level.work.slotSeconds += work.slotSeconds;
  level.work.tokenSeconds += work.tokenSeconds;
  level.work.replicaSeconds += work.replicaSeconds;
}

Demand ArrivalRates::demand(std::uint32_t urgency, base::TimePoint now) const {
  const Level& level = levels_.at(index(urgency));
  const double rate = remaining(level, now) / timeConstantSeconds_;
  return {level.work.slotSeconds * rate, level.work.tokenSeconds * rate,
          level.work.replicaSeconds * rate};
}

double ArrivalRates::demandAbove(std::uint32_t urgency, base::TimePoint now) const {
  double share = 0.0;
  const auto end = static_cast<std::uint32_t>(std::min<std::size_t>(urgency, kUrgencyLevels));
  for (std::uint32_t each = 0; each < end; ++each) share += demand(each, now).share;
  return share;
}

}  // namespace covewing::admission
