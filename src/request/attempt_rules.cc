#include "request/attempt_rules.h"

#include <algorithm>

namespace covewing::request {

namespace {
constexpr base::Duration kFirstRetryDelay = std::chrono::milliseconds(5);
constexpr base::Duration kMaximumRetryDelay = std::chrono::milliseconds(200);
constexpr std::uint32_t kMaximumDoublings = 6;
constexpr double kRetryJitter = 0.5;
}  // namespace

bool mayRetry(const AttemptFailure& attempt) {
  if (attempt.responseStarted && !attempt.resumeAllowed) return false;
  if (attempt.failure != clients::DispatchFailure::kOutcomeUnknown) return true;
  return attempt.repeatable;
}

base::Duration retryDelay(std::uint32_t attempt, base::RandomSource& random) {
  const std::uint32_t retries = attempt > 2 ? attempt - 2 : 0;
  const std::uint32_t doublings = std::min(retries, kMaximumDoublings);
  const base::Duration delay = kFirstRetryDelay * (1U << doublings);
  return random.jittered(std::min(delay, kMaximumRetryDelay), kRetryJitter);
}

}  // namespace covewing::request
