#include "membership/gossip_membership.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace covewing::membership {

namespace {

constexpr double kTimerJitter = 0.1;
constexpr base::Duration kRelayLifetime = std::chrono::seconds(2);
constexpr std::size_t kLeaveFanout = 8;
/// Updates on one gossip message, so that it fits into a datagram.
constexpr std::size_t kGossipBytes = base::PeerTransport::kDatagramLimit - 100;
constexpr std::size_t kMaximumRelays = 256;
/// Suspected members that are pinged in each period besides the one probed.
constexpr std::size_t kSuspectPings = 4;
/// A comparison that brings more items than this is a node's first: it does not pass them on.
constexpr std::size_t kMaximumIntroductions = 32;
/// Members that are told after one comparison that the other side holds them dead.
constexpr std::size_t kMaximumAccusations = 8;

bool isLive(MemberState state) {
  return state == MemberState::kAlive || state == MemberState::kSuspect;
}

Member selfOf(const GossipMembershipOptions& options) {
  Member self;
  self.id = base::nodeIdOf(options.name);
  self.name = options.name;
  self.endpoint = options.endpoint;
  self.zone = options.zone;
  self.region = options.region;
  self.incarnation = options.incarnation;
  return self;
}

}  // namespace

GossipMembership::GossipMembership(GossipMembershipOptions options, base::Clock& clock,
                                   base::TimerService& timers, base::RandomSource& random,
                                   base::EventLog& log, base::PeerTransport& peers)
    : options_(std::move(options)),
      clock_(clock),
      timers_(timers),
      random_(random),
      log_(log),
      peers_(peers),
      members_(selfOf(options_), options_.retention),
      comparison_(members_, records_, random),
      broadcasts_(options_.broadcasts, members_, records_),
      detector_(options_.probing, timers, random, members_, *this),
      lastRunning_(clock.now()),
      syncInterval_(options_.firstSyncPeriod),
      joinInterval_(options_.firstJoinRetry) {}

GossipMembership::~GossipMembership() {
  for (const base::TimerId timer :
       {periodTimer_, gossipTimer_, syncTimer_, deadTimer_, joinTimer_}) {
    timers_.cancel(timer);
  }
}

// --- timers

void GossipMembership::start() {
  broadcasts_.add(members_.self().id);
  lastRunning_ = clock_.now();
  every(options_.probing.probePeriod, periodTimer_, &GossipMembership::onPeriod);
  every(options_.gossipPeriod, gossipTimer_, &GossipMembership::onGossipTick);
  startedAt_ = lastRunning_;
  compareSoon(options_.startSyncPeriod);
  every(options_.deadRetry, deadTimer_, &GossipMembership::onDeadTick);
  onJoinTick();
}

void GossipMembership::every(base::Duration period, base::TimerId& timer,
                             void (GossipMembership::*action)()) {
  timer = timers_.schedule(random_.jittered(period, kTimerJitter), [this, period, &timer, action] {
    every(period, timer, action);
    (this->*action)();
  });
}

void GossipMembership::onPeriod() {
  const base::TimePoint now = clock_.now();
  noteRunning(now);
  std::erase_if(relays_,
                [&](const auto& item) { return now - item.second.sentAt > kRelayLifetime; });
  members_.purge(now);
  detector_.beginPeriod();
  for (const base::NodeId id : members_.randomSuspects(random_, kSuspectPings))
    sendPing(*members_.find(id), detector_.nextSequence());
}

void GossipMembership::noteRunning(base::TimePoint now) {
  const base::Duration elapsed = now - std::exchange(lastRunning_, now);
  const base::Duration longest = options_.gossipPeriod + options_.pauseThreshold;
  running_ += std::min(elapsed, longest);
  broadcasts_.refill(elapsed);
  if (elapsed > longest) onWake();
}

void GossipMembership::onWake() {
  detector_.forgive();
  compareSoon(options_.firstSyncPeriod);
}

void GossipMembership::expireSuspicions() {
  for (const base::NodeId id : members_.expiredSuspicions(running_)) {
    MemberUpdate update = compactUpdate(*members_.find(id), members_.sequenceOf(id));
    update.version.state = MemberState::kDead;
    applyAndSpread(update);
  }
}

void GossipMembership::onGossipTick() {
  noteRunning(clock_.now());
  expireSuspicions();
  if (broadcasts_.empty()) return;
  for (const Member* member : members_.randomLive(random_, options_.gossipFanout, {})) {
    if (broadcasts_.empty()) return;
    if (!broadcasts_.hasBudget()) return;
    send(member->endpoint, Gossip{broadcasts_.takeWithinBudget(kGossipBytes)});
  }
}

