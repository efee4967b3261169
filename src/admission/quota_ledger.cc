#include "admission/quota_ledger.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace covewing::admission {

using base::Duration;
using base::TimePoint;

namespace {
/// Rounding slack of the bucket, in tokens.
constexpr double kTokenSlack = 1e-6;
constexpr double kMicrosecondsPerSecond = 1e6;
}  // namespace

QuotaGrant QuotaLedger::handle(const Borrower& borrower, const QuotaAsk& ask, TimePoint now) {
  QuotaGrant grant;
  grant.tenant = ask.tenant;
  grant.sequence = ask.sequence;
  Account& tenant = account(ask, now);
  SlotLease& lease = tenant.leases[borrower.node];
  const bool olderRun = borrower.incarnation < lease.incarnation;
  const bool olderAsk = borrower.incarnation == lease.incarnation && ask.sequence <= lease.sequence;
  if (olderRun || olderAsk) return grant;
  lease.incarnation = borrower.incarnation;
  lease.sequence = ask.sequence;
  grantTokens(tenant, ask, grant);
  grantSlots(tenant, borrower, ask, now, grant);
  return grant;
}

QuotaLedger::Account& QuotaLedger::account(const QuotaAsk& ask, TimePoint now) {
  const auto [found, created] = accounts_.try_emplace(ask.tenant);
  Account& tenant = found->second;
  if (created) {
    tenant.revision = ask.revision;
    tenant.limits = ask.limits;
    tenant.tokens = bucketSize(ask.limits);
    tenant.refilledAt = now;
  }
  refill(tenant, now);
  if (ask.revision > tenant.revision) {
    tenant.revision = ask.revision;
    tenant.limits = ask.limits;
    tenant.tokens = std::min(tenant.tokens, bucketSize(ask.limits));
  }
  return tenant;
}

double QuotaLedger::bucketSize(const config::TenantLimits& limits) {
  return std::max(1.0, static_cast<double>(limits.burst));
}

void QuotaLedger::refill(Account& account, TimePoint now) {
  const double earned =
      base::toSeconds(now - account.refilledAt) * account.limits.requestsPerSecond;
  account.tokens = std::min(bucketSize(account.limits), account.tokens + earned);
  account.refilledAt = now;
}

void QuotaLedger::grantTokens(Account& account, const QuotaAsk& ask, QuotaGrant& grant) const {
  const double rate = account.limits.requestsPerSecond;
  if (rate <= 0) {
    grant.tokens = ask.tokensWanted;
    return;
  }
  if (ask.tokensWanted == 0) return;
  if (account.tokens + kTokenSlack < 1.0) {
    grant.tokensAfter = Duration{
        static_cast<Duration::rep>((1.0 - account.tokens) / rate * kMicrosecondsPerSecond)};
    return;
  }
  // A batch leaves half of the bucket to the other nodes.
  const double share = std::max(1.0, std::floor(account.tokens / 2 + kTokenSlack));
  grant.tokens = std::min(ask.tokensWanted, static_cast<std::uint32_t>(share));
  account.tokens -= grant.tokens;
}

void QuotaLedger::grantSlots(Account& account, const Borrower& borrower, const QuotaAsk& ask,
                             TimePoint now, QuotaGrant& grant) const {
  SlotLease& own = account.leases[borrower.node];
  own.slots = ask.slotsHeld;
  // The holder counts from before it sent its ask, so it stops using the lease earlier.
  own.expiresAt = now + options_.slotLease;
  const std::uint32_t limit = account.limits.concurrency;
  if (limit == 0) {
    grant.slots = ask.slotsWanted;
    return;
  }
  std::uint64_t leased = 0;
  for (const auto& [node, lease] : account.leases) {
    if (lease.expiresAt >= now) leased += lease.slots;
  }
  const std::uint64_t free = leased >= limit ? 0 : limit - leased;
  grant.slots = static_cast<std::uint32_t>(std::min<std::uint64_t>(ask.slotsWanted, free));
  own.slots += grant.slots;
  grant.contended = 2 * (leased + grant.slots) > limit;
}

void QuotaLedger::dropIdle(TimePoint now) {
  for (auto entry = accounts_.begin(); entry != accounts_.end();) {
    Account& tenant = entry->second;
    refill(tenant, now);
    std::erase_if(tenant.leases, [&](const auto& lease) {
      return lease.second.expiresAt + options_.slotLease < now;
    });
    const bool full = tenant.limits.requestsPerSecond <= 0 ||
                      tenant.tokens + kTokenSlack >= bucketSize(tenant.limits);
    entry = full && tenant.leases.empty() ? accounts_.erase(entry) : std::next(entry);
  }
}

}  // namespace covewing::admission
