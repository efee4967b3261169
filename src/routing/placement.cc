#include "routing/placement.h"

#include <algorithm>
#include <utility>

namespace covewing::routing {

Placement::Placement(PlacementOptions options, PlacementEnvironment environment)
    : options_(options),
      environment_(environment),
      homes_(environment.members),
      home_(options.home,
            {environment.clock, environment.timers, environment.log, environment.members,
             environment.replicas, environment.holders},
            [this](const auto& sender, const auto& reply) { sendReply(sender, reply); }) {}

Placement::~Placement() {
  for (auto& [ticket, pending] : pending_) closeQuery(pending);
  environment_.timers.cancel(toSelfTimer_);
}

bool Placement::isSelf(base::NodeId node) const { return node == environment_.members.self().id; }

void Placement::send(const base::Endpoint& destination, const PlacementMessage& message) {
  environment_.peers.send(destination, base::Channel::kPlacement, encode(message));
}

PlacementCounters Placement::counters() const {
  auto counters = counters_;
  counters.home = home_.counters();
  counters.queuedHere = home_.queued();
  return counters;
}

// --- placing requests

void Placement::place(Ticket ticket, PlacementRequest request, ResultCallback found) {
  Pending pending;
  pending.candidateStates.resize(request.candidates.size());
  pending.request = std::move(request);
  pending.found = std::move(found);
  pending_.insert_or_assign(ticket, std::move(pending));
  queryNext(ticket);
}

void Placement::cancel(Ticket ticket) {
  auto entry = pending_.extract(ticket);
  if (!entry.empty()) closeQuery(entry.mapped());
}

void Placement::closeQuery(Pending& pending) {
  environment_.timers.cancel(pending.timer);
  if (openQueries_.erase(pending.queryId) == 0) return;
  // Also withdraws a grant that is already on its way.
  if (pending.maximumQueueWait) returnGrant(grantOf(pending));
}

const ReplicaRecord& Placement::recordOf(const Pending& pending) const {
  return *pending.request.candidates[pending.position].record;
}

bool Placement::isAvoided(base::NodeId home) const {
  const auto known = homeReliability_.find(home);
  return known != homeReliability_.end() && environment_.clock.now() < known->second.avoidedUntil;
}

PlacementQuery Placement::queryOf(const Pending& pending) const {
  const auto now = environment_.clock.now();
  const auto& request = pending.request;
  const auto& constraints = request.constraints;
  const auto& candidate = request.candidates[pending.position];
  PlacementQuery query;
  query.id = pending.queryId;
  query.replica = base::engineIdOf(candidate.record->facts().instance);
  query.model = request.model;
  query.scope = candidate.scope;
  query.parts = request.parts;
  query.promptTokens = request.promptTokens;
  query.work = candidate.work;
  query.acceptableWait = request.acceptableWait;
  query.terms.mayQueue = pending.maximumQueueWait.has_value();
  query.maximumQueueWait = pending.maximumQueueWait.value_or(base::Duration::max());
  query.terms.urgency = constraints.urgency;
  query.terms.tenant = constraints.tenant;
  query.terms.age = now - constraints.arrivedAt;
  query.terms.softStartWithin = constraints.softStartDeadline - candidate.prefillTime - now;
  query.terms.hardStartWithin = constraints.hardStartDeadline - candidate.prefillTime - now;
  query.terms.maximumPause = constraints.maximumPause;
  query.terms.outputTokens = constraints.outputTokens;
  query.rateLimit = candidate.record->notices().rateLimit().known(now);
  return query;
}

bool Placement::enoughQueuesSeen(const Pending& pending) const {
  return pending.queuesSeen >= options_.queuesToJoin;
}

bool Placement::isAlternate(const Pending& pending, std::size_t index) {
  return index + pending.request.alternates >= pending.request.candidates.size();
}

bool Placement::queriedEnough(const Pending& pending) const {
  return pending.timeouts >= options_.maximumTimeouts ||
         pending.homesQueried >= options_.maximumQueries ||
         (enoughQueuesSeen(pending) && pending.alternatesQueried > 0);
}

bool Placement::isLastQuery(const Pending& pending) const {
  if (isAlternate(pending, pending.position)) return enoughQueuesSeen(pending);
  return pending.request.alternates == 0 && pending.queuesSeen + 1 >= options_.queuesToJoin;
}

bool Placement::shouldQuery(Pending& pending) {
  auto& state = pending.candidateStates[pending.position];
  if (state.ruledOut()) return false;
  if (enoughQueuesSeen(pending) && !isAlternate(pending, pending.position)) return false;
  const auto& facts = recordOf(pending).facts();
  const auto replica = base::engineIdOf(facts.instance);
  if (isAvoided(homes_.homeOf(replica, facts.zone).id)) return false;
  const auto known = queues_.find(replica);
  if (known == queues_.end()) return true;
  if (environment_.clock.now() >= known->second.until) {
    queues_.erase(known);
    return true;
  }
  state.knowledge = CandidateKnowledge::kAssumed;
  state.wait = known->second.wait;
  state.pauseExcess = known->second.pauseExcess;
  pending.queued = known->second.length;
  if (!known->second.rateLimited) ++pending.queuesSeen;
  return false;
}

void Placement::queryNext(Ticket ticket) {
  auto& pending = pending_.at(ticket);
  for (; pending.position < pending.request.candidates.size(); ++pending.position) {
    if (queriedEnough(pending)) break;
    if (!shouldQuery(pending)) continue;
    ++pending.homesQueried;
    if (isAlternate(pending, pending.position)) ++pending.alternatesQueried;
    pending.maximumQueueWait = queueWaitLimit(pending);
    sendQuery(ticket);
    return;
  }
  joinQueue(ticket);
}

base::Duration Placement::costOf(const Pending& pending, std::size_t index) const {
  return *pending.candidateStates[index].wait + pending.candidateStates[index].pauseExcess +
         options_.moveMargin * static_cast<base::Duration::rep>(index);
}

bool Placement::isPreferred(const Pending& pending, std::size_t index, std::size_t other) const {
  const bool meetsBounds = pending.candidateStates[index].pauseExcess == base::Duration::zero();
  const bool otherMeetsBounds =
      pending.candidateStates[other].pauseExcess == base::Duration::zero();
  if (meetsBounds != otherMeetsBounds) return meetsBounds;
  return costOf(pending, index) < costOf(pending, other);
}

std::optional<std::size_t> Placement::candidateWithShortestWait(const Pending& pending) const {
  std::optional<std::size_t> best;
  for (std::size_t index = 0; index < pending.candidateStates.size(); ++index) {
    const auto& state = pending.candidateStates[index];
    if (state.ruledOut() || !state.wait) continue;
    if (!best || isPreferred(pending, index, *best)) best = index;
  }
  return best;
}

std::optional<base::Duration> Placement::queueWaitLimit(const Pending& pending) const {
  if (pending.queuesSeen == 0 || !isLastQuery(pending)) return std::nullopt;
  const auto best = candidateWithShortestWait(pending);
  if (!best) return std::nullopt;
  const auto margin = options_.moveMargin * static_cast<base::Duration::rep>(pending.position);
  return costOf(pending, *best) - margin;
}

void Placement::joinQueue(Ticket ticket) {
  auto& pending = pending_.at(ticket);
  const auto best = candidateWithShortestWait(pending);
  if (!best) {
    ++counters_.declined;
    conclude(ticket, failureOf(pending));
    return;
  }
  pending.position = *best;
  pending.phase = Phase::kJoining;
  pending.maximumQueueWait = base::Duration::max();
  sendQuery(ticket);
}

void Placement::sendQuery(Ticket ticket) {
  auto& pending = pending_.at(ticket);
  const auto& facts = recordOf(pending).facts();
  const auto& home = homes_.homeOf(base::engineIdOf(facts.instance), facts.zone);
  ++pending.queriesSent;
  ++counters_.queries;
  pending.queryId = environment_.random.next();
  pending.homeId = home.id;
  pending.home = home.endpoint;
  openQueries_.insert_or_assign(pending.queryId, ticket);
  const auto query = queryOf(pending);
  if (isSelf(home.id)) {
    handleReply(ticket, home_.decide(query, {home.id, home.incarnation, home.endpoint}));
    return;
  }
  awaitReply(pending, options_.timeout, [this, ticket] { onTimeout(ticket); });
  send(home.endpoint, query);
}

void Placement::awaitReply(Pending& pending, base::Duration within,
                           std::function<void()> onMissed) {
  pending.replyDue = environment_.clock.now() + within;
  pending.timer = environment_.timers.schedule(within, std::move(onMissed));
}

// --- progress of placed requests

PlacementGrant Placement::dispatchUngranted(const PlacementCandidate& candidate,
                                            base::Duration maximumPause) {
  const auto& facts = candidate.record->facts();
  const auto replica = base::engineIdOf(facts.instance);
  const auto& home = homes_.homeOf(replica, facts.zone);
  const UngrantedDispatch dispatch{environment_.random.next(), replica, candidate.work,
                                   maximumPause};
  if (isSelf(home.id)) {
    home_.onUngrantedDispatch(dispatch);
  } else {
    send(home.endpoint, dispatch);
  }
  return {dispatch.id, replica, home.id, home.endpoint, false, environment_.clock.now()};
}

void Placement::countControlCall(const ReplicaRecord& replica) {
  const auto& facts = replica.facts();
  UngrantedDispatch dispatch;
  dispatch.id = environment_.random.next();
  dispatch.replica = base::engineIdOf(facts.instance);
  dispatch.controlCall = true;
  const auto& home = homes_.homeOf(dispatch.replica, facts.zone);
  if (isSelf(home.id)) {
    home_.onUngrantedDispatch(dispatch);
  } else {
    send(home.endpoint, dispatch);
  }
}

bool Placement::isLeaving(base::EngineId replica) const {
  const auto record = environment_.replicas.find(replica);
  return record != nullptr && record->leaving();
}

void Placement::reportStarted(const PlacementGrant& grant,
                              const clients::RateLimitNotice& rateLimit,
                              const clients::RateLimitNotice& refusalLimit) {
  const PlacementStarted message{grant.id, grant.replica, isLeaving(grant.replica), rateLimit,
                                 refusalLimit};
  if (isSelf(grant.homeId)) {
    home_.onStarted(message);
  } else {
    send(grant.home, message);
  }
}

void Placement::reportEnded(const PlacementGrant& grant, PlacementOutcome outcome,
                            const StreamObservation& observed,
                            const clients::RateLimitNotice& rateLimit,
                            const clients::RateLimitNotice& refusalLimit) {
  sendEnded(grant, {grant.id, grant.replica, outcome, observed, isLeaving(grant.replica), rateLimit,
                    false, refusalLimit});
}

void Placement::returnGrant(const PlacementGrant& grant, PlacementOutcome outcome) {
  sendEnded(grant, {grant.id, grant.replica, outcome, {}, isLeaving(grant.replica), {}, true, {}});
}

void Placement::sendEnded(const PlacementGrant& grant, const PlacementEnded& message) {
  if (isSelf(grant.homeId)) {
    home_.onEnded(message, grant.homeId);
  } else {
    send(grant.home, message);
  }
}

void Placement::sendReply(const base::PeerIdentity& sender, const PlacementReply& reply) {
  if (!isSelf(sender.node)) {
    send(sender.endpoint, reply);
    return;
  }
  if (repliesToSelf_.empty())
    toSelfTimer_ =
        environment_.timers.schedule(base::Duration::zero(), [this] { deliverToSelf(); });
  repliesToSelf_.push_back(reply);
}

void Placement::deliverToSelf() {
  const auto& self = environment_.members.self();
  for (const auto& reply : std::exchange(repliesToSelf_, {}))
    onReply({self.id, self.incarnation, self.endpoint}, reply);
}

void Placement::onPeerMessage(const base::PeerIdentity& sender, std::string_view payload) {
  const auto message = decodePlacementMessage(payload);
  if (!message) {
    environment_.log.write(base::Event::kMessageRejected, {{"channel", "placement"}});
    return;
  }
  if (const auto* query = std::get_if<PlacementQuery>(&*message))
    send(sender.endpoint, home_.decide(*query, sender));
  if (const auto* reply = std::get_if<PlacementReply>(&*message)) onReply(sender, *reply);
  if (const auto* dispatch = std::get_if<UngrantedDispatch>(&*message))
    home_.onUngrantedDispatch(*dispatch);
  if (const auto* started = std::get_if<PlacementStarted>(&*message)) home_.onStarted(*started);
  if (const auto* ended = std::get_if<PlacementEnded>(&*message))
    home_.onEnded(*ended, sender.node);
}

}  // namespace covewing::routing