void GossipMembership::compareSoon(base::Duration firstInterval) {
  timers_.cancel(syncTimer_);
  syncInterval_ = firstInterval;
  syncTimer_ = timers_.schedule(random_.jittered(syncInterval_ / 2, 1), [this] { onSyncTick(); });
}

void GossipMembership::onSyncTick() {
  syncTimer_ =
      timers_.schedule(random_.jittered(syncInterval_, kTimerJitter), [this] { onSyncTick(); });
  syncInterval_ = std::min(syncInterval_ * 2, options_.syncPeriod);
  if (const Member* member = members_.randomLive(random_)) requestSync(member->endpoint);
}

void GossipMembership::onDeadTick() {
  if (const Member* member = members_.randomDead(random_)) requestSync(member->endpoint);
  // A seed of another partition may have started after this node, and never have been a member
  // here.
  const auto unknown = unknownSeeds();
  if (!unknown.empty()) requestSync(unknown[random_.below(unknown.size())]);
}

std::vector<base::Endpoint> GossipMembership::unknownSeeds() const {
  auto unknown = options_.seeds;
  std::erase(unknown, options_.endpoint);
  for (const Member& member : members_.live()) std::erase(unknown, member.endpoint);
  return unknown;
}

std::size_t GossipMembership::missingSeeds() const {
  return joinPeriodOver() ? 0 : unknownSeeds().size();
}

void GossipMembership::onJoinTick() {
  // Nodes that joined through different seeds know nothing of each other until one of them queries
  // a seed of the others.
  const auto unknown = unknownSeeds();
  if (unknown.empty()) return;
  if (!alone() && joinPeriodOver()) return;
  requestSync(unknown[random_.below(unknown.size())]);
  joinTimer_ = timers_.schedule(random_.jittered(joinInterval_, 0.5), [this] { onJoinTick(); });
  joinInterval_ = std::min(2 * joinInterval_, options_.joinRetry);
}

// --- own state

void GossipMembership::leave() {
  for (base::TimerId* timer : {&periodTimer_, &syncTimer_, &deadTimer_, &joinTimer_}) {
    timers_.cancel(std::exchange(*timer, 0));
  }
  detector_.forgive();
  members_.renewSelf(0, MemberState::kLeft, true);
  broadcasts_.add(members_.self().id);
  for (const Member* member : members_.randomLive(random_, kLeaveFanout, {}))
    send(member->endpoint, Gossip{broadcasts_.take(options_.piggybackBytes)});
}

void GossipMembership::setDraining(bool draining) {
  if (members_.self().draining == draining) return;
  members_.renewSelf(0, MemberState::kAlive, draining);
  broadcasts_.add(members_.self().id);
}

// --- probing

void GossipMembership::sendPing(const Member& target, std::uint64_t sequence) {
  UpdateBatch content = broadcasts_.take(options_.piggybackBytes);
  // A suspected member hears of it first of all from the one that probes it.
  if (target.state == MemberState::kSuspect) {
    PackedWriter writer;
    encode(compactUpdate(target, members_.sequenceOf(target.id)), writer);
    content.members += writer.bytes();
  }
  send(target.endpoint, Ping{sequence, target.id, std::move(content)});
}

void GossipMembership::sendPingRequest(const Member& helper, base::NodeId target,
                                       std::uint64_t sequence) {
  send(helper.endpoint, PingRequest{sequence, target});
}

void GossipMembership::onProbeFailed(base::NodeId target) {
  const Member* member = members_.find(target);
  if (member == nullptr || member->state != MemberState::kAlive) return;
  MemberUpdate update = compactUpdate(*member, members_.sequenceOf(target));
  update.version.state = MemberState::kSuspect;
  applyAndSpread(update);
}

// --- messages

void GossipMembership::onPeerMessage(const base::PeerIdentity& sender, std::string_view payload) {
  const std::optional<MembershipMessage> message = decodeMembershipMessage(payload);
  if (!message) {
    log_.write(base::Event::kMessageRejected, {{"channel", "membership"}});
    return;
  }
  if (members_.self().state == MemberState::kLeft) return;
  std::visit([&](const auto& content) { handle(sender, content); }, *message);
}

void GossipMembership::handle(const base::PeerIdentity& sender, const Ping& message) {
  std::string corrections = takeUpdates(message.updates);
  if (message.target != members_.self().id) return correct(sender.endpoint, std::move(corrections));
  UpdateBatch content = broadcasts_.take(options_.piggybackBytes);
  content.members += corrections;
  // Whoever is held dead here must hear of it to refute it.
  const Member* member = members_.find(sender.node);
  if (member != nullptr && !isLive(member->state) && member->incarnation == sender.incarnation) {
    PackedWriter writer;
    encode(compactUpdate(*member, members_.sequenceOf(sender.node)), writer);
    content.members += writer.bytes();
  }
  send(sender.endpoint, Ack{message.sequence, std::move(content)});
}

