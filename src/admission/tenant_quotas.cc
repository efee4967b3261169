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

/// Half-life of the average of the node's own demand, in seconds.
constexpr double kDemandSeconds = 1.0;
constexpr double kMicrosecondsPerSecond = 1e6;
/// Recommended retry delay after a refusal by a concurrency limit: the end of a request is not
/// predictable.
constexpr Duration kSlotRetryAfter = std::chrono::seconds(1);
/// Maximum number of home nodes in rendezvous order that are queried before a node grants from its
/// local share.
constexpr std::uint32_t kMaximumHomesTried = 2;

Duration seconds(double count) {
  return Duration{static_cast<Duration::rep>(count * kMicrosecondsPerSecond)};
}

}  // namespace

TenantQuotas::TenantQuotas(const QuotaOptions& options, QuotaEnvironment environment)
    : options_(options),
      environment_(std::move(environment)),
      ledger_(options),
      startedAt_(environment_.clock.now()),
      membershipVersion_(environment_.directory.version()),
      membershipChangedAt_(startedAt_) {}

TenantQuotas::~TenantQuotas() {
  if (reviewTimer_ != 0) environment_.timers.cancel(reviewTimer_);
}

TenantQuotas::Share& TenantQuotas::shareOf(const QuotaDemand& demand) {
  const auto [found, created] = shares_.try_emplace(demand.tenant);
  Share& share = found->second;
  // A newly started node has accumulated nothing: its previous incarnation may have used its share.
  if (created) share.localRefilledAt = justStarted() ? environment_.clock.now() : startedAt_;
  if (demand.revision >= share.revision) {
    share.revision = demand.revision;
    share.limits = demand.limits;
  }
  return share;
}

bool TenantQuotas::unresponsive(base::NodeId node) const {
  const auto known = unresponsiveUntil_.find(node);
  return known != unresponsiveUntil_.end() && environment_.clock.now() < known->second;
}

const membership::Member& TenantQuotas::homeOf(TenantId tenant, Share& share) {
  auto& directory = environment_.directory;
  if (share.homeVersion == directory.version() && share.homeVersion != 0 &&
      !unresponsive(share.home)) {
    const membership::Member* known = directory.find(share.home);
    if (known != nullptr) return *known;
  }
  const bool anyUnresponsive = !unresponsiveUntil_.empty();
  const membership::Member& home = tenantHome(
      tenant, directory,
      anyUnresponsive ? ExcludeNode{[this](base::NodeId node) { return unresponsive(node); }}
                      : ExcludeNode{});
  // A new home node may respond where the previous one did not.
  if (home.id != share.home && directory.version() != share.homeVersion) share.localShareUntil = {};
  share.home = home.id;
  // A choice that skipped unresponsive nodes is repeated, since they may respond again.
  share.homeVersion = anyUnresponsive ? 0 : directory.version();
  return home;
}

void TenantQuotas::updateMembership() {
  auto& directory = environment_.directory;
  if (directory.version() == membershipVersion_) return;
  membershipVersion_ = directory.version();
  membershipChangedAt_ = environment_.clock.now();
  const base::NodeId self = directory.self().id;
  ledger_.dropMoved([&](TenantId tenant) { return tenantHome(tenant, directory).id != self; });
}

HomeAuthority TenantQuotas::authorityFor(TenantId tenant) const {
  const auto& directory = environment_.directory;
  const auto now = environment_.clock.now();
  // A suspected node may be cut off together with others, and grant a part of the limits as well.
  const auto reachable = std::ranges::count(
      directory.liveMembers(), membership::MemberState::kAlive, &membership::Member::state);
  const auto live = static_cast<double>(std::max<std::ptrdiff_t>(1, reachable));
  const auto known = static_cast<double>(assumedNodeCount());
  HomeAuthority authority;
  authority.share =
      std::min(1.0, live / std::max(1.0, known) * (1 + options_.partialViewTolerance));
  // Another node is the home node in this node's view: the requester could not reach it, but other
  // nodes may.
  const bool acting = tenantHome(tenant, directory).id != directory.self().id;
  if (acting) authority.share *= options_.actingHomeShare;
  authority.initialBucketShare = justStarted() ? 0.0 : options_.initialBucketShare;
  authority.since = acting ? now : membershipChangedAt_;
  return authority;
}

