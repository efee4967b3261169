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
/// Homes in line that are asked before a node grants its local share.
constexpr std::uint32_t kHomesInLine = 2;

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
  // A node that has just started has saved up nothing: another run may have used its share.
  if (created) share.bridgeRefilledAt = justStarted() ? environment_.clock.now() : startedAt_;
  if (demand.revision >= share.revision) {
    share.revision = demand.revision;
    share.limits = demand.limits;
  }
  return share;
}

bool TenantQuotas::silent(base::NodeId node) const {
  const auto known = silentUntil_.find(node);
  return known != silentUntil_.end() && environment_.clock.now() < known->second;
}

const membership::Member& TenantQuotas::homeOf(TenantId tenant, Share& share) {
  auto& directory = environment_.directory;
  if (share.homeVersion == directory.version() && share.homeVersion != 0 && !silent(share.home)) {
    const membership::Member* known = directory.find(share.home);
    if (known != nullptr) return *known;
  }
  const bool anySilent = !silentUntil_.empty();
  const membership::Member& home = tenantHome(
      tenant, directory,
      anySilent ? PassedOver{[this](base::NodeId node) { return silent(node); }} : PassedOver{});
  // A new home may answer where the old one did not.
  if (home.id != share.home && directory.version() != share.homeVersion) share.bridgedUntil = {};
  share.home = home.id;
  // What was chosen without the silent ones is chosen again once they may answer.
  share.homeVersion = anySilent ? 0 : directory.version();
  return home;
}

void TenantQuotas::noteMembership() {
  auto& directory = environment_.directory;
  if (directory.version() == membershipVersion_) return;
  membershipVersion_ = directory.version();
  membershipChangedAt_ = environment_.clock.now();
  const base::NodeId self = directory.self().id;
  ledger_.dropMoved([&](TenantId tenant) { return tenantHome(tenant, directory).id != self; });
}

HomeStanding TenantQuotas::standingFor(TenantId tenant) const {
  const auto& directory = environment_.directory;
  const auto now = environment_.clock.now();
  const auto live = static_cast<double>(std::max<std::size_t>(1, directory.liveMembers().size()));
  const auto known = static_cast<double>(fleetSize());
  HomeStanding standing;
  standing.share = std::min(1.0, live / std::max(1.0, known) * (1 + options_.partialViewTolerance));
  // Another node is the home by this node's view: the asker could not reach it, others may.
  const bool acting = tenantHome(tenant, directory).id != directory.self().id;
  if (acting) standing.share *= options_.actingShare;
  standing.initialBucketShare = justStarted() ? 0.0 : options_.initialBucketShare;
  standing.since = acting ? now : membershipChangedAt_;
  return standing;
}

bool TenantQuotas::justStarted() const {
  return environment_.clock.now() - startedAt_ < options_.clusterFormationTime;
}

std::size_t TenantQuotas::fleetSize() const {
  const std::size_t seen = std::max<std::size_t>(1, environment_.directory.liveMembers().size());
  const bool joining = environment_.clock.now() - startedAt_ < options_.joinPeriod;
  const std::size_t assumed = joining ? options_.assumedNodesWhileJoining : 1;
  return std::max({seen, environment_.knownNodes(), assumed});
}

bool TenantQuotas::alone() const {
  return environment_.directory.liveMembers().size() <= 1 && fleetSize() > 1;
}

bool TenantQuotas::mayDecide(TenantId tenant, const membership::Member& home) const {
  if (home.id != environment_.directory.self().id) return true;
  return !alone() && tenantHome(tenant, environment_.directory).id == home.id;
}

void TenantQuotas::expire(Share& share) const {
  const TimePoint now = environment_.clock.now();
  if (share.tokensExpireAt < now) share.tokens = 0;
  // Requests in flight keep their slots; only unused ones lapse.
  if (share.slotsExpireAt < now) share.slots = std::min(share.slots, share.inUse);
}

