#include "admission/capacity_gate.h"

#include <algorithm>
#include <cmath>

namespace covewing::admission {

using base::Duration;
using base::PriorityClass;
using base::TimePoint;

namespace {
/// From this fraction of the target on, requests are released only at the rate at which their
/// estimates arrive.
constexpr double kPacingShare = 0.5;
/// A request that was admitted longer ago than this has been routed or has ended.
constexpr Duration kEstimateTimeout = std::chrono::milliseconds(200);
}  // namespace

void CapacityGate::onAdmitted(PriorityClass priority, RequestNumber request, TimePoint now) {
  auto& admitted = awaitingEstimate_.at(static_cast<std::size_t>(priority));
  const bool probe = expected(priority, now) > target(priority, Duration::zero());
  if (probe) lastObservedAt_ = now;
  wait_.onAdmitted(priority, request, now);
  admitted.push_back(now);
  while (now - admitted.front() > kEstimateTimeout) admitted.pop_front();
}

void CapacityGate::onEstimate(PriorityClass priority, Duration expected, TimePoint now) {
  auto& admitted = awaitingEstimate_.at(static_cast<std::size_t>(priority));
  if (!admitted.empty()) admitted.pop_front();
  estimate_.add(priority, expected, now);
  lastObservedAt_ = now;
}

void CapacityGate::onFirstToken(PriorityClass priority, RequestNumber request, TimePoint now) {
  const std::uint32_t waiting = wait_.waiting();
  const Duration waited = wait_.onFirstToken(priority, request, now);
  window_.onWaited(waited, target(priority, Duration::zero()), waiting, now);
  lastObservedAt_ = now;
}

void CapacityGate::onAbandoned(PriorityClass priority, RequestNumber request, TimePoint now) {
  const std::uint32_t waiting = wait_.waiting();
  const Duration waited = wait_.onAbandoned(priority, request, now);
  const Duration limit = target(priority, Duration::zero());
  // A request that ended before the limit was cancelled by its caller and is no sign of overload.
  if (waited > limit) window_.onWaited(waited, limit, waiting, now);
}

std::size_t CapacityGate::awaitingEstimate(PriorityClass priority, TimePoint now) const {
  const auto& admitted = awaitingEstimate_.at(static_cast<std::size_t>(priority));
  const auto current = std::find_if(admitted.begin(), admitted.end(), [now](TimePoint time) {
    return now - time <= kEstimateTimeout;
  });
  return static_cast<std::size_t>(admitted.end() - current);
}

Duration CapacityGate::target(PriorityClass priority, Duration deadline) const {
  const Duration target = options_.target.at(static_cast<std::size_t>(priority));
  if (deadline <= Duration::zero()) return target;
  const auto share =
      static_cast<Duration::rep>(static_cast<double>(deadline.count()) * options_.deadlineShare);
  return std::min(target, Duration{share});
}

bool CapacityGate::isOpen(PriorityClass priority, Duration deadline, TimePoint now) const {
  const double estimate = base::toSeconds(expected(priority, now));
  const double limit = base::toSeconds(target(priority, deadline));
  if (estimate > limit) return now - lastObservedAt_ >= options_.probeInterval;
  if (!window_.admits(priority, wait_.waiting())) return false;
  if (estimate <= limit * kPacingShare) return true;
  return awaitingEstimate(priority, now) < options_.maximumAwaitingEstimate;
}

Duration CapacityGate::timeToOpen(PriorityClass priority, Duration deadline, TimePoint now) const {
  const double estimate = base::toSeconds(expected(priority, now));
  const double limit = base::toSeconds(target(priority, deadline));
  if (estimate <= limit || limit <= 0) return Duration::zero();
  const double halvings = std::log2(estimate / limit);
  return Duration{static_cast<Duration::rep>(
      halvings * static_cast<double>(options_.estimateHalfLife.count()))};
}

}  // namespace covewing::admission
