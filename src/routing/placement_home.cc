#include "routing/placement_home.h"

#include <algorithm>
#include <utility>

namespace covewing::routing {

namespace {

/// Converts the shared parts to a chain; the request's own part, which is the last one, is not used
/// here.
prefix::PartChain chainOf(std::vector<prefix::PromptPart> parts) {
  parts.push_back({});
  return prefix::PartChain(std::move(parts));
}

std::size_t urgencyLevelOf(std::uint32_t urgency) {
  return std::min<std::size_t>(urgency, kUrgencyLevels - 1);
}

}  // namespace

PlacementHome::PlacementHome(PlacementHomeOptions options, PlacementHomeEnvironment environment,
                             SendReply sendReply)
    : options_(options),
      environment_(environment),
      sendReply_(std::move(sendReply)),
      homes_(environment.members) {}

PlacementHome::~PlacementHome() { environment_.timers.cancel(checkTimer_); }

std::size_t PlacementHome::queued() const {
  std::size_t sum = 0;
  for (const auto& [replica, state] : replicas_) sum += state.waiting.size();
  return sum;
}

PlacementHome::ReplicaQueue& PlacementHome::stateOf(base::EngineId replica) {
  return replicas_.try_emplace(replica, options_).first->second;
}

bool PlacementHome::usable(base::EngineId replica, ReplicaQueue& state) const {
  const auto now = environment_.clock.now();
  const auto record = environment_.replicas.find(replica);
  if (record == nullptr || !record->inService()) return false;
  if (record->loadingWeights(now) || record->versionUncertain(now)) return false;
  // If nodes disagree on which node is the home, only one of them may count the requests.
  if (record->notices().rateLimit().perSecond() && !isHome(*record)) return false;
  return state.ledger.available(now);
}

PlacementReply PlacementHome::describe(const PlacementQuery& query, ReplicaQueue& state) const {
  PlacementReply reply;
  reply.id = query.id;
  reply.replica = query.replica;
  reply.usable = usable(query.replica, state);
  if (const auto record = environment_.replicas.find(query.replica)) {
    reply.version = record->versionOf(query.model);
    reply.leaving = record->leaving();
    reply.rateLimit = record->notices().rateLimit().known(environment_.clock.now());
  }
  reply.matchedTokens =
      environment_.holders.matchedTokens(query.replica, query.scope, chainOf(query.parts));
  reply.queued = static_cast<std::uint32_t>(state.waiting.size());
  reply.speedPercent = state.ledger.speedPercent();
  return reply;
}

PlacementDemand PlacementHome::demandAt(const PlacementQuery& query, const PlacementReply& reply) {
  auto work = query.work;
  const auto matched = std::min(query.promptTokens, reply.matchedTokens);
  work.prefillTokens = std::min(work.prefillTokens, query.promptTokens - matched);
  return work;
}

LedgerCapacity PlacementHome::capacityOf(ReplicaQueue& state, std::uint64_t newId,
                                         const CapacityDemand& newDemand) const {
  const auto demandOf = [&state, newId, &newDemand](std::uint64_t id) -> const CapacityDemand& {
    return id == newId ? newDemand : state.waiting.at(id).demand;
  };
  return {state.ledger, state.capacity, demandOf, environment_.clock.now()};
}

LedgerCapacity PlacementHome::capacityOf(ReplicaQueue& state) const {
  const auto demandOf = [&state](std::uint64_t id) -> const CapacityDemand& {
    return state.waiting.at(id).demand;
  };
  return {state.ledger, state.capacity, demandOf, environment_.clock.now()};
}

admission::QueueEntry PlacementHome::entryOf(std::uint64_t id, const CapacityDemand& demand) const {
  const auto now = environment_.clock.now();
  const auto& terms = demand.terms;
  admission::QueueEntry entry;
  entry.id = id;
  entry.urgency = terms.urgency;
  entry.tenant = terms.tenant;
  entry.arrivedAt = now - terms.age;
  entry.softStartDeadline = now + terms.softStartWithin;
  entry.hardStartDeadline = now + terms.hardStartWithin;
  entry.cost = {demand.work.tokens, demand.work.prefillTokens, {}};
  return entry;
}

base::Duration PlacementHome::expectedWaitOf(const CapacityDemand& demand,
                                             ReplicaQueue& state) const {
  const auto ahead = std::ranges::count_if(state.waiting, [&demand](const auto& each) {
    return each.second.demand.terms.urgency <= demand.terms.urgency;
  });
  return state.ledger.expectedWait(demand.work, environment_.clock.now()) +
         state.ledger.timePerRequest(state.capacity.slots) * ahead;
}

void PlacementHome::grant(const PlacementQuery& query, const CapacityDemand& demand,
                          ReplicaQueue& state) {
  state.ledger.grant(query.id, demand.work, demand.terms, {query.scope, query.parts},
                     environment_.clock.now());
}

PlacementReply PlacementHome::decide(const PlacementQuery& query,
                                     const base::PeerIdentity& sender) {
  const auto now = environment_.clock.now();
  auto& state = stateOf(query.replica);
  adoptRateLimit(query);
  applyRateLimit(query.replica, state);
  auto reply = describe(query, state);
  const bool queriesNoOtherHome =
      query.terms.mayQueue && query.maximumQueueWait == base::Duration::max();
  const CapacityDemand demand{demandAt(query, reply), query.terms, query.acceptableWait,
                              queriesNoOtherHome};
  state.capacity = demand.work;
  state.capacity.memory =
      std::max(demand.work.memory, demand.work.memory == 0 ? 0 : demand.work.tokens);
  reply.wait = expectedWaitOf(demand, state);
  reply.pauseExcess = state.ledger.pauseExcess(demand.work, demand.terms, now);
  reply.meetsPauseBounds = reply.pauseExcess == base::Duration::zero();
  if (!reply.usable) return reply;
  reply.paced = state.ledger.pacer().limited();
  if (!state.ledger.pacer().mayPass(now)) ++counters_.rateLimited;
  const auto capacity = capacityOf(state, query.id, demand);
  const auto entry = entryOf(query.id, demand);
  // A query that may not queue is not recorded as an arrival if there is no capacity: the request
  // will query other homes.
  const bool late = demand.terms.softStartWithin < base::Duration::zero();
  const bool mayWait = query.terms.mayQueue && reply.wait <= query.maximumQueueWait;
  if (!mayWait && !capacity.fits(entry, !late)) return reply;
  const auto offer = state.queue.offer(entry, capacity, mayWait, now);
  switch (offer.verdict) {
    case admission::QueueVerdict::kGranted:
      reply.verdict = PlacementVerdict::kGranted;
      ++counters_.grantedAtOnce;
      grant(query, demand, state);
      break;
    case admission::QueueVerdict::kQueued:
      reply.verdict = PlacementVerdict::kQueued;
      reply.queued = static_cast<std::uint32_t>(offer.ahead);
      reply.wait = offer.wait;
      reply.nextUpdateWithin = options_.updateInterval;
      state.waiting.insert_or_assign(query.id, QueuedRequest{query, sender, demand, now, now});
      state.waiting.at(query.id).demand.acceptsPauses = true;
      scheduleCheck();
      break;
    case admission::QueueVerdict::kRefused:
      if (!mayWait) break;
      reply.verdict = PlacementVerdict::kRefused;
      reply.queued = static_cast<std::uint32_t>(offer.ahead);
      reply.retryAfter = offer.wait;
      ++counters_.refusedAtOnce;
      break;
  }
  return reply;
}

void PlacementHome::onUngrantedDispatch(const UngrantedDispatch& dispatch) {
  PlacementTerms terms;
  terms.maximumPause = dispatch.maximumPause;
  auto& state = stateOf(dispatch.replica);
  applyRateLimit(dispatch.replica, state);
  if (dispatch.controlCall) {
    state.ledger.countControlCall(environment_.clock.now());
  } else {
    state.ledger.grant(dispatch.id, dispatch.work, terms, {}, environment_.clock.now());
  }
}

void PlacementHome::onLeaving(base::EngineId replica) {
  if (const auto record = environment_.replicas.find(replica))
    recordLeaving(*record, environment_.log, {kOtherNode, 0, {}});
}

void PlacementHome::onStarted(const PlacementStarted& started) {
  if (started.leaving) onLeaving(started.replica);
  const auto known = replicas_.find(started.replica);
  if (known == replicas_.end()) return;
  auto& state = known->second;
  onRateLimitReported(started.replica, started.rateLimit, state, started.id);
  onRefusalLimitReported(started.refusalLimit, state);
  const auto prompt = state.ledger.begin(started.id, environment_.clock.now());
  if (!prompt) return;
  environment_.holders.addChain(started.replica, prompt->scope, chainOf(prompt->parts));
  serveQueue(started.replica, state);
}

void PlacementHome::onEnded(const PlacementEnded& ended, base::NodeId node) {
  if (ended.leaving) onLeaving(ended.replica);
  const auto known = replicas_.find(ended.replica);
  if (known == replicas_.end()) return;
  auto& state = known->second;
  onRateLimitReported(ended.replica, ended.rateLimit, state, ended.id);
  onRefusalLimitReported(ended.refusalLimit, state);
  if (state.waiting.contains(ended.id)) {
    state.queue.withdraw(ended.id);
    state.waiting.erase(ended.id);
    ++counters_.withdrawn;
  }
  const auto record = environment_.replicas.find(ended.replica);
  const double serviceRate = record ? environment_.replicas.failureRateOfOthers(*record) : 0;
  state.ledger.end(ended, node, serviceRate, environment_.clock.now());
  serveQueue(ended.replica, state);
  if (!record && state.ledger.idle()) replicas_.erase(known);
}

void PlacementHome::onRefusalLimitReported(const clients::RateLimitNotice& notice,
                                           ReplicaQueue& state) {
  if (notice.kind == clients::RateLimitNotice::Kind::kNothing) return;
  state.ledger.setRefusalLimit(notice.limited() ? std::optional(notice.perSecond) : std::nullopt);
}

void PlacementHome::serveQueue(base::EngineId replica, ReplicaQueue& state) {
  if (state.waiting.empty()) return;
  applyRateLimit(replica, state);
  const auto record = environment_.replicas.find(replica);
  if (!record || !isHome(*record) || !usable(replica, state)) {
    clearQueue(state);
    return;
  }
  withdrawRequestsOfLeftNodes(state);
  refuseExpired(state);
  grantNext(state);
}

void PlacementHome::grantNext(ReplicaQueue& state) {
  const auto now = environment_.clock.now();
  while (const auto entry = state.queue.next(capacityOf(state), now)) {
    const auto waiting = std::move(state.waiting.extract(entry->id).mapped());
    auto& waits = counters_.waits.at(urgencyLevelOf(entry->urgency));
    ++waits.count;
    waits.total += now - waiting.since;
    ++counters_.grantedLater;
    auto reply = describe(waiting.query, state);
    reply.verdict = PlacementVerdict::kGranted;
    reply.paced = state.ledger.pacer().limited();
    auto demand = waiting.demand;
    demand.work = demandAt(waiting.query, reply);
    reply.wait = state.ledger.expectedWait(demand.work, now);
    grant(waiting.query, demand, state);
    sendReply_(waiting.sender, reply);
  }
}

void PlacementHome::refuseExpired(ReplicaQueue& state) {
  const auto refusals = state.queue.removeExpired(capacityOf(state), environment_.clock.now());
  for (const auto& refusal : refusals) {
    const auto waiting = std::move(state.waiting.extract(refusal.id).mapped());
    ++counters_.refusedLater;
    auto reply = describe(waiting.query, state);
    reply.verdict = PlacementVerdict::kRefused;
    reply.queued = static_cast<std::uint32_t>(refusal.ahead);
    reply.retryAfter = refusal.retryAfter;
    sendReply_(waiting.sender, reply);
  }
}

void PlacementHome::clearQueue(ReplicaQueue& state) {
  state.queue.clear();
  const auto cleared = std::exchange(state.waiting, {});
  counters_.cleared += cleared.size();
  for (const auto& [id, waiting] : cleared) {
    auto reply = describe(waiting.query, state);
    reply.usable = false;
    sendReply_(waiting.sender, reply);
  }
}

bool PlacementHome::senderHasLeft(const QueuedRequest& waiting) const {
  const auto* member = environment_.members.find(waiting.sender.node);
  return member != nullptr && (member->state == membership::MemberState::kDead ||
                               member->state == membership::MemberState::kLeft);
}

void PlacementHome::withdrawRequestsOfLeftNodes(ReplicaQueue& state) {
  for (auto each = state.waiting.begin(); each != state.waiting.end();) {
    if (!senderHasLeft(each->second)) {
      ++each;
      continue;
    }
    state.queue.withdraw(each->first);
    each = state.waiting.erase(each);
    ++counters_.withdrawn;
  }
}

void PlacementHome::sendDueUpdates(ReplicaQueue& state) {
  const auto now = environment_.clock.now();
  for (auto& [id, waiting] : state.waiting) {
    // Sends the update one check early, because the next check would be too late.
    if (now - waiting.updatedAt + 2 * options_.checkInterval < options_.updateInterval) continue;
    waiting.updatedAt = now;
    auto reply = describe(waiting.query, state);
    reply.verdict = PlacementVerdict::kQueued;
    reply.nextUpdateWithin = options_.updateInterval;
    sendReply_(waiting.sender, reply);
  }
}

void PlacementHome::checkQueues() {
  for (auto& [replica, state] : replicas_) {
    serveQueue(replica, state);
    sendDueUpdates(state);
  }
  scheduleCheck();
}

void PlacementHome::scheduleCheck() {
  if (checkScheduled_ || queued() == 0) return;
  checkScheduled_ = true;
  checkTimer_ = environment_.timers.schedule(options_.checkInterval, [this] {
    checkScheduled_ = false;
    checkQueues();
  });
}

}  // namespace covewing::routing
