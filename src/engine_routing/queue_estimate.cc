#include "engine_routing/queue_estimate.h"

#include <algorithm>
#include <numeric>

namespace covewing::engine_routing {

void QueueEstimate::compute(WorkByPriority& work, base::Duration span) const {
  double remaining = options_.prefillTokensPerSecond * base::toSeconds(span);
  for (double& tokens : work) {
    const double computed = std::min(tokens, remaining);
    tokens -= computed;
    remaining -= computed;
  }
}

void QueueEstimate::onReport(const clients::EngineLoad& load, base::TimePoint now) {
  const auto sampledAt = now - options_.reportLag;
  if (sampledAt <= sampledAt_) return;
  while (!dispatches_.empty() && dispatches_.front().announcedAt <= sampledAt) {
    const Dispatch& dispatch = dispatches_.front();
    compute(replayed_, dispatch.announcedAt - sampledAt_);
    sampledAt_ = dispatch.announcedAt;
    replayed_.at(static_cast<std::size_t>(dispatch.priority)) += dispatch.tokens;
    dispatches_.pop_front();
  }
  compute(replayed_, sampledAt - sampledAt_);
  sampledAt_ = sampledAt;
  load_ = load;
  for (std::size_t index = 0; index < bounded_.size(); ++index) {
    const auto reported = static_cast<double>(load.queuedPrefillTokens.at(index));
    const double minimum = options_.waitingTokens * load.waiting.at(index);
    replayed_.at(index) = std::min(replayed_.at(index), reported);
    bounded_.at(index) = std::min(std::max(replayed_.at(index), minimum), reported);
  }
}

void QueueEstimate::onDispatched(base::PriorityClass priority, std::uint32_t uncachedTokens,
                                 base::TimePoint now) {
  while (!dispatches_.empty() && now - dispatches_.front().announcedAt > options_.dispatchRetention)
    dispatches_.pop_front();
  dispatches_.push_back({now, priority, uncachedTokens});
}

void QueueEstimate::clear() {
  load_ = {};
  replayed_ = {};
  bounded_ = {};
  dispatches_.clear();
}

std::uint64_t QueueEstimate::tokensAhead(base::PriorityClass priority, base::TimePoint now) const {
  WorkByPriority work = bounded_;
  base::TimePoint at = sampledAt_;
  for (const auto& dispatch : dispatches_) {
    compute(work, dispatch.announcedAt - at);
    at = dispatch.announcedAt;
    work.at(static_cast<std::size_t>(dispatch.priority)) += dispatch.tokens;
  }
  compute(work, now - at);
  const auto classes = static_cast<std::ptrdiff_t>(priority) + 1;
  return static_cast<std::uint64_t>(std::accumulate(work.begin(), work.begin() + classes, 0.0));
}

std::uint32_t QueueEstimate::requests() const {
  const auto waiting = std::accumulate(load_.waiting.begin(), load_.waiting.end(), 0U);
  return load_.running + waiting + static_cast<std::uint32_t>(dispatches_.size());
}

}  // namespace covewing::engine_routing