void GossipMembership::handle(const base::PeerIdentity& sender, const Ack& message) {
  correct(sender.endpoint, takeUpdates(message.updates));
  detector_.onAck(message.sequence);
  const auto relay = relays_.find(message.sequence);
  if (relay == relays_.end()) return;
  send(relay->second.origin, Ack{relay->second.sequence, UpdateBatch{}});
  relays_.erase(relay);
}

void GossipMembership::handle(const base::PeerIdentity& sender, const PingRequest& message) {
  const Member* target = members_.find(message.target);
  if (target == nullptr || relays_.size() >= kMaximumRelays) return;
  const std::uint64_t sequence = detector_.nextSequence();
  relays_[sequence] = {sender.endpoint, message.sequence, clock_.now()};
  send(target->endpoint, Ping{sequence, target->id, UpdateBatch{}});
}

void GossipMembership::handle(const base::PeerIdentity& sender, const Gossip& message) {
  correct(sender.endpoint, takeUpdates(message.updates));
}

void GossipMembership::handle(const base::PeerIdentity& sender, const SyncRequest& message) {
  accuse(sender.endpoint, message.self);
  if (message.joining) return sendItems(sender.endpoint, comparison_.everything());
  const Member* member = members_.find(sender.node);
  const bool cutOff = member == nullptr || !isLive(member->state);
  send(sender.endpoint, comparison_.summarize(message, cutOff));
}

void GossipMembership::handle(const base::PeerIdentity& sender, const SyncSummary& message) {
  accuse(sender.endpoint, message.self);
  const SyncItems items = comparison_.itemsFor(message);
  if (items.wantedMembers.size() + items.wantedRecords.size() > kMaximumIntroductions)
    syncInterval_ = options_.firstSyncPeriod;
  sendItems(sender.endpoint, items);
}

void GossipMembership::handle(const base::PeerIdentity& sender, const SyncItems& message) {
  const std::vector<MemberUpdate> compared = decodeMemberUpdates(message.updates.members);
  const bool introductions = compared.size() <= kMaximumIntroductions;
  PackedWriter corrections;
  std::vector<MemberUpdate> accused;
  for (const MemberUpdate& update : compared)
    takeComparedUpdate(update, introductions, corrections, accused);
  if (corrections.size() > 0) send(sender.endpoint, SyncItems{{corrections.take(), ""}, {}, {}});
  forwardAccusations(std::move(accused));
  const std::vector<GossipRecord> records = decodeRecords(message.updates.records);
  for (const GossipRecord& record : records) {
    const bool spread = records.size() <= kMaximumIntroductions || records_.find(record.key);
    if (records_.apply(record) && spread) broadcasts_.add(record.key);
  }
  sendItems(sender.endpoint, comparison_.wantedItems(message));
}

// --- what others say

std::string GossipMembership::takeUpdates(const UpdateBatch& updates) {
  PackedWriter corrections;
  for (const MemberUpdate& update : decodeMemberUpdates(updates.members)) {
    takeUpdate(update);
    const Member* known = members_.find(update.id);
    const bool wrongly =
        update.version.state == MemberState::kSuspect || update.version.state == MemberState::kDead;
    if (wrongly && known != nullptr && isLive(known->state) &&
        members_.versionOf(update.id) > update.version)
      encode(compactUpdate(*known, members_.sequenceOf(update.id)), corrections);
  }
  for (const GossipRecord& record : decodeRecords(updates.records)) takeRecord(record);
  return corrections.take();
}

void GossipMembership::correct(const base::Endpoint& endpoint, std::string corrections) {
  if (!corrections.empty()) send(endpoint, Gossip{{std::move(corrections), ""}});
}

void GossipMembership::takeUpdate(MemberUpdate update) {
  if (update.id == members_.self().id) return takeAccusation(update);
  if (mayYetRefute(update)) {
    update.version.state = MemberState::kSuspect;
    detector_.probeSoon(update.id);
  }
  applyAndSpread(update);
}

bool GossipMembership::mayYetRefute(const MemberUpdate& update) const {
  const Member* known = members_.find(update.id);
  if (update.version.state != MemberState::kDead || known == nullptr || !isLive(known->state))
    return false;
  const auto deadline = members_.suspicionDeadline(update.id);
  return !deadline || *deadline - running_ > suspicionTime() / 2;
}

