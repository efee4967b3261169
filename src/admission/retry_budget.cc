#include "admission/retry_budget.h"

#include <algorithm>

namespace covewing::admission {

RetryBudget::RetryBudget(const RetryBudgetOptions& options, base::TimePoint now)
    : options_(options), tokens_(options.capacity), refilledAt_(now) {}

void RetryBudget::onRequest(base::TimePoint now) {
  refill(now);
  tokens_ = std::min(options_.capacity, tokens_ + options_.ratio);
}

bool RetryBudget::take(base::TimePoint now) {
  refill(now);
  if (tokens_ < 1.0) return false;
  tokens_ -= 1.0;
  return true;
}

void RetryBudget::refill(base::TimePoint now) {
  const double seconds = base::toSeconds(now - refilledAt_);
  tokens_ = std::min(options_.capacity, tokens_ + seconds * options_.minimumPerSecond);
  refilledAt_ = now;
}

}  // namespace covewing::admission