bool TenantQuotas::justStarted() const {
  return environment_.clock.now() - startedAt_ < options_.clusterFormationTime;
}

std::size_t TenantQuotas::assumedNodeCount() const {
  const std::size_t seen = std::max<std::size_t>(1, environment_.directory.liveMembers().size());
  const bool joining = environment_.clock.now() - startedAt_ < options_.joinPeriod;
  const std::size_t assumed = joining ? options_.assumedNodesWhileJoining : 1;
  return std::max({seen, environment_.knownNodes(), assumed});
}

bool TenantQuotas::isolated() const {
  return environment_.directory.liveMembers().size() <= 1 && assumedNodeCount() > 1;
}

bool TenantQuotas::mayDecide(TenantId tenant, const membership::Member& home) const {
  if (home.id != environment_.directory.self().id) return true;
  return !isolated() && tenantHome(tenant, environment_.directory).id == home.id;
}

void TenantQuotas::expireLeases(Share& share) const {
  const TimePoint now = environment_.clock.now();
  if (share.tokensExpireAt < now) share.tokens = 0;
  // Requests in flight keep their slots; only unused slots expire.
  if (share.slotsExpireAt < now) share.slots = std::min(share.slots, share.inUse);
}

void TenantQuotas::recordDemand(Share& share, std::uint32_t tokens) const {
  const TimePoint now = environment_.clock.now();
  const double passed = base::toSeconds(now - share.demandAt) / kDemandSeconds;
  share.demand = share.demand * std::exp2(-passed) + tokens * std::log(2.0) / kDemandSeconds;
  share.demandAt = now;
}

bool TenantQuotas::takeFromLease(Share& share, std::uint32_t tokens) const {
  const bool rateLimited = share.limits.ratePerSecond > 0;
  const bool slotLimited = share.limits.concurrency > 0;
  if (rateLimited && share.tokens < tokens) return false;
  const bool leaseValid = share.slotsExpireAt >= environment_.clock.now();
  if (slotLimited && (!leaseValid || share.inUse >= share.slots)) return false;
  if (rateLimited) share.tokens -= tokens;
  ++share.inUse;
  return true;
}

std::string TenantQuotas::homeName(const Share& share) const {
  const auto* home = environment_.directory.find(share.home);
  return home == nullptr ? std::string{} : home->name;
}

QuotaVerdict TenantQuotas::cachedRefusal(const Share& share) {
  const Duration earliest = share.refusal.until - environment_.clock.now();
  // Spread up to the retry delay given by the home node, so that requests refused here are not
  // retried together.
  const double spread = base::toSeconds(share.refusal.retryAfter) * environment_.random.unit();
  return {QuotaOutcome::kRateLimited,   std::max(earliest, seconds(spread)),
          QuotaDecider::kCachedRefusal, true,
          share.refusal.balance,        homeName(share)};
}

void TenantQuotas::acquire(WaitId id, const QuotaDemand& demand, Callback callback) {
  if (!demand.limits.any()) {
    callback({});
    return;
  }
  updateMembership();
  Share& share = shareOf(demand);
  const membership::Member& home = homeOf(demand.tenant, share);
  expireLeases(share);
  recordDemand(share, demand.tokens);
  scheduleReview();
  const TimePoint now = environment_.clock.now();
  if (share.waiters.empty() && takeFromLease(share, demand.tokens)) {
    callback({QuotaOutcome::kGranted, {}, QuotaDecider::kLease, share.nearLimit, 0, {}});
    return;
  }
  if (now < share.refusal.until && demand.tokens >= share.refusal.tokens) {
    callback(cachedRefusal(share));
    return;
  }
  if (!mayDecide(demand.tenant, home) || now < share.localShareUntil) {
    callback(decideLocally(share, demand.tokens));
    return;
  }
  share.waiters.push_back({id, demand.tokens, std::move(callback)});
  if (share.pendingSequence == 0) requestLease(demand.tenant, share, true);
}

void TenantQuotas::cancel(WaitId id, TenantId tenant) {
  const auto found = shares_.find(tenant);
  if (found == shares_.end()) return;
  std::erase_if(found->second.waiters, [&](const Waiter& waiter) { return waiter.id == id; });
}

