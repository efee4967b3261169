#include "routing/queue_estimate.h"

#include <algorithm>
#include <numeric>

namespace covewing::routing {

void QueueEstimate::onReport(const platform::EngineLoad& load, base::TimePoint now) {
  load_ = load;
  sampledAt_ = now - options_.reportLag;
  while (!dispatches_.empty() && dispatches_.front().at <= sampledAt_) dispatches_.pop_front();
}

void QueueEstimate::onDispatched(base::PriorityClass priority, std::uint32_t uncachedTokens,
                                 base::TimePoint now) {
  while (!dispatches_.empty() && now - dispatches_.front().at > options_.dispatchMemory)
    dispatches_.pop_front();
  dispatches_.push_back({now, priority, uncachedTokens});
}

void QueueEstimate::clear() {
  load_ = {};
  dispatches_.clear();
}

std::uint64_t QueueEstimate::tokensAhead(base::PriorityClass priority, base::TimePoint now) const {
  const auto classes = static_cast<std::size_t>(priority) + 1;
  double queued = 0;
  for (std::size_t index = 0; index < classes; ++index) {
    queued += static_cast<double>(load_.queuedPrefillTokens.at(index));
  }
  // Replays the work since the sample: the engine computes while new work comes in.
  base::TimePoint at = sampledAt_;
  const auto computeUntil = [&](base::TimePoint until) {
    queued -= options_.prefillTokensPerSecond * base::toSeconds(until - at);
    queued = std::max(queued, 0.0);
    at = until;
  };
  for (const auto& dispatch : dispatches_) {
    if (dispatch.priority > priority) continue;
    computeUntil(std::max(at, dispatch.at));
    queued += dispatch.tokens;
  }
  computeUntil(std::max(at, now));
  return static_cast<std::uint64_t>(queued);
}

std::uint32_t QueueEstimate::requests() const {
  const auto waiting = std::accumulate(load_.waiting.begin(), load_.waiting.end(), 0U);
  return load_.running + waiting + static_cast<std::uint32_t>(dispatches_.size());
}

}  // namespace covewing::routing
