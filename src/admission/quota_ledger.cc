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
Duration timeFor(double tokens, double rate) {
  constexpr double kMicrosecondsPerSecond = 1e6;
  return Duration{static_cast<Duration::rep>(tokens / rate * kMicrosecondsPerSecond) + 1};
}

/// Promises that are kept at most; those beyond are told the same time.
constexpr std::size_t kMostPromises = 256;

}  // namespace

QuotaLeaseReply QuotaLedger::handle(const Borrower& borrower, const QuotaLeaseRequest& ask,
                                    const HomeStanding& standing, TimePoint now) {
  QuotaLeaseReply grant;
  grant.tenant = ask.tenant;
  grant.sequence = ask.sequence;
  Account& tenant = account(ask, standing, now);
  SlotLease& lease = tenant.leases[borrower.node];
  const bool olderRun = borrower.incarnation < lease.incarnation;
  const bool olderAsk = borrower.incarnation == lease.incarnation && ask.sequence <= lease.sequence;
  if (olderRun || olderAsk) return grant;
  lease.incarnation = borrower.incarnation;
  lease.sequence = ask.sequence;
  grantTokens(tenant, ask, now, grant);
  grantSlots(tenant, borrower, ask, now, grant);
  grant.balance = std::llround(tenant.tokens);
  grant.nearLimit = tenant.tokens < options_.nearLimitShare * tenant.size();
  return grant;
}

void QuotaLedger::correct(const QuotaCorrection& correction) {
  const auto found = accounts_.find(correction.tenant);
  if (found == accounts_.end()) return;
  Account& tenant = found->second;
  tenant.tokens = std::min(tenant.size(), tenant.tokens + correction.returned);
  tenant.tokens -= correction.charged;
}

void QuotaLedger::refill(Account& account, TimePoint now) {
  const double earned = base::toSeconds(now - account.refilledAt) * account.rate();
  account.tokens = std::min(account.size(), account.tokens + earned);
  account.refilledAt = now;
}

QuotaLedger::Account& QuotaLedger::account(const QuotaLeaseRequest& ask,
                                           const HomeStanding& standing, TimePoint now) {
  const auto [found, created] = accounts_.try_emplace(ask.tenant);
  Account& tenant = found->second;
  if (created) {
    tenant.revision = ask.revision;
    tenant.limits = ask.limits;
    tenant.share = standing.share;
    tenant.tokens = tenant.size() * standing.initialBucketShare;
    tenant.refilledAt = std::min(standing.since, now);
  }
  refill(tenant, now);
  if (ask.revision > tenant.revision) {
    tenant.revision = ask.revision;
    tenant.limits = ask.limits;
  }
  tenant.share = standing.share;
  tenant.tokens = std::min(tenant.tokens, tenant.size());
  return tenant;
}

void QuotaLedger::grantTokens(Account& account, const QuotaLeaseRequest& ask, TimePoint now,
                              QuotaLeaseReply& grant) const {
  if (account.limits.ratePerSecond <= 0) {
    grant.tokens = ask.tokensWanted;
    return;
  }
  if (ask.tokensWanted == 0) return;
  // What is larger than the bucket passes a full one, and those behind it wait for longer.
  const double needed = std::max(1.0, static_cast<double>(ask.tokensNeeded));
  const double enough = std::min(needed, account.size());
  if (account.tokens + kTokenSlack < enough) {
    promise(account, enough, now, grant);
    return;
  }
  // A batch leaves half of the bucket to the other nodes.
  const double most = std::max(needed, std::floor(account.tokens / 2 + kTokenSlack));
  const double granted = std::min(static_cast<double>(ask.tokensWanted), most);
  grant.tokens = static_cast<std::uint32_t>(granted);
  account.tokens -= granted;
}

void QuotaLedger::promise(Account& account, double needed, TimePoint now,
                          QuotaLeaseReply& grant) const {
  while (!account.promises.empty() && account.promises.front().at <= now)
    account.promises.pop_front();
  double ahead = needed;
  for (const Promise& promise : account.promises) ahead += promise.tokens;
  grant.tokensAfter = timeFor(needed - account.tokens, account.rate());
  const Duration behind = timeFor(ahead - account.tokens, account.rate());
  grant.comeBackAfter = std::max(grant.tokensAfter, std::min(behind, options_.longestPromise));
  if (account.promises.size() < kMostPromises)
    account.promises.push_back({now + grant.comeBackAfter, needed});
}

void QuotaLedger::grantSlots(Account& account, const Borrower& borrower,
                             const QuotaLeaseRequest& ask, TimePoint now,
                             QuotaLeaseReply& grant) const {
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
    const bool full =
        tenant.limits.ratePerSecond <= 0 || tenant.tokens + kTokenSlack >= tenant.size();
    entry = full && tenant.leases.empty() ? accounts_.erase(entry) : std::next(entry);
  }
}

}  // namespace covewing::admission