void TenantQuotas::release(TenantId tenant, std::uint32_t unused) {
  const auto found = shares_.find(tenant);
  if (found == shares_.end()) return;
  Share& share = found->second;
  if (share.inUse == 0) return;
  --share.inUse;
  if (unused > 0 && share.limits.ratePerSecond > 0)
    sendCorrection({tenant, unused, 0}, homeOf(tenant, share));
  const bool idleSlots = share.slots > share.inUse;
  if (idleSlots && share.waiters.empty() && share.contended && share.pendingSequence == 0) {
    share.slots = share.inUse;
    requestLease(tenant, share, false);
  }
}

void TenantQuotas::charge(TenantId tenant, std::uint32_t tokens) {
  const auto found = shares_.find(tenant);
  if (found == shares_.end() || found->second.limits.ratePerSecond <= 0) return;
  sendCorrection({tenant, 0, tokens}, homeOf(tenant, found->second));
}

void TenantQuotas::sendCorrection(const QuotaCorrection& correction,
                                  const membership::Member& home) {
  if (home.id == environment_.directory.self().id) {
    ledger_.applyCorrection(correction);
    return;
  }
  ++counts_.corrections;
  environment_.transport.send(home.endpoint, base::Channel::kAdmission, encode(correction));
}

void TenantQuotas::requestLease(TenantId tenant, Share& share, bool replyWanted) {
  share.retries = 0;
  sendRequest(tenant, share, replyWanted);
}

void TenantQuotas::sendRequest(TenantId tenant, Share& share, bool replyWanted) {
  const membership::Member& home = homeOf(tenant, share);
  QuotaLeaseRequest message;
  message.tenant = tenant;
  message.revision = share.revision;
  message.limits = share.limits;
  message.sequence = nextSequence_++;
  message.replyWanted = replyWanted;
  message.slotsHeld = share.slots;
  if (replyWanted && !share.waiters.empty()) {
    std::uint32_t waiting = 0;
    for (const Waiter& waiter : share.waiters) waiting += waiter.tokens;
    const std::uint32_t missing = waiting - std::min(waiting, share.tokens);
    const std::uint32_t first = share.waiters.front().tokens;
    message.tokensNeeded = first - std::min(first, share.tokens);
    const double batch = share.demand * base::toSeconds(options_.tokenBatch);
    message.tokensWanted = std::max(missing, static_cast<std::uint32_t>(batch));
    const auto requests = static_cast<std::uint32_t>(share.waiters.size());
    const std::uint32_t idle = share.slots - std::min(share.slots, share.inUse);
    message.slotsWanted = requests > idle ? requests - idle : 0;
  }
  share.requestedAt = environment_.clock.now();
  share.pendingSequence = replyWanted ? message.sequence : 0;
  const membership::Member& self = environment_.directory.self();
  if (home.id == self.id) {
    const QuotaLeaseReply reply = ledger_.handle({self.id, self.incarnation}, message,
                                                 authorityFor(tenant), environment_.clock.now());
    if (replyWanted) onReply(reply);
    return;
  }
  ++(replyWanted ? counts_.leaseRequests : counts_.corrections);
  environment_.transport.send(home.endpoint, base::Channel::kAdmission, encode(message));
}

void TenantQuotas::onPeerMessage(const base::PeerIdentity& sender, std::string_view payload) {
  const std::optional<QuotaMessage> message = decodeQuotaMessage(payload);
  if (!message.has_value()) {
    ++counts_.malformed;
    return;
  }
  updateMembership();
  if (const auto* reply = std::get_if<QuotaLeaseReply>(&*message)) {
    // Even a late reply shows that the home node is responsive.
    unresponsiveUntil_.erase(sender.node);
    onReply(*reply);
    return;
  }
  if (const auto* correction = std::get_if<QuotaCorrection>(&*message)) {
    ledger_.applyCorrection(*correction);
    return;
  }
  const auto& request = std::get<QuotaLeaseRequest>(*message);
  scheduleReview();
  const QuotaLeaseReply reply =
      ledger_.handle({sender.node, sender.incarnation}, request, authorityFor(request.tenant),
                     environment_.clock.now());
  if (!request.replyWanted) return;
  ++counts_.replies;
  environment_.transport.send(sender.endpoint, base::Channel::kAdmission, encode(reply));
}

