#include "admission/arrival_rates.h"

#include <algorithm>
#include <cmath>

namespace covewing::admission {

namespace {

/// Shortest memory; shorter ones hold hardly one request.
constexpr base::Duration kShortestMemory = std::chrono::milliseconds(100);

}  // namespace

ArrivalRates::ArrivalRates(base::Duration memory)
    : memorySeconds_(base::toSeconds(std::max(memory, kShortestMemory))) {}

std::size_t ArrivalRates::index(std::uint32_t urgency) {
  return std::min<std::size_t>(urgency, kUrgencies - 1);
}

double ArrivalRates::kept(const Kind& kind, base::TimePoint now) const {
  return std::exp(-std::max(0.0, base::toSeconds(now - kind.at)) / memorySeconds_);
}

void ArrivalRates::forget(Kind& kind, base::TimePoint now) {
  const double part = kept(kind, now);
  kind.asked.slotSeconds *= part;
  kind.asked.tokenSeconds *= part;
  kind.asked.replicaSeconds *= part;
  kind.at = std::max(kind.at, now);
}

void ArrivalRates::onArrival(std::uint32_t urgency, const Work& work, base::TimePoint now) {
  Kind& kind = kinds_.at(index(urgency));
  forget(kind, now);
  kind.asked.slotSeconds += work.slotSeconds;
  kind.asked.tokenSeconds += work.tokenSeconds;
  kind.asked.replicaSeconds += work.replicaSeconds;
}

Demand ArrivalRates::asked(std::uint32_t urgency, base::TimePoint now) const {
  const Kind& kind = kinds_.at(index(urgency));
  const double rate = kept(kind, now) / memorySeconds_;
  return {kind.asked.slotSeconds * rate, kind.asked.tokenSeconds * rate,
          kind.asked.replicaSeconds * rate};
}

double ArrivalRates::askedBefore(std::uint32_t urgency, base::TimePoint now) const {
  double share = 0.0;
  const auto end = static_cast<std::uint32_t>(std::min<std::size_t>(urgency, kUrgencies));
  for (std::uint32_t each = 0; each < end; ++each) share += asked(each, now).share;
  return share;
}

}  // namespace covewing::admission
