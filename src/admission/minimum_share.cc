#include "admission/minimum_share.h"

#include <algorithm>

namespace covewing::admission {

namespace {

/// Fraction of its own demand, and of the replica, that a level is served in any case. Without it,
/// when the most urgent level alone demanded 1.3 times the capacity, a less urgent level was served
/// 0.05 of its requests instead of 0.10.
constexpr double kGuaranteedShare = 0.1;
/// Maximum credit in seconds of the whole replica. A more urgent request waits at most about this
/// long because of it, which is as long as the shortest time to start that callers require. A
/// request that needs more is served once this much credit is available, and leaves a debt.
constexpr double kMaximumCredit = 0.5;

/// Grants beyond the credit add no further debt: capacity that no other request wanted does not
/// count as being served ahead of others.
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