void TenantQuotas::onReply(const QuotaLeaseReply& reply) {
  const auto found = shares_.find(reply.tenant);
  // Late, duplicate and foreign replies carry a sequence number that no request waits for.
  if (found == shares_.end() || reply.sequence == 0 ||
      found->second.pendingSequence != reply.sequence) {
    return;
  }
  Share& share = found->second;
  share.pendingSequence = 0;
  share.unresponsiveHomes = 0;
  share.localShareUntil = {};
  share.contended = reply.contended;
  share.nearLimit = reply.nearLimit;
  share.tokens += reply.tokens;
  if (reply.tokens > 0) share.tokensExpireAt = share.requestedAt + options_.tokenLease;
  share.slots += reply.slots;
  share.slotsExpireAt = share.requestedAt + options_.slotLease;
  const auto lease = std::min(options_.tokenLease, options_.slotLease);
  const bool late = environment_.clock.now() > share.requestedAt + lease;
  expireLeases(share);
  serveWaiters(share);
  if (share.waiters.empty()) return;
  // The reply is read after its lease expired, for example because the machine was suspended: the
  // home node may have granted as much to other nodes in the meantime.
  if (late) {
    requestLease(reply.tenant, share, true);
    return;
  }
  const bool tokensMissing =
      share.limits.ratePerSecond > 0 && share.tokens < share.waiters.front().tokens;
  if (tokensMissing && reply.tokens > 0) {
    requestLease(reply.tenant, share, true);
    return;
  }
  if (tokensMissing) {
    onRefusalReply(reply.tenant, share, reply);
    return;
  }
  const std::deque<Waiter> refused = std::exchange(share.waiters, {});
  for (const Waiter& waiter : refused) {
    waiter.callback({QuotaOutcome::kConcurrencyLimited, kSlotRetryAfter, QuotaDecider::kHome, true,
                     0, homeName(share)});
  }
}

void TenantQuotas::onRefusalReply(TenantId tenant, Share& share, const QuotaLeaseReply& reply) {
  const TimePoint now = environment_.clock.now();
  const std::uint32_t refusedTokens = share.waiters.front().tokens;
  share.refusal = {now + std::min(reply.tokensAvailableAfter, options_.refusalCacheTime),
                   refusedTokens, reply.retryAfter, reply.balance};
  // Smaller requests behind it may still be granted.
  std::deque<Waiter> refused;
  std::deque<Waiter> left;
  for (Waiter& waiter : share.waiters)
    (waiter.tokens >= refusedTokens ? refused : left).push_back(std::move(waiter));
  share.waiters = std::move(left);
  const std::string home = homeName(share);
  const bool waitersLeft = !share.waiters.empty();
  if (waitersLeft) requestLease(tenant, share, true);
  for (const Waiter& waiter : refused) {
    waiter.callback({QuotaOutcome::kRateLimited,
                     std::max(reply.tokensAvailableAfter, reply.retryAfter), QuotaDecider::kHome,
                     true, reply.balance, home});
  }
}

void TenantQuotas::serveWaiters(Share& share) {
  while (!share.waiters.empty() && takeFromLease(share, share.waiters.front().tokens)) {
    const Waiter waiter = std::move(share.waiters.front());
    share.waiters.pop_front();
    waiter.callback({QuotaOutcome::kGranted, {}, QuotaDecider::kHome, share.nearLimit, 0, {}});
  }
}

bool TenantQuotas::takeFromLocalShare(Share& share, std::uint32_t tokens, TimePoint now) {
  const auto nodes = static_cast<double>(assumedNodeCount());
  // While other nodes are visible, a home node that this node cannot reach may still grant them the
  // whole limit.
  const double part = (isolated() ? 1.0 : options_.localShareFactor) / nodes;
  const double rate = share.limits.ratePerSecond * part;
  const double size = share.limits.bucketSize() * part;
  const double earned = base::toSeconds(now - share.localRefilledAt) * rate;
  share.localTokens = std::min(size, share.localTokens + earned);
  share.localRefilledAt = now;
  const double saved = share.localTokens;
  if (saved >= tokens) {
    share.localTokens -= tokens;
    return true;
  }
  // The accumulated amount is spent in any case, and the request is granted with the probability
  // `saved / tokens`: on average no more than the share is granted.
  share.localTokens = 0;
  return environment_.random.unit() * tokens < saved;
}

