#include "emulator/service_conditions.h"

#include <algorithm>

namespace covewing::emulator {

bool TokenBucket::take(base::TimePoint now) {
  if (rate_ <= 0.0) return true;
  if (now > filledAt_) {
    tokens_ = std::min(burst_, tokens_ + base::toSeconds(now - filledAt_) * rate_);
    filledAt_ = now;
  }
  if (tokens_ < 1.0) return false;
  tokens_ -= 1.0;
  return true;
}

void TokenBucket::setRate(double rate, double burst) {
  rate_ = rate;
  burst_ = burst;
  tokens_ = std::min(tokens_, burst);
}

bool ServiceConditions::admit(base::TimePoint now) {
  if (!bucket_.take(now)) {
    ++rateLimited_;
    return false;
  }
  ++admitted_;
  return true;
}

base::Duration ServiceConditions::drawLatency(base::RandomSource& random) const {
  const base::Duration latency = random.jittered(options_.latency, options_.latencyJitter);
  return mode_ == ServiceMode::kSlow ? latency + slowLatency_ : latency;
}

bool ServiceConditions::drawAnswerLoss(base::RandomSource& random) {
  const bool forced = answersToLose_ > 0;
  if (forced) --answersToLose_;
  const bool lost = forced || (answerLoss_ > 0.0 && random.unit() < answerLoss_);
  if (lost) ++answersLost_;
  return lost;
}

}  // namespace covewing::emulator
