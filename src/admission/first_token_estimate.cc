#include "admission/first_token_estimate.h"

#include <algorithm>
#include <cmath>

namespace covewing::admission {

using base::Duration;
using base::TimePoint;

void FirstTokenEstimate::add(base::PriorityClass priority, Duration expected, TimePoint now) {
  ClassSamples& samples = classes_.at(static_cast<std::size_t>(priority));
  // Samples from before a long gap carry no information about the current load.
  if (now - samples.newest > 2 * halfLife_) {
    samples.ring.clear();
    samples.next = 0;
  }
  samples.newest = now;
  if (samples.ring.size() < kSamples) {
    samples.ring.push_back(expected);
    return;
  }
  samples.ring[samples.next] = expected;
  samples.next = (samples.next + 1) % kSamples;
}

Duration FirstTokenEstimate::current(base::PriorityClass priority, TimePoint now) const {
  Duration estimate{};
  for (std::size_t index = 0; index <= static_cast<std::size_t>(priority); ++index) {
    estimate = std::max(estimate, currentOfClass(classes_.at(index), now));
  }
  return estimate;
}

Duration FirstTokenEstimate::currentOfClass(const ClassSamples& samples, TimePoint now) const {
  if (samples.ring.empty()) return Duration::zero();
  std::vector<Duration> sorted = samples.ring;
  const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
  std::nth_element(sorted.begin(), middle, sorted.end());
  const double halvings = base::toSeconds(now - samples.newest) / base::toSeconds(halfLife_);
  return Duration{static_cast<Duration::rep>(static_cast<double>(middle->count()) *
                                             std::exp2(-std::max(0.0, halvings)))};
}

}  // namespace covewing::admission
