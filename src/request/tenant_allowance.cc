#include "request/tenant_allowance.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace covewing::request {

namespace {

std::string_view nameOf(admission::QuotaDecider decider) {
  switch (decider) {
    case admission::QuotaDecider::kLease:
      return "this node's lease";
    case admission::QuotaDecider::kHome:
      return "the tenant's home";
    case admission::QuotaDecider::kCachedRefusal:
      return "an earlier refusal by the tenant's home";
    case admission::QuotaDecider::kLocalShare:
      return "this node's share, as no home answers";
  }
  return "";
}

}  // namespace

void TenantAllowance::acquire(admission::TenantQuotas::Callback onVerdict) {
  if (!demand_) {
    onVerdict({});
    return;
  }
  state_ = State::kPending;
  waitId_ = quotas_.newWaitId();
  quotas_.acquire(waitId_, *demand_, [this, onVerdict = std::move(onVerdict)](const auto& verdict) {
    const bool granted = verdict.outcome == admission::QuotaOutcome::kGranted;
    state_ = granted ? State::kGranted : State::kEnded;
    onVerdict(verdict);
  });
}

void TenantAllowance::onDispatch(std::uint32_t executions) {
  if (state_ != State::kGranted || executions < chargedAttempts_) return;
  ++chargedAttempts_;
  quotas_.charge(demand_->tenant, demand_->tokens);
}

void TenantAllowance::end(std::uint32_t executions) {
  const State before = std::exchange(state_, State::kEnded);
  if (before == State::kPending) quotas_.cancel(waitId_, demand_->tenant);
  if (before != State::kGranted) return;
  const auto unused = chargedAttempts_ - std::min(chargedAttempts_, executions);
  quotas_.release(demand_->tenant, unused * demand_->tokens);
}

std::string describeRefusal(const admission::QuotaDemand& demand,
                            const admission::QuotaVerdict& verdict) {
  return fmt::format(
      "the tenant's limit of {:.0f} a second and {:.0f} at once is used up: {} left, {} asked, "
      "decided by {} {}",
      demand.limits.ratePerSecond, demand.limits.burst, verdict.balance, demand.tokens,
      nameOf(verdict.decider), verdict.home);
}

}  // namespace covewing::request
