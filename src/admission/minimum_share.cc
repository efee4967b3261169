#include "admission/minimum_share.h"

#include <algorithm>

namespace covewing::admission {

namespace {

/// Part of what the kind asks for, and of the replica, that it is served in any case. Without it,
/// with 1.3 times the room asked for by the most urgent kind alone, a less urgent one was served
/// 0.05 of its requests in place of 0.10.
constexpr double kGuaranteedShare = 0.1;
/// Most credit: more urgent ones wait at most about this long for it at once, as long as the
/// shortest times to a start that callers ask for. A request that takes more is served once this
/// much is there, and leaves a debt.
constexpr double kMaximumCredit = 0.5;

/// Grants beyond the credit leave no further debt: room that nobody else wanted is no service
/// before others.
void spend(double& credit, double work) {
  if (credit > 0.0) credit -= work;
}

}  // namespace

double MinimumShare::timeCredit(base::TimePoint now) const {
  return std::min(kMaximumCredit,
                  timeCredit_ + kGuaranteedShare * std::max(0.0, base::toSeconds(now - at_)));
}

void MinimumShare::onArrival(double work, base::TimePoint now) {
  timeCredit_ = at_ == base::TimePoint{} ? 0.0 : timeCredit(now);
  at_ = std::max(at_, now);
  demandCredit_ = std::min(kMaximumCredit, demandCredit_ + kGuaranteedShare * work);
}

void MinimumShare::onGrant(double work, base::TimePoint now) {
  timeCredit_ = timeCredit(now);
  at_ = std::max(at_, now);
  spend(demandCredit_, work);
  spend(timeCredit_, work);
}

bool MinimumShare::covers(double work, base::TimePoint now) const {
  return std::min(demandCredit_, timeCredit(now)) >= std::min(work, kMaximumCredit);
}

}  // namespace covewing::admission
