#include "routing/placement_home.h"

#include <algorithm>
#include <utility>

namespace covewing::routing {

namespace {

/// The shared parts as a chain; the request's own part does not matter here.
prefix::PartChain chainOf(std::vector<prefix::PromptPart> parts) {
  parts.push_back({});
  return prefix::PartChain(std::move(parts));
}

std::size_t countedAs(std::uint32_t urgency) {
  return std::min<std::size_t>(urgency, kCountedUrgencies - 1);
}

}  // namespace

PlacementHome::PlacementHome(PlacementHomeOptions options, PlacementHomeEnvironment environment,
                             Reply reply)
    : options_(options),
      environment_(environment),
      reply_(std::move(reply)),
      homes_(environment.members) {}

PlacementHome::~PlacementHome() { environment_.timers.cancel(lookTimer_); }

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
  // Where nodes differ on who the home is, one of them alone counts.
  if (record->notices().rateLimit().perSecond() && !isHome(*record)) return false;
  return state.ledger.available(now);
}

PlacementReply PlacementHome::describe(const PlacementQuery& question, ReplicaQueue& state) const {
  PlacementReply answer;
  answer.id = question.id;
  answer.replica = question.replica;
  answer.usable = usable(question.replica, state);
  if (const auto record = environment_.replicas.find(question.replica)) {
    answer.version = record->versionOf(question.model);
    answer.leaving = record->leaving();
    answer.rateLimit = record->notices().rateLimit().known(environment_.clock.now());
  }
  answer.matchedTokens =
      environment_.holders.matchedTokens(question.replica, question.scope, chainOf(question.parts));
  answer.queued = static_cast<std::uint32_t>(state.waiting.size());
  answer.speedPercent = state.ledger.speedPercent();
  return answer;
}

PlacementDemand PlacementHome::workAt(const PlacementQuery& question,
                                      const PlacementReply& answer) {
  auto work = question.work;
  const auto matched = std::min(question.promptTokens, answer.matchedTokens);
  work.prefillTokens = std::min(work.prefillTokens, question.promptTokens - matched);
  return work;
}

LedgerCapacity PlacementHome::roomOf(ReplicaQueue& state, std::uint64_t newId,
                                     const CapacityDemand& newDemand) const {
  const auto demandOf = [&state, newId, &newDemand](std::uint64_t id) -> const CapacityDemand& {
    return id == newId ? newDemand : state.waiting.at(id).demand;
  };
  return {state.ledger, state.capacity, demandOf, environment_.clock.now()};
}