void TenantQuotas::noteDemand(Share& share, std::uint32_t tokens) const {
  const TimePoint now = environment_.clock.now();
  const double passed = base::toSeconds(now - share.demandAt) / kDemandSeconds;
  share.demand = share.demand * std::exp2(-passed) + tokens * std::log(2.0) / kDemandSeconds;
  share.demandAt = now;
}

bool TenantQuotas::takeLocally(Share& share, std::uint32_t tokens) const {
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

QuotaVerdict TenantQuotas::knownRefusal(const Share& share) {
  const Duration earliest = share.refusal.until - environment_.clock.now();
  // Spread up to what the home promised, so that those refused here do not come back together.
  const double spread = base::toSeconds(share.refusal.comeBackAfter) * environment_.random.unit();
  return {QuotaOutcome::kRateLimited,   std::max(earliest, seconds(spread)),
          QuotaDecider::kCachedRefusal, true,
          share.refusal.balance,        homeName(share)};
}

void TenantQuotas::acquire(WaitId id, const QuotaDemand& demand, Callback callback) {
  if (!demand.limits.any()) {
    callback({});
    return;
  }
  noteMembership();
  Share& share = shareOf(demand);
  const membership::Member& home = homeOf(demand.tenant, share);
  expire(share);
  noteDemand(share, demand.tokens);
  scheduleReview();
  const TimePoint now = environment_.clock.now();
  if (share.waiters.empty() && takeLocally(share, demand.tokens)) {
    callback({QuotaOutcome::kGranted, {}, QuotaDecider::kLease, share.nearLimit, 0, {}});
    return;
  }
  if (now < share.refusal.until && demand.tokens >= share.refusal.tokens) {
    callback(knownRefusal(share));
    return;
  }
  if (!mayDecide(demand.tenant, home) || now < share.bridgedUntil) {
    callback(bridgeOne(share, demand.tokens));
    return;
  }
  share.waiters.push_back({id, demand.tokens, std::move(callback)});
  if (share.asked == 0) ask(demand.tenant, share, true);
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
    correct({tenant, unused, 0}, homeOf(tenant, share));
  const bool idleSlots = share.slots > share.inUse;
  if (idleSlots && share.waiters.empty() && share.contended && share.asked == 0) {
    share.slots = share.inUse;
    ask(tenant, share, false);
  }
}

void TenantQuotas::charge(TenantId tenant, std::uint32_t tokens) {
  const auto found = shares_.find(tenant);
  if (found == shares_.end() || found->second.limits.ratePerSecond <= 0) return;
  correct({tenant, 0, tokens}, homeOf(tenant, found->second));
}

void TenantQuotas::correct(const QuotaCorrection& correction, const membership::Member& home) {
  if (home.id == environment_.directory.self().id) {
    ledger_.correct(correction);
    return;
  }
  ++counts_.corrections;
  environment_.transport.send(home.endpoint, base::Channel::kAdmission, encode(correction));
}

void TenantQuotas::ask(TenantId tenant, Share& share, bool answerWanted) {
  share.repeats = 0;
  send(tenant, share, answerWanted);
}

void TenantQuotas::send(TenantId tenant, Share& share, bool answerWanted) {
  const membership::Member& home = homeOf(tenant, share);
  QuotaLeaseRequest message;
  message.tenant = tenant;
  message.revision = share.revision;
  message.limits = share.limits;
  message.sequence = nextSequence_++;
  message.answerWanted = answerWanted;
  message.slotsHeld = share.slots;
  if (answerWanted && !share.waiters.empty()) {
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
  share.askedAt = environment_.clock.now();
  share.asked = answerWanted ? message.sequence : 0;
  const membership::Member& self = environment_.directory.self();
  if (home.id == self.id) {
    const QuotaLeaseReply grant = ledger_.handle({self.id, self.incarnation}, message,
                                                 standingFor(tenant), environment_.clock.now());
    if (answerWanted) onGrant(grant);
    return;
  }
  ++(answerWanted ? counts_.leaseRequests : counts_.corrections);
  environment_.transport.send(home.endpoint, base::Channel::kAdmission, encode(message));
}

void TenantQuotas::onPeerMessage(const base::PeerIdentity& sender, std::string_view payload) {
  const std::optional<QuotaMessage> message = decodeQuotaMessage(payload);
  if (!message.has_value()) {
    ++counts_.malformed;
    return;
  }
  noteMembership();
  if (const auto* grant = std::get_if<QuotaLeaseReply>(&*message)) {
    // A late answer, too, shows that the home is there.
    silentUntil_.erase(sender.node);
    onGrant(*grant);
    return;
  }
  if (const auto* correction = std::get_if<QuotaCorrection>(&*message)) {
    ledger_.correct(*correction);
    return;
  }
  const auto& request = std::get<QuotaLeaseRequest>(*message);
  scheduleReview();
  const QuotaLeaseReply grant =
      ledger_.handle({sender.node, sender.incarnation}, request, standingFor(request.tenant),
                     environment_.clock.now());
  if (!request.answerWanted) return;
  ++counts_.replies;
  environment_.transport.send(sender.endpoint, base::Channel::kAdmission, encode(grant));
}

void TenantQuotas::onGrant(const QuotaLeaseReply& grant) {
  const auto found = shares_.find(grant.tenant);
  // Late, repeated and foreign answers carry a sequence that nobody waits for.
  if (found == shares_.end() || grant.sequence == 0 || found->second.asked != grant.sequence) {
    return;
  }
  Share& share = found->second;
  share.asked = 0;
  share.silentHomes = 0;
  share.bridgedUntil = {};
  share.contended = grant.contended;
  share.nearLimit = grant.nearLimit;
  share.tokens += grant.tokens;
  if (grant.tokens > 0) share.tokensExpireAt = share.askedAt + options_.tokenLease;
  share.slots += grant.slots;
  share.slotsExpireAt = share.askedAt + options_.slotLease;
  const auto lease = std::min(options_.tokenLease, options_.slotLease);
  const bool late = environment_.clock.now() > share.askedAt + lease;
  expire(share);
  serve(share);
  if (share.waiters.empty()) return;
  // Read after its lease, as after a sleep: the home may have lent as much to others meanwhile.
  if (late) {
    ask(grant.tenant, share, true);
    return;
  }
  const bool tokensMissing =
      share.limits.ratePerSecond > 0 && share.tokens < share.waiters.front().tokens;
  if (tokensMissing && grant.tokens > 0) {
    ask(grant.tenant, share, true);
    return;
  }
  if (tokensMissing) {
    onRefusal(grant.tenant, share, grant);
    return;
  }
  const std::deque<Waiter> refused = std::exchange(share.waiters, {});
  for (const Waiter& waiter : refused) {
    waiter.callback({QuotaOutcome::kConcurrencyLimited, kSlotRetryAfter, QuotaDecider::kHome, true,
                     0, homeName(share)});
  }
}

void TenantQuotas::onRefusal(TenantId tenant, Share& share, const QuotaLeaseReply& grant) {
  const TimePoint now = environment_.clock.now();
  const std::uint32_t refusedTokens = share.waiters.front().tokens;
  share.refusal = {now + std::min(grant.tokensAfter, options_.refusalMemory), refusedTokens,
                   grant.comeBackAfter, grant.balance};
  // Smaller requests behind it may still pass.
  std::deque<Waiter> refused;
  std::deque<Waiter> left;
  for (Waiter& waiter : share.waiters)
    (waiter.tokens >= refusedTokens ? refused : left).push_back(std::move(waiter));
  share.waiters = std::move(left);
  const std::string home = homeName(share);
  const bool waitersLeft = !share.waiters.empty();
  if (waitersLeft) ask(tenant, share, true);
  for (const Waiter& waiter : refused) {
    waiter.callback({QuotaOutcome::kRateLimited, std::max(grant.tokensAfter, grant.comeBackAfter),
                     QuotaDecider::kHome, true, grant.balance, home});
  }
}

void TenantQuotas::serve(Share& share) {
  while (!share.waiters.empty() && takeLocally(share, share.waiters.front().tokens)) {
    const Waiter waiter = std::move(share.waiters.front());
    share.waiters.pop_front();
    waiter.callback({QuotaOutcome::kGranted, {}, QuotaDecider::kHome, share.nearLimit, 0, {}});
  }
}

bool TenantQuotas::takeBridged(Share& share, std::uint32_t tokens, TimePoint now) {
  const auto nodes = static_cast<double>(fleetSize());
  // While other nodes are seen, a home that this node misses may still grant the whole to them.
  const double part = (alone() ? 1.0 : options_.missedHomeShare) / nodes;
  const double rate = share.limits.ratePerSecond * part;
  const double size = share.limits.bucketSize() * part;
  const double earned = base::toSeconds(now - share.bridgeRefilledAt) * rate;
  share.bridgeTokens = std::min(size, share.bridgeTokens + earned);
  share.bridgeRefilledAt = now;
  const double saved = share.bridgeTokens;
  if (saved >= tokens) {
    share.bridgeTokens -= tokens;
    return true;
  }
  // What was saved is staked whole: on average no more is granted than the share.
  share.bridgeTokens = 0;
  return environment_.random.unit() * tokens < saved;
}

QuotaVerdict TenantQuotas::bridgeOne(Share& share, std::uint32_t tokens) {
  const TimePoint now = environment_.clock.now();
  const auto nodes = static_cast<double>(fleetSize());
  const std::uint32_t slots = std::max<std::uint32_t>(
      1, static_cast<std::uint32_t>(static_cast<double>(share.limits.concurrency) / nodes));
  if (share.limits.concurrency > 0 && share.inUse >= std::max(slots, share.slots)) {
    return {
        QuotaOutcome::kConcurrencyLimited, kSlotRetryAfter, QuotaDecider::kLocalShare, true, 0, {}};
  }
  if (share.limits.ratePerSecond > 0 && !takeBridged(share, tokens, now)) {
    // Another node may see the home: the caller need not wait for this node's share.
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

void TenantQuotas::onSilentHome(TenantId tenant, Share& share) {
  ++counts_.unresponsiveHomes;
  silentUntil_[share.home] = environment_.clock.now() + options_.unresponsiveHomeBackoff;
  share.asked = 0;
  if (++share.silentHomes < kHomesInLine && mayDecide(tenant, homeOf(tenant, share))) {
    ask(tenant, share, true);
    return;
  }
  bridge(share);
}

void TenantQuotas::bridge(Share& share) {
  share.silentHomes = 0;
  share.bridgedUntil = environment_.clock.now() + options_.unresponsiveHomeBackoff;
  const std::deque<Waiter> waiting = std::exchange(share.waiters, {});
  for (const Waiter& waiter : waiting) waiter.callback(bridgeOne(share, waiter.tokens));
}

void TenantQuotas::scheduleReview() {
  if (reviewTimer_ != 0) return;
  reviewTimer_ = environment_.timers.schedule(options_.requestTimeout, [this] {
    reviewTimer_ = 0;
    review();
  });
}

void TenantQuotas::review() {
  noteMembership();
  const TimePoint now = environment_.clock.now();
  std::erase_if(silentUntil_, [now](const auto& entry) { return entry.second <= now; });
  for (auto entry = shares_.begin(); entry != shares_.end();) {
    const bool idle = reviewShare(entry->first, entry->second);
    entry = idle ? shares_.erase(entry) : std::next(entry);
  }
  ledger_.dropIdle(now);
  if (!shares_.empty() || ledger_.accounts() > 0) scheduleReview();
}

bool TenantQuotas::reviewShare(TenantId tenant, Share& share) {
  const TimePoint now = environment_.clock.now();
  expire(share);
  if (share.asked != 0 && now - share.askedAt >= options_.requestTimeout) {
    if (share.repeats < options_.requestRetries) {
      ++share.repeats;
      send(tenant, share, true);
    } else {
      onSilentHome(tenant, share);
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
  return share.inUse == 0 && share.slots == 0 && share.tokens == 0 && now >= share.refusal.until &&
         now - share.demandAt >= options_.tokenLease;
}

}  // namespace covewing::admission
