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
            [this](const auto& asker, const auto& answer) { reply(asker, answer); }) {}

Placement::~Placement() {
  for (auto& [ticket, pending] : pending_) closeQuestion(pending);
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

// --- asking

void Placement::place(Ticket ticket, PlacementRequest request, Found found) {
  Pending pending;
  pending.prospects.resize(request.candidates.size());
  pending.request = std::move(request);
  pending.found = std::move(found);
  pending_.insert_or_assign(ticket, std::move(pending));
  askOn(ticket);
}

void Placement::cancel(Ticket ticket) {
  auto entry = pending_.extract(ticket);
  if (!entry.empty()) closeQuestion(entry.mapped());
}

void Placement::closeQuestion(Pending& pending) {
  environment_.timers.cancel(pending.timer);
  if (questions_.erase(pending.question) == 0) return;
  // A grant that is under way is withdrawn as well.
  if (pending.queueWithin) returnGrant(grantOf(pending));
}

const ReplicaRecord& Placement::recordOf(const Pending& pending) const {
  return *pending.request.candidates[pending.position].record;
}

bool Placement::avoided(base::NodeId home) const {
  const auto known = trust_.find(home);
  return known != trust_.end() && environment_.clock.now() < known->second.avoidedUntil;
}

PlacementQuery Placement::questionOf(const Pending& pending) const {
  const auto now = environment_.clock.now();
  const auto& request = pending.request;
  const auto& constraints = request.constraints;
  const auto& candidate = request.candidates[pending.position];
  PlacementQuery question;
  question.id = pending.question;
  question.replica = base::engineIdOf(candidate.record->facts().instance);
  question.model = request.model;
  question.scope = candidate.scope;
  question.parts = request.parts;
  question.promptTokens = request.promptTokens;
  question.work = candidate.work;
  question.acceptableWait = request.acceptableWait;
  question.terms.mayQueue = pending.queueWithin.has_value();
  question.queueWithin = pending.queueWithin.value_or(base::Duration::max());
  question.terms.urgency = constraints.urgency;
  question.terms.tenant = constraints.tenant;
  question.terms.age = now - constraints.arrivedAt;
  question.terms.softStartWithin = constraints.softStartDeadline - candidate.prefillTime - now;
  question.terms.hardStartWithin = constraints.hardStartDeadline - candidate.prefillTime - now;
  question.terms.longestPause = constraints.longestPause;
  question.terms.outputTokens = constraints.outputTokens;
  question.rateLimit = candidate.record->notices().rateLimit().known(now);
  return question;
}

bool Placement::enoughQueuesMet(const Pending& pending) const {
  return pending.queuesMet >= options_.queuesToJoin;
}

bool Placement::shouldAsk(Pending& pending) {
  auto& prospect = pending.prospects[pending.position];
  if (prospect.out) return false;
  const auto& facts = recordOf(pending).facts();
  const auto replica = base::engineIdOf(facts.instance);
  if (avoided(homes_.homeOf(replica, facts.zone).id)) return false;
  const auto known = queues_.find(replica);
  if (known == queues_.end()) return true;
  if (environment_.clock.now() >= known->second.until) {
    queues_.erase(known);
    return true;
  }
  prospect.wait = known->second.wait;
  prospect.pauseExcess = known->second.pauseExcess;
  pending.queued = known->second.length;
  if (!known->second.rateLimited) ++pending.queuesMet;
  return false;
}

void Placement::askOn(Ticket ticket) {
  auto& pending = pending_.at(ticket);
  for (; pending.position < pending.request.candidates.size(); ++pending.position) {
    if (pending.timeouts >= options_.mostTimeouts || enoughQueuesMet(pending)) break;
    if (!shouldAsk(pending)) continue;
    pending.queueWithin = mayQueueWithin(pending);
    sendQuestion(ticket);
    return;
  }
  join(ticket);
}

base::Duration Placement::costOf(const Pending& pending, std::size_t place) const {
  return *pending.prospects[place].wait + pending.prospects[place].pauseExcess +
         options_.moveMargin * static_cast<base::Duration::rep>(place);
}

bool Placement::goesBefore(const Pending& pending, std::size_t place, std::size_t other) const {
  const bool keepsPauses = pending.prospects[place].pauseExcess == base::Duration::zero();
  const bool otherKeeps = pending.prospects[other].pauseExcess == base::Duration::zero();
  if (keepsPauses != otherKeeps) return keepsPauses;
  return costOf(pending, place) < costOf(pending, other);
}

std::optional<std::size_t> Placement::shortestWait(const Pending& pending) const {
  std::optional<std::size_t> best;
  for (std::size_t place = 0; place < pending.prospects.size(); ++place) {
    const auto& prospect = pending.prospects[place];
    if (prospect.out || !prospect.wait) continue;
    if (!best || goesBefore(pending, place, *best)) best = place;
  }
  return best;
}

std::optional<base::Duration> Placement::mayQueueWithin(const Pending& pending) const {
  if (pending.queuesMet == 0 || pending.queuesMet + 1 < options_.queuesToJoin) return std::nullopt;
  const auto best = shortestWait(pending);
  if (!best) return std::nullopt;
  const auto margin = options_.moveMargin * static_cast<base::Duration::rep>(pending.position);
  return costOf(pending, *best) - margin;
}

void Placement::join(Ticket ticket) {
  auto& pending = pending_.at(ticket);
  const auto best = shortestWait(pending);
  if (!best) {
    ++counters_.declined;
    conclude(ticket, resultOf(pending));
    return;
  }
  pending.position = *best;
  pending.phase = Phase::kJoining;
  pending.queueWithin = base::Duration::max();
  sendQuestion(ticket);
}

void Placement::sendQuestion(Ticket ticket) {
  auto& pending = pending_.at(ticket);
  const auto& facts = recordOf(pending).facts();
  const auto& home = homes_.homeOf(base::engineIdOf(facts.instance), facts.zone);
  ++pending.queriesSent;
  ++counters_.queries;
  pending.question = environment_.random.next();
  pending.homeId = home.id;
  pending.home = home.endpoint;
  questions_.insert_or_assign(pending.question, ticket);
  const auto question = questionOf(pending);
  if (isSelf(home.id)) {
    takeAnswer(ticket, home_.answerTo(question, {home.id, home.incarnation, home.endpoint}));
    return;
  }
  awaitAnswer(pending, options_.timeout, [this, ticket] { onTimeout(ticket); });
  send(home.endpoint, question);
}

void Placement::awaitAnswer(Pending& pending, base::Duration within,
                            std::function<void()> onMissed) {
  pending.answerDue = environment_.clock.now() + within;
  pending.timer = environment_.timers.schedule(within, std::move(onMissed));
}

// --- what becomes of requests

PlacementGrant Placement::dispatchUngranted(const PlacementCandidate& candidate,
                                            base::Duration longestPause) {
  const auto& facts = candidate.record->facts();
  const auto replica = base::engineIdOf(facts.instance);
  const auto& home = homes_.homeOf(replica, facts.zone);
  const UngrantedDispatch taken{environment_.random.next(), replica, candidate.work, longestPause};
  if (isSelf(home.id)) {
    home_.onTaken(taken);
  } else {
    send(home.endpoint, taken);
  }
  return {taken.id, replica, home.id, home.endpoint, false, environment_.clock.now()};
}

void Placement::countControlCall(const ReplicaRecord& replica) {
  const auto& facts = replica.facts();
  UngrantedDispatch taken;
  taken.id = environment_.random.next();
  taken.replica = base::engineIdOf(facts.instance);
  taken.call = true;
  const auto& home = homes_.homeOf(taken.replica, facts.zone);
  if (isSelf(home.id)) {
    home_.onTaken(taken);
  } else {
    send(home.endpoint, taken);
  }
}

bool Placement::leaves(base::EngineId replica) const {
  const auto record = environment_.replicas.find(replica);
  return record != nullptr && record->leaving();
}

void Placement::reportStarted(const PlacementGrant& grant, const clients::RateLimitNotice& said) {
  const PlacementStarted message{grant.id, grant.replica, leaves(grant.replica), said};
  if (isSelf(grant.homeId)) {
    home_.onBegun(message);
  } else {
    send(grant.home, message);
  }
}

void Placement::reportEnded(const PlacementGrant& grant, PlacementOutcome outcome,
                            const StreamObservation& observed,
                            const clients::RateLimitNotice& said) {
  tell(grant, {grant.id, grant.replica, outcome, observed, leaves(grant.replica), said, false});
}

void Placement::returnGrant(const PlacementGrant& grant, PlacementOutcome outcome) {
  tell(grant, {grant.id, grant.replica, outcome, {}, leaves(grant.replica), {}, true});
}

void Placement::tell(const PlacementGrant& grant, const PlacementEnded& message) {
  if (isSelf(grant.homeId)) {
    home_.onEnded(message, grant.homeId);
  } else {
    send(grant.home, message);
  }
}

void Placement::reply(const base::PeerIdentity& asker, const PlacementReply& answer) {
  if (!isSelf(asker.node)) {
    send(asker.endpoint, answer);
    return;
  }
  if (toSelf_.empty())
    toSelfTimer_ =
        environment_.timers.schedule(base::Duration::zero(), [this] { deliverToSelf(); });
  toSelf_.push_back(answer);
}

void Placement::deliverToSelf() {
  const auto& self = environment_.members.self();
  for (const auto& answer : std::exchange(toSelf_, {}))
    onAnswer({self.id, self.incarnation, self.endpoint}, answer);
}

void Placement::onPeerMessage(const base::PeerIdentity& sender, std::string_view payload) {
  const auto message = decodePlacementMessage(payload);
  if (!message) {
    environment_.log.write(base::Event::kMessageRejected, {{"channel", "placement"}});
    return;
  }
  if (const auto* question = std::get_if<PlacementQuery>(&*message))
    send(sender.endpoint, home_.answerTo(*question, sender));
  if (const auto* answer = std::get_if<PlacementReply>(&*message)) onAnswer(sender, *answer);
  if (const auto* taken = std::get_if<UngrantedDispatch>(&*message)) home_.onTaken(*taken);
  if (const auto* begun = std::get_if<PlacementStarted>(&*message)) home_.onBegun(*begun);
  if (const auto* ended = std::get_if<PlacementEnded>(&*message))
    home_.onEnded(*ended, sender.node);
}

}  // namespace covewing::routing