LedgerCapacity PlacementHome::roomOf(ReplicaQueue& state) const {
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

base::Duration PlacementHome::waitFor(const CapacityDemand& demand, ReplicaQueue& state) const {
  const auto ahead = std::ranges::count_if(state.waiting, [&demand](const auto& each) {
    return each.second.demand.terms.urgency <= demand.terms.urgency;
  });
  return state.ledger.expectedWait(demand.work, environment_.clock.now()) +
         state.ledger.timePerRequest(state.capacity.slots) * ahead;
}

void PlacementHome::grant(const PlacementQuery& question, const CapacityDemand& demand,
                          ReplicaQueue& state) {
  state.ledger.grant(question.id, demand.work, demand.terms, {question.scope, question.parts},
                     environment_.clock.now());
}

PlacementReply PlacementHome::answerTo(const PlacementQuery& question,
                                       const base::PeerIdentity& asker) {
  const auto now = environment_.clock.now();
  auto& state = stateOf(question.replica);
  learnRateLimit(question);
  followRateLimit(question.replica, state);
  auto answer = describe(question, state);
  const bool asksNobodyElse =
      question.terms.mayQueue && question.queueWithin == base::Duration::max();
  const CapacityDemand demand{workAt(question, answer), question.terms, question.acceptableWait,
                              asksNobodyElse};
  state.capacity = demand.work;
  state.capacity.memory =
      std::max(demand.work.memory, demand.work.memory == 0 ? 0 : demand.work.tokens);
  answer.wait = waitFor(demand, state);
  answer.pauseExcess = state.ledger.pauseExcess(demand.work, demand.terms, now);
  answer.keepsPauses = answer.pauseExcess == base::Duration::zero();
  if (!answer.usable) return answer;
  answer.paced = state.ledger.pacer().limited();
  if (!state.ledger.pacer().mayPass(now)) ++counters_.rateLimited;
  const auto room = roomOf(state, question.id, demand);
  const auto entry = entryOf(question.id, demand);
  // A question that only looks for room is no arrival where there is none: the request asks others.
  const bool late = demand.terms.softStartWithin < base::Duration::zero();
  const bool mayWait = question.terms.mayQueue && answer.wait <= question.queueWithin;
  if (!mayWait && !room.fits(entry, !late)) return answer;
  const auto offer = state.queue.offer(entry, room, mayWait, now);
  switch (offer.verdict) {
    case admission::QueueVerdict::kGranted:
      answer.verdict = PlacementVerdict::kGranted;
      ++counters_.grantedAtOnce;
      grant(question, demand, state);
      break;
    case admission::QueueVerdict::kQueued:
      answer.verdict = PlacementVerdict::kQueued;
      answer.queued = static_cast<std::uint32_t>(offer.ahead);
      answer.wait = offer.wait;
      answer.within = options_.promise;
      state.waiting.insert_or_assign(question.id, Waiting{question, asker, demand, now, now});
      state.waiting.at(question.id).demand.acceptsPauses = true;
      armLook();
      break;
    case admission::QueueVerdict::kRefused:
      if (!mayWait) break;
      answer.verdict = PlacementVerdict::kRefused;
      answer.queued = static_cast<std::uint32_t>(offer.ahead);
      answer.retryAfter = offer.wait;
      ++counters_.refusedAtOnce;
      break;
  }
  return answer;
}

void PlacementHome::onTaken(const UngrantedDispatch& taken) {
  PlacementTerms terms;
  terms.longestPause = taken.longestPause;
  auto& state = stateOf(taken.replica);
  followRateLimit(taken.replica, state);
  if (taken.call) {
    state.ledger.countControlCall(environment_.clock.now());
  } else {
    state.ledger.grant(taken.id, taken.work, terms, {}, environment_.clock.now());
  }
}

void PlacementHome::onLeaving(base::EngineId replica) {
  if (const auto record = environment_.replicas.find(replica))
    recordLeaving(*record, environment_.log, {kOtherNode, 0, {}});
}

void PlacementHome::onBegun(const PlacementStarted& begun) {
  if (begun.leaving) onLeaving(begun.replica);
  const auto known = replicas_.find(begun.replica);
  if (known == replicas_.end()) return;
  auto& state = known->second;
  onLimitSaid(begun.replica, begun.rateLimit, state, begun.id);
  const auto prompt = state.ledger.begin(begun.id, environment_.clock.now());
  if (!prompt) return;
  environment_.holders.addChain(begun.replica, prompt->scope, chainOf(prompt->parts));
  serveQueue(begun.replica, state);
}

void PlacementHome::onEnded(const PlacementEnded& ended, base::NodeId node) {
  if (ended.leaving) onLeaving(ended.replica);
  const auto known = replicas_.find(ended.replica);
  if (known == replicas_.end()) return;
  auto& state = known->second;
  onLimitSaid(ended.replica, ended.rateLimit, state, ended.id);
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

void PlacementHome::serveQueue(base::EngineId replica, ReplicaQueue& state) {
  if (state.waiting.empty()) return;
  followRateLimit(replica, state);
  const auto record = environment_.replicas.find(replica);
  if (!record || !isHome(*record) || !usable(replica, state)) {
    clearQueue(state);
    return;
  }
  withdrawOfGoneNodes(state);
  refuseExpired(state);
  grantNext(state);
}

void PlacementHome::grantNext(ReplicaQueue& state) {
  const auto now = environment_.clock.now();
  while (const auto entry = state.queue.next(roomOf(state), now)) {
    const auto waiting = std::move(state.waiting.extract(entry->id).mapped());
    auto& waits = counters_.waits.at(countedAs(entry->urgency));
    ++waits.count;
    waits.total += now - waiting.since;
    ++counters_.grantedLater;
    auto answer = describe(waiting.question, state);
    answer.verdict = PlacementVerdict::kGranted;
    answer.paced = state.ledger.pacer().limited();
    auto demand = waiting.demand;
    demand.work = workAt(waiting.question, answer);
    answer.wait = state.ledger.expectedWait(demand.work, now);
    grant(waiting.question, demand, state);
    reply_(waiting.asker, answer);
  }
}

void PlacementHome::refuseExpired(ReplicaQueue& state) {
  const auto refusals = state.queue.removeExpired(roomOf(state), environment_.clock.now());
  for (const auto& refusal : refusals) {
    const auto waiting = std::move(state.waiting.extract(refusal.id).mapped());
    ++counters_.refusedLater;
    auto answer = describe(waiting.question, state);
    answer.verdict = PlacementVerdict::kRefused;
    answer.queued = static_cast<std::uint32_t>(refusal.ahead);
    answer.retryAfter = refusal.retryAfter;
    reply_(waiting.asker, answer);
  }
}

void PlacementHome::clearQueue(ReplicaQueue& state) {
  state.queue.clear();
  const auto cleared = std::exchange(state.waiting, {});
  counters_.cleared += cleared.size();
  for (const auto& [id, waiting] : cleared) {
    auto answer = describe(waiting.question, state);
    answer.usable = false;
    reply_(waiting.asker, answer);
  }
}

bool PlacementHome::askerIsGone(const Waiting& waiting) const {
  const auto* member = environment_.members.find(waiting.asker.node);
  return member != nullptr && (member->state == membership::MemberState::kDead ||
                               member->state == membership::MemberState::kLeft);
}

void PlacementHome::withdrawOfGoneNodes(ReplicaQueue& state) {
  for (auto each = state.waiting.begin(); each != state.waiting.end();) {
    if (!askerIsGone(each->second)) {
      ++each;
      continue;
    }
    state.queue.withdraw(each->first);
    each = state.waiting.erase(each);
    ++counters_.withdrawn;
  }
}

void PlacementHome::renewPromises(ReplicaQueue& state) {
  const auto now = environment_.clock.now();
  for (auto& [id, waiting] : state.waiting) {
    // One look early: the next one would be too late.
    if (now - waiting.toldAt + 2 * options_.lookInterval < options_.promise) continue;
    waiting.toldAt = now;
    auto answer = describe(waiting.question, state);
    answer.verdict = PlacementVerdict::kQueued;
    answer.within = options_.promise;
    reply_(waiting.asker, answer);
  }
}

void PlacementHome::look() {
  for (auto& [replica, state] : replicas_) {
    serveQueue(replica, state);
    renewPromises(state);
  }
  armLook();
}

void PlacementHome::armLook() {
  if (lookArmed_ || queued() == 0) return;
  lookArmed_ = true;
  lookTimer_ = environment_.timers.schedule(options_.lookInterval, [this] {
    lookArmed_ = false;
    look();
  });
}

}  // namespace covewing::routing
