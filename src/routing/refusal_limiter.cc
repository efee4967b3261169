#include "routing/refusal_limiter.h"

#include <algorithm>

namespace covewing::routing {

void RefusalLimiter::setLimit(std::optional<double> perSecond) {
  perSecond_ = perSecond;
  if (!perSecond_) accepted_.reset();
}

void RefusalLimiter::onRefused(std::size_t running, base::TimePoint now) {
  dropOld(now);
  refusals_.push_back(now);
  if (!perSecond_) return;
  accepted_ = std::max<std::size_t>(running, 1);
  refusedAt_ = now;
}

void RefusalLimiter::dropOld(base::TimePoint now) {
  while (!refusals_.empty() && now - refusals_.front() >= options_.window) refusals_.pop_front();
}

bool RefusalLimiter::allows(std::size_t running, std::uint32_t slots, base::TimePoint now) {
  if (!perSecond_) return true;
  dropOld(now);
  const auto stopAt = std::max(1.0, *perSecond_ * options_.stopAtShare);
  if (static_cast<double>(refusals_.size()) >= stopAt) return running == 0;
  if (slots > 0 && running >= slots) return false;
  if (!accepted_) return true;
  const auto regained = static_cast<std::size_t>((now - refusedAt_) / options_.regainInterval);
  return running < *accepted_ + regained;
}

}  // namespace covewing::routing