QuotaVerdict TenantQuotas::decideLocally(Share& share, std::uint32_t tokens) {
  const TimePoint now = environment_.clock.now();
  const auto nodes = static_cast<double>(assumedNodeCount());
  const std::uint32_t slots = std::max<std::uint32_t>(
      1, static_cast<std::uint32_t>(static_cast<double>(share.limits.concurrency) / nodes));
  if (share.limits.concurrency > 0 && share.inUse >= std::max(slots, share.slots)) {
    return {
        QuotaOutcome::kConcurrencyLimited, kSlotRetryAfter, QuotaDecider::kLocalShare, true, 0, {}};
  }
  if (share.limits.ratePerSecond > 0 && !takeFromLocalShare(share, tokens, now)) {
    // Another node may reach the home node: the caller need not wait for this node's share.
    const double whole = tokens / share.limits.ratePerSecond;
    return {QuotaOutcome::kRateLimited,
            std::max(seconds(whole), options_.requestTimeout),
            QuotaDecider::kLocalShare,
            true,
            0,
            {}};
  }
  ++share.inUse;
  ++counts_.localGrants;
  return {QuotaOutcome::kGranted, {}, QuotaDecider::kLocalShare, true, 0, {}};
}

void TenantQuotas::onUnresponsiveHome(TenantId tenant, Share& share) {
  ++counts_.unresponsiveHomes;
  unresponsiveUntil_[share.home] = environment_.clock.now() + options_.unresponsiveHomeBackOff;
  share.pendingSequence = 0;
  if (++share.unresponsiveHomes < kMaximumHomesTried && mayDecide(tenant, homeOf(tenant, share))) {
    requestLease(tenant, share, true);
    return;
  }
  decideWaitersLocally(share);
}

void TenantQuotas::decideWaitersLocally(Share& share) {
  share.unresponsiveHomes = 0;
  share.localShareUntil = environment_.clock.now() + options_.unresponsiveHomeBackOff;
  const std::deque<Waiter> waiting = std::exchange(share.waiters, {});
  for (const Waiter& waiter : waiting) waiter.callback(decideLocally(share, waiter.tokens));
}

void TenantQuotas::scheduleReview() {
  if (reviewTimer_ != 0) return;
  reviewTimer_ = environment_.timers.schedule(options_.requestTimeout, [this] {
    reviewTimer_ = 0;
    review();
  });
}

void TenantQuotas::review() {
  updateMembership();
  const TimePoint now = environment_.clock.now();
  std::erase_if(unresponsiveUntil_, [now](const auto& entry) { return entry.second <= now; });
  for (auto entry = shares_.begin(); entry != shares_.end();) {
    const bool idle = reviewShare(entry->first, entry->second);
    entry = idle ? shares_.erase(entry) : std::next(entry);
  }
  ledger_.dropIdle(now);
  if (!shares_.empty() || ledger_.accounts() > 0) scheduleReview();
}

bool TenantQuotas::reviewShare(TenantId tenant, Share& share) {
  const TimePoint now = environment_.clock.now();
  expireLeases(share);
  if (share.pendingSequence != 0 && now - share.requestedAt >= options_.requestTimeout) {
    if (share.retries < options_.requestRetries) {
      ++share.retries;
      sendRequest(tenant, share, true);
    } else {
      onUnresponsiveHome(tenant, share);
    }
    return false;
  }
  if (share.pendingSequence != 0 || now < share.localShareUntil) return false;
  if (!share.waiters.empty()) {
    requestLease(tenant, share, true);
    return false;
  }
  const base::NodeId knownHome = share.home;
  const bool homeChanged = homeOf(tenant, share).id != knownHome;
  const bool renewalDue = now + options_.slotLease / 2 >= share.slotsExpireAt;
  if (share.limits.concurrency > 0 && share.inUse > 0 && (homeChanged || renewalDue)) {
    share.slots = share.inUse;
    requestLease(tenant, share, true);
    return false;
  }
  return share.inUse == 0 && share.slots == 0 && share.tokens == 0 && now >= share.refusal.until &&
         now - share.demandAt >= options_.tokenLease;
}

}  // namespace covewing::admission
