#include "admission/quota_ledger.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace covewing::admission {

using base::Duration;
using base::TimePoint;

namespace {

/// Rounding tolerance of the bucket, in tokens.
constexpr double kTokenSlack = 1e-6;
Duration timeToEarn(double tokens, double rate) {
  constexpr double kMicrosecondsPerSecond = 1e6;
  return Duration{static_cast<Duration::rep>(tokens / rate * kMicrosecondsPerSecond) + 1};
}

/// Maximum number of scheduled retries that are kept; further refusals all get the same time.
constexpr std::size_t kMaximumScheduledRetries = 256;

}  // namespace

QuotaLeaseReply QuotaLedger::handle(const LeaseHolder& holder, const QuotaLeaseRequest& request,
                                    const HomeAuthority& authority, TimePoint now) {
  QuotaLeaseReply reply;
  reply.tenant = request.tenant;
  reply.sequence = request.sequence;
  Account& tenant = account(request, authority, now);
  SlotLease& lease = tenant.leases[holder.node];
  const bool olderIncarnation = holder.incarnation < lease.incarnation;
  const bool olderRequest =
      holder.incarnation == lease.incarnation && request.sequence <= lease.sequence;
  if (olderIncarnation || olderRequest) return reply;
  lease.incarnation = holder.incarnation;
  lease.sequence = request.sequence;
  grantTokens(tenant, request, now, reply);
  grantSlots(tenant, holder, request, now, reply);
  reply.balance = std::llround(tenant.tokens);
  reply.nearLimit = tenant.tokens < options_.nearLimitShare * tenant.bucketSize();
  return reply;
}

void QuotaLedger::applyCorrection(const QuotaCorrection& correction) {
  const auto found = accounts_.find(correction.tenant);
  if (found == accounts_.end()) return;
  Account& tenant = found->second;
  tenant.tokens = std::min(tenant.bucketSize(), tenant.tokens + correction.returned);
  tenant.tokens -= correction.charged;
}

void QuotaLedger::refill(Account& account, TimePoint now) {
  const double earned = base::toSeconds(now - account.refilledAt) * account.rate();
  account.tokens = std::min(account.bucketSize(), account.tokens + earned);
  account.refilledAt = now;
}

QuotaLedger::Account& QuotaLedger::account(const QuotaLeaseRequest& request,
                                           const HomeAuthority& authority, TimePoint now) {
  const auto [found, created] = accounts_.try_emplace(request.tenant);
  Account& tenant = found->second;
  if (created) {
    tenant.revision = request.revision;
    tenant.limits = request.limits;
    tenant.share = authority.share;
    tenant.tokens = tenant.bucketSize() * authority.initialBucketShare;
    tenant.refilledAt = std::min(authority.since, now);
  }
  refill(tenant, now);
  if (request.revision > tenant.revision) {
    tenant.revision = request.revision;
    tenant.limits = request.limits;
  }
  tenant.share = authority.share;
  tenant.tokens = std::min(tenant.tokens, tenant.bucketSize());
  return tenant;
}

void QuotaLedger::grantTokens(Account& account, const QuotaLeaseRequest& request, TimePoint now,
                              QuotaLeaseReply& reply) const {
  if (account.limits.ratePerSecond <= 0) {
    reply.tokens = request.tokensWanted;
    return;
  }
  if (request.tokensWanted == 0) return;
  // A request larger than the bucket is granted by a full bucket, and the requests behind it wait
  // longer.
  const double needed = std::max(1.0, static_cast<double>(request.tokensNeeded));
  const double enough = std::min(needed, account.bucketSize());
  if (account.tokens + kTokenSlack < enough) {
    scheduleRetry(account, enough, now, reply);
    return;
  }
  // A batch leaves half of the bucket to the other nodes.
  const double most = std::max(needed, std::floor(account.tokens / 2 + kTokenSlack));
  const double granted = std::min(static_cast<double>(request.tokensWanted), most);
  reply.tokens = static_cast<std::uint32_t>(granted);
  account.tokens -= granted;
}

void QuotaLedger::scheduleRetry(Account& account, double needed, TimePoint now,
                                QuotaLeaseReply& reply) const {
  while (!account.scheduledRetries.empty() && account.scheduledRetries.front().at <= now)
    account.scheduledRetries.pop_front();
  double ahead = needed;
  for (const ScheduledRetry& retry : account.scheduledRetries) ahead += retry.tokens;
  reply.tokensAvailableAfter = timeToEarn(needed - account.tokens, account.rate());
  const Duration behind = timeToEarn(ahead - account.tokens, account.rate());
  reply.retryAfter =
      std::max(reply.tokensAvailableAfter, std::min(behind, options_.maximumRetryDelay));
  if (account.scheduledRetries.size() < kMaximumScheduledRetries)
    account.scheduledRetries.push_back({now + reply.retryAfter, needed});
}

void QuotaLedger::grantSlots(Account& account, const LeaseHolder& holder,
                             const QuotaLeaseRequest& request, TimePoint now,
                             QuotaLeaseReply& reply) const {
  SlotLease& own = account.leases[holder.node];
  own.slots = request.slotsHeld;
  // The holder counts the lease time from before it sent its request, so it stops using the lease
  // earlier.
  own.expiresAt = now + options_.slotLease;
  const std::uint32_t limit = account.limits.concurrency;
  if (limit == 0) {
    reply.slots = request.slotsWanted;
    return;
  }
  std::uint64_t leased = 0;
  for (const auto& [node, lease] : account.leases) {
    if (lease.expiresAt >= now) leased += lease.slots;
  }
  const std::uint64_t free = leased >= limit ? 0 : limit - leased;
  reply.slots = static_cast<std::uint32_t>(std::min<std::uint64_t>(request.slotsWanted, free));
  own.slots += reply.slots;
  reply.contended = 2 * (leased + reply.slots) > limit;
}

void QuotaLedger::dropIdle(TimePoint now) {
  for (auto entry = accounts_.begin(); entry != accounts_.end();) {
    Account& tenant = entry->second;
    refill(tenant, now);
    std::erase_if(tenant.leases, [&](const auto& lease) {
      return lease.second.expiresAt + options_.slotLease < now;
    });
    const bool full =
        tenant.limits.ratePerSecond <= 0 || tenant.tokens + kTokenSlack >= tenant.bucketSize();
    entry = full && tenant.leases.empty() ? accounts_.erase(entry) : std::next(entry);
  }
}

}  // namespace covewing::admission