void GossipMembership::takeComparedUpdate(const MemberUpdate& update, bool spreadUnknown,
                                          PackedWriter& corrections,
                                          std::vector<MemberUpdate>& accused) {
  if (update.id == members_.self().id) return takeAccusation(update);
  const Member* known = members_.find(update.id);
  const MemberVersion version = members_.versionOf(update.id);
  // Only the member itself says that it left.
  const bool heldGone = !isLive(update.version.state) && update.version.state != MemberState::kLeft;
  if (heldGone && known != nullptr && isLive(known->state) && version < update.version) {
    accused.push_back(update);
    return;
  }
  if (known != nullptr && !isLive(known->state) && update.version < version) {
    encode(compactUpdate(*known, version.sequence), corrections);
    return;
  }
  applyAndSpread(update, known != nullptr || spreadUnknown);
}

void GossipMembership::forwardAccusations(std::vector<MemberUpdate> accused) {
  const std::size_t count = std::min(accused.size(), kMaximumAccusations);
  for (std::size_t index = 0; index < count; ++index) {
    std::swap(accused[index], accused[index + random_.below(accused.size() - index)]);
    const MemberUpdate& update = accused[index];
    PackedWriter accusation;
    encode(update, accusation);
    send(members_.find(update.id)->endpoint, SyncItems{{accusation.take(), ""}, {}, {}});
    detector_.probeSoon(update.id);
  }
}

void GossipMembership::takeAccusation(const MemberUpdate& update) {
  const Member& self = members_.self();
  const MemberVersion own = members_.versionOf(self.id);
  if (update.version <= own || update.version.incarnation != own.incarnation) return;
  members_.renewSelf(update.version.sequence, MemberState::kAlive, self.draining);
  broadcasts_.add(self.id);
}

void GossipMembership::applyAndSpread(const MemberUpdate& update, bool spread) {
  const MemberChange change = members_.apply(update, clock_.now(), running_ + suspicionTime());
  if (change.kind != MemberChange::Kind::kChanged) return;
  if (spread) broadcasts_.add(update.id);
  report(change);
}

void GossipMembership::report(const MemberChange& change) {
  const Member& member = *change.member;
  const bool wasLive = change.before && isLive(*change.before);
  base::Event event = base::Event::kMemberJoined;
  switch (member.state) {
    case MemberState::kSuspect:
      event = base::Event::kMemberSuspected;
      break;
    case MemberState::kDead:
      event = base::Event::kMemberDead;
      break;
    case MemberState::kLeft:
      event = base::Event::kMemberLeft;
      break;
    default:
      if (wasLive && *change.before == MemberState::kAlive) return;
      if (wasLive) event = base::Event::kMemberRefuted;
  }
  log_.write(event, {{"member", member.name},
                     {"zone", member.zone},
                     {"incarnation", std::to_string(member.incarnation)}});
}

void GossipMembership::takeRecord(const GossipRecord& record) {
  if (records_.apply(record)) broadcasts_.add(record.key);
}

// --- records

void GossipMembership::publish(GossipRecord record) { takeRecord(record); }

std::optional<GossipRecord> GossipMembership::find(std::string_view key) const {
  return records_.find(key);
}

void GossipMembership::subscribe(std::string keyPrefix, Listener listener) {
  records_.subscribe(std::move(keyPrefix), listener);
}

// --- sending

void GossipMembership::accuse(const base::Endpoint& endpoint, const std::string& self) {
  for (const MemberUpdate& update : decodeMemberUpdates(self)) {
    if (update.id == members_.self().id) continue;
    const Member* known = members_.find(update.id);
    const MemberVersion version = members_.versionOf(update.id);
    if (known == nullptr || isLive(known->state) || version < update.version) {
      applyAndSpread(update);
      continue;
    }
    PackedWriter accusation;
    encode(compactUpdate(*known, version.sequence), accusation);
    send(endpoint, SyncItems{{accusation.take(), ""}, {}, {}});
  }
}

void GossipMembership::requestSync(const base::Endpoint& endpoint) {
  if (endpoint == options_.endpoint) return;
  send(endpoint, comparison_.request());
}

void GossipMembership::sendItems(const base::Endpoint& endpoint, const SyncItems& items) {
  const bool empty = items.updates.members.empty() && items.updates.records.empty() &&
                     items.wantedMembers.empty() && items.wantedRecords.empty();
  if (!empty) send(endpoint, items);
}

void GossipMembership::send(const base::Endpoint& endpoint, const MembershipMessage& message) {
  peers_.send(endpoint, base::Channel::kMembership, encode(message));
}

base::Duration GossipMembership::suspicionTime() const {
  const double scale = std::log10(static_cast<double>(members_.live().size()) + 1);
  const double periods = options_.suspicionFactor * std::max(scale, 1.0);
  const auto time = static_cast<base::Duration::rep>(
      static_cast<double>(options_.probing.probePeriod.count()) * periods);
  return std::max(base::Duration{time}, options_.minimumSuspicion);
}

}  // namespace covewing::membership
