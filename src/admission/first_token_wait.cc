#include "admission/first_token_wait.h"

#include <algorithm>

namespace covewing::admission {

using base::Duration;
using base::PriorityClass;
using base::TimePoint;

namespace {
/// First tokens older than this carry no information about the current load.
constexpr Duration kRetention = std::chrono::seconds(1);
/// Fewer samples than this carry no information about the load.
constexpr std::size_t kMinimumSamples = 4;
}  // namespace

void FirstTokenWait::onAdmitted(PriorityClass priority, RequestNumber request, TimePoint now) {
  waitsOf(priority).waiting.emplace(request, now);
}

Duration FirstTokenWait::onFirstToken(PriorityClass priority, RequestNumber request,
                                      TimePoint now) {
  ClassWaits& waits = waitsOf(priority);
  const auto found = waits.waiting.find(request);
  if (found == waits.waiting.end()) return Duration::zero();
  const Duration waited = now - found->second;
  waits.finished.push_back({now, waited});
  waits.waiting.erase(found);
  while (now - waits.finished.front().at > kRetention) waits.finished.pop_front();
  return waited;
}

Duration FirstTokenWait::onAbandoned(PriorityClass priority, RequestNumber request, TimePoint now) {
  ClassWaits& waits = waitsOf(priority);
  const auto found = waits.waiting.find(request);
  if (found == waits.waiting.end()) return Duration::zero();
  const Duration waited = now - found->second;
  waits.waiting.erase(found);
  return waited;
}

std::uint32_t FirstTokenWait::waiting() const {
  std::size_t count = 0;
  for (const ClassWaits& waits : classes_) count += waits.waiting.size();
  return static_cast<std::uint32_t>(count);
}

Duration FirstTokenWait::current(PriorityClass priority, TimePoint now) const {
  Duration longest{};
  for (std::size_t index = 0; index <= static_cast<std::size_t>(priority); ++index) {
    longest = std::max(longest, currentOfClass(classes_.at(index), now));
  }
  return longest;
}

Duration FirstTokenWait::currentOfClass(const ClassWaits& waits, TimePoint now) {
  std::vector<Duration> sample;
  for (const Finished& finished : waits.finished) {
    if (now - finished.at <= kRetention) sample.push_back(finished.wait);
  }
  const Duration finishedMedian = median(sample);
  for (const auto& [request, admittedAt] : waits.waiting) {
    const Duration waited = now - admittedAt;
    if (waited > finishedMedian) sample.push_back(waited);
  }
  return sample.size() < kMinimumSamples ? Duration::zero() : median(sample);
}

Duration FirstTokenWait::median(std::vector<Duration>& sample) {
  if (sample.empty()) return Duration::zero();
  const auto middle = sample.begin() + static_cast<std::ptrdiff_t>(sample.size() / 2);
  std::nth_element(sample.begin(), middle, sample.end());
  return *middle;
}

}  // namespace covewing::admission
