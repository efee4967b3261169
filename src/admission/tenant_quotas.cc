#include "admission/tenant_quotas.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "admission/tenant_home.h"

namespace covewing::admission {

using base::Duration;
using base::TenantId;
using base::TimePoint;

namespace {
/// Time over which own demand is averaged.
constexpr double kDemandSeconds = 1.0;
constexpr double kMicrosecondsPerSecond = 1e6;
/// Advice where a concurrency limit refuses: nobody knows when a request ends.
constexpr Duration kSlotRetryAfter = std::chrono::seconds(1);
}  // namespace

TenantQuotas::TenantQuotas(const QuotaOptions& options, base::Clock& clock,
                           base::TimerService& timers, membership::MemberDirectory& directory,
                           base::PeerTransport& transport)
    : options_(options),
      clock_(clock),
      timers_(timers),
      directory_(directory),
      transport_(transport),
      ledger_(options) {}

TenantQuotas::~TenantQuotas() {
  if (reviewTimer_ != 0) timers_.cancel(reviewTimer_);
}

bool TenantQuotas::limited(const config::TenantLimits& limits) {
  return limits.requestsPerSecond > 0 || limits.concurrency > 0;
}

TenantQuotas::Share& TenantQuotas::shareOf(const config::TenantTemplate& tenant) {
  Share& share = shares_[tenant.id];
  if (tenant.revision >= share.revision) {
    share.revision = tenant.revision;
    share.limits = tenant.limits;
  }
  return share;
}

const membership::Member& TenantQuotas::homeOf(TenantId tenant, Share& share) {
  if (share.homeVersion == directory_.version() && share.homeVersion != 0) {
    const membership::Member* known = directory_.find(share.home);
    if (known != nullptr) return *known;
  }
  const membership::Member& home = tenantHome(tenant, directory_);
  // A new home may answer where the old one did not.
  if (home.id != share.home) share.bridgedUntil = {};
  share.home = home.id;
  share.homeVersion = directory_.version();
  return home;
}

void TenantQuotas::expire(Share& share) const {
  const TimePoint now = clock_.now();
  if (share.tokensExpireAt < now) share.tokens = 0;
  // Requests in flight keep their slots; only unused ones lapse.
  if (share.slotsExpireAt < now) share.slots = std::min(share.slots, share.inUse);
}

void TenantQuotas::noteDemand(Share& share) const {
  const TimePoint now = clock_.now();
  const double passed = base::toSeconds(now - share.demandAt) / kDemandSeconds;
  share.demand = share.demand * std::exp2(-passed) + std::log(2.0) / kDemandSeconds;
  share.demandAt = now;
}

bool TenantQuotas::takeLocally(Share& share) const {
  const bool rateLimited = share.limits.requestsPerSecond > 0;
  const bool slotLimited = share.limits.concurrency > 0;
  if (rateLimited && share.tokens == 0) return false;
  const bool leaseValid = share.slotsExpireAt >= clock_.now();
  if (slotLimited && (!leaseValid || share.inUse >= share.slots)) return false;
  if (rateLimited) --share.tokens;
  ++share.inUse;
  return true;
}

void TenantQuotas::acquire(WaitId id, const config::TenantTemplate& tenant, Callback callback) {
  if (!limited(tenant.limits)) {
    callback({});
    return;
  }
  Share& share = shareOf(tenant);
  const membership::Member& home = homeOf(tenant.id, share);
  const bool local = home.id == directory_.self().id;
  expire(share);
  noteDemand(share);
  scheduleReview();
  const TimePoint now = clock_.now();
  if (share.waiters.empty() && takeLocally(share)) {
    callback({});
    return;
  }
  if (now < share.refusedUntil) {
    callback({share.refusal, share.refusedUntil - now});
    return;
  }
  if (!local && now < share.bridgedUntil) {
    callback(bridgeOne(share));
    return;
  }
  share.waiters.push_back({id, std::move(callback)});
  if (share.asked == 0) ask(tenant.id, share, true);
}

void TenantQuotas::cancel(WaitId id, TenantId tenant) {
  const auto found = shares_.find(tenant);
  if (found == shares_.end()) return;
  std::erase_if(found->second.waiters, [&](const Waiter& waiter) { return waiter.id == id; });
}

void TenantQuotas::release(TenantId tenant, bool returnToken) {
  const auto found = shares_.find(tenant);
  if (found == shares_.end()) return;
  Share& share = found->second;
  if (share.inUse == 0) return;
  --share.inUse;
  if (returnToken && share.tokensExpireAt >= clock_.now()) ++share.tokens;
  const bool idleSlots = share.slots > share.inUse;
  if (idleSlots && share.waiters.empty() && share.contended && share.asked == 0) {
    share.slots = share.inUse;
    ask(tenant, share, false);
  }
}

void TenantQuotas::ask(TenantId tenant, Share& share, bool answerWanted) {
  share.repeated = false;
  send(tenant, share, answerWanted);
}

void TenantQuotas::send(TenantId tenant, Share& share, bool answerWanted) {
  const membership::Member& home = homeOf(tenant, share);
  QuotaAsk message;
  message.tenant = tenant;
  message.revision = share.revision;
  message.limits = share.limits;
  message.sequence = nextSequence_++;
  message.answerWanted = answerWanted;
  message.slotsHeld = share.slots;
  if (answerWanted && !share.waiters.empty()) {
    const auto waiting = static_cast<std::uint32_t>(share.waiters.size());
    const double batch = share.demand * base::toSeconds(options_.tokenBatch);
    message.tokensWanted = std::max(waiting, static_cast<std::uint32_t>(batch));
    const std::uint32_t idle = share.slots - std::min(share.slots, share.inUse);
    message.slotsWanted = waiting > idle ? waiting - idle : 0;
  }
  share.askedAt = clock_.now();
  share.asked = answerWanted ? message.sequence : 0;
  if (home.id == directory_.self().id) {
    const membership::Member& self = directory_.self();
    const QuotaGrant grant = ledger_.handle({self.id, self.incarnation}, message, clock_.now());
    if (answerWanted) onGrant(grant);
    return;
  }
  ++(answerWanted ? counts_.asks : counts_.returns);
  transport_.send(home.endpoint, base::Channel::kAdmission, encode(message));
}

void TenantQuotas::onPeerMessage(const base::PeerIdentity& sender, std::string_view payload) {
  const std::optional<QuotaMessage> message = decodeQuotaMessage(payload);
  if (!message.has_value()) {
    ++counts_.malformed;
    return;
  }
  if (const auto* grant = std::get_if<QuotaGrant>(&*message)) {
    onGrant(*grant);
    return;
  }
  const auto& request = std::get<QuotaAsk>(*message);
  scheduleReview();
  const QuotaGrant grant = ledger_.handle({sender.node, sender.incarnation}, request, clock_.now());
  if (!request.answerWanted) return;
  ++counts_.answers;
  transport_.send(sender.endpoint, base::Channel::kAdmission, encode(grant));
}

void TenantQuotas::onGrant(const QuotaGrant& grant) {
  const auto found = shares_.find(grant.tenant);
  // Late, repeated and foreign answers carry a sequence that nobody waits for.
  if (found == shares_.end() || grant.sequence == 0 || found->second.asked != grant.sequence) {
    return;
  }
  Share& share = found->second;
  share.asked = 0;
  share.bridgedUntil = {};
  share.contended = grant.contended;
  share.tokens += grant.tokens;
  if (grant.tokens > 0) share.tokensExpireAt = share.askedAt + options_.tokenLease;
  share.slots += grant.slots;
  share.slotsExpireAt = share.askedAt + options_.slotLease;
  serve(share);
  if (share.waiters.empty()) return;
  const bool tokensMissing = share.limits.requestsPerSecond > 0 && share.tokens == 0;
  if (tokensMissing && grant.tokens > 0) {
    ask(grant.tenant, share, true);
    return;
  }
  const QuotaVerdict verdict =
      tokensMissing ? QuotaVerdict{QuotaOutcome::kRateLimited, grant.tokensAfter}
                    : QuotaVerdict{QuotaOutcome::kConcurrencyLimited, kSlotRetryAfter};
  share.refusal = verdict.outcome;
  if (tokensMissing) {
    share.refusedUntil = clock_.now() + std::min(verdict.retryAfter, options_.refusalMemory);
  }
  refuseAll(share, verdict);
}

void TenantQuotas::serve(Share& share) {
  while (!share.waiters.empty() && takeLocally(share)) {
    const Waiter waiter = std::move(share.waiters.front());
    share.waiters.pop_front();
    waiter.callback({});
  }
}

void TenantQuotas::refuseAll(Share& share, QuotaVerdict verdict) {
  const std::deque<Waiter> refused = std::exchange(share.waiters, {});
  for (const Waiter& waiter : refused) waiter.callback(verdict);
}

QuotaVerdict TenantQuotas::bridgeOne(Share& share) {
  const TimePoint now = clock_.now();
  const auto members =
      static_cast<double>(std::max<std::size_t>(1, directory_.liveMembers().size()));
  const double rate = share.limits.requestsPerSecond / members;
  const std::uint32_t slots = std::max<std::uint32_t>(
      1, static_cast<std::uint32_t>(static_cast<double>(share.limits.concurrency) / members));
  if (share.limits.concurrency > 0 && share.inUse >= std::max(slots, share.slots)) {
    return {QuotaOutcome::kConcurrencyLimited, kSlotRetryAfter};
  }
  if (share.limits.requestsPerSecond > 0) {
    const double earned = base::toSeconds(now - share.bridgeRefilledAt) * rate;
    share.bridgeTokens = std::min(1.0, share.bridgeTokens + earned);
    share.bridgeRefilledAt = now;
    if (share.bridgeTokens < 1.0) {
      const double wait = (1.0 - share.bridgeTokens) / rate * kMicrosecondsPerSecond;
      return {QuotaOutcome::kRateLimited, Duration{static_cast<Duration::rep>(wait)}};
    }
    share.bridgeTokens -= 1.0;
  }
  ++share.inUse;
  ++counts_.bridged;
  return {};
}

void TenantQuotas::bridge(Share& share) {
  share.asked = 0;
  share.bridgedUntil = clock_.now() + options_.unreachableFor;
  const std::deque<Waiter> waiting = std::exchange(share.waiters, {});
  for (const Waiter& waiter : waiting) waiter.callback(bridgeOne(share));
}

void TenantQuotas::scheduleReview() {
  if (reviewTimer_ != 0) return;
  reviewTimer_ = timers_.schedule(options_.askTimeout, [this] {
    reviewTimer_ = 0;
    review();
  });
}

void TenantQuotas::review() {
  for (auto entry = shares_.begin(); entry != shares_.end();) {
    const bool idle = reviewShare(entry->first, entry->second);
    entry = idle ? shares_.erase(entry) : std::next(entry);
  }
  ledger_.dropIdle(clock_.now());
  if (!shares_.empty() || ledger_.accounts() > 0) scheduleReview();
}

bool TenantQuotas::reviewShare(TenantId tenant, Share& share) {
  const TimePoint now = clock_.now();
  expire(share);
  if (share.asked != 0 && now - share.askedAt >= options_.askTimeout) {
    if (!share.repeated) {
      share.repeated = true;
      send(tenant, share, true);
    } else {
      bridge(share);
    }
    return false;
  }
  if (share.asked != 0 || now < share.bridgedUntil) return false;
  if (!share.waiters.empty()) {
    ask(tenant, share, true);
    return false;
  }
  const base::NodeId knownHome = share.home;
  const bool homeChanged = homeOf(tenant, share).id != knownHome;
  const bool renewalDue = now + options_.slotLease / 2 >= share.slotsExpireAt;
  if (share.limits.concurrency > 0 && share.inUse > 0 && (homeChanged || renewalDue)) {
    share.slots = share.inUse;
    ask(tenant, share, true);
    return false;
  }
  return share.inUse == 0 && share.slots == 0 && share.tokens == 0 && now >= share.refusedUntil &&
         now - share.demandAt >= options_.tokenLease;
}

}  // namespace covewing::admission
