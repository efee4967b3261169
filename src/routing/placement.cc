#include "routing/placement.h"

#include <algorithm>
#include <utility>

namespace covewing::routing {

namespace {

/// The shared parts as a chain; the request's own part does not matter here.
prefix::PartChain chainOf(std::vector<prefix::PromptPart> parts) {
  parts.push_back({});
  return prefix::PartChain(std::move(parts));
}

}  // namespace

Placement::Placement(PlacementOptions options, PlacementEnvironment environment)
    : options_(options), environment_(environment), homes_(environment.members) {}

Placement::~Placement() {
  for (const auto& [id, pending] : pending_) environment_.timers.cancel(pending.timer);
}

bool Placement::isSelf(base::NodeId node) const { return node == environment_.members.self().id; }

void Placement::send(const base::Endpoint& destination, const PlacementMessage& message) {
  environment_.peers.send(destination, base::Channel::kPlacement, encode(message));
}

// --- the asking side

void Placement::ask(PlacementRequest request, Found found) {
  Pending pending;
  pending.request = std::move(request);
  pending.found = std::move(found);
  askOn(environment_.random.next(), std::move(pending));
}

bool Placement::avoided(base::NodeId home) const {
  const auto known = trust_.find(home);
  return known != trust_.end() && environment_.clock.now() < known->second.avoidedUntil;
}

PlacementQuestion Placement::questionOf(std::uint64_t id, const Pending& pending) const {
  const auto& candidate = pending.request.candidates[pending.position];
  PlacementQuestion question;
  question.id = id;
  question.replica = base::engineIdOf(candidate.record->facts().instance);
  question.model = pending.request.model;
  question.scope = candidate.scope;
  question.parts = pending.request.parts;
  question.promptTokens = pending.request.promptTokens;
  question.work = candidate.work;
  question.patience = pending.request.patience;
  question.terms = pending.request.terms;
  return question;
}

void Placement::askOn(std::uint64_t id, Pending pending) {
  for (; pending.position < pending.request.candidates.size(); ++pending.position) {
    if (pending.timeouts >= options_.mostTimeouts) break;
    const auto& facts = pending.request.candidates[pending.position].record->facts();
    const auto& home = homes_.homeOf(base::engineIdOf(facts.instance), facts.zone);
    if (avoided(home.id)) continue;
    ++pending.asked;
    ++counters_.questions;
    pending.homeId = home.id;
    pending.home = home.endpoint;
    const auto question = questionOf(id, pending);
    if (!isSelf(home.id)) {
      pending.timer = environment_.timers.schedule(options_.timeout, [this, id] { onTimeout(id); });
      pending_.insert_or_assign(id, std::move(pending));
      send(home.endpoint, question);
      return;
    }
    const auto answer = answerTo(question);
    if (consider(pending, answer, options_.moveMargin)) {
      conclude(id, pending, answer);
      return;
    }
  }
  concludeWithBest(pending);
}

bool Placement::consider(Pending& pending, const PlacementAnswer& answer, base::Duration margin) {
  ++pending.answered;
  if (answer.version > 0) {
    const auto& record = pending.request.candidates[pending.position].record;
    record->learnVersion(pending.request.model, answer.version);
  }
  if (answer.speedPercent > 0)
    pending.request.candidates[pending.position].record->learnSpeed(answer.speedPercent);
  if (answer.granted()) return true;
  const auto place = static_cast<base::Duration::rep>(pending.position);
  const auto cost = answer.wait + answer.pauseExcess + margin * place;
  if (!pending.shortestWait || answer.wait < *pending.shortestWait)
    pending.shortestWait = answer.wait;
  const bool soonEnough = answer.usable && answer.wait <= pending.request.longestWait;
  const Best offered{pending.position, cost, answer};
  if (soonEnough && (!pending.best || offered.before(*pending.best))) pending.best = offered;
  return false;
}

void Placement::conclude(std::uint64_t id, Pending& pending, const PlacementAnswer& answer) {
  ++counters_.granted;
  const auto& record = pending.request.candidates[pending.position].record;
  PlacementResult result;
  result.candidate = pending.position;
  result.grant =
      PlacementGrant{id, base::engineIdOf(record->facts().instance), pending.homeId, pending.home};
  result.matchedTokens = answer.matchedTokens;
  result.wait = answer.wait;
  result.asked = pending.asked;
  result.answered = pending.answered;
  pending.found(result);
}

void Placement::concludeWithBest(Pending& pending) {
  PlacementResult result;
  result.asked = pending.asked;
  result.answered = pending.answered;
  result.wait = pending.shortestWait;
  if (pending.best) {
    ++counters_.declined;
    result.candidate = pending.best->candidate;
    result.grant = take(pending.request.candidates[pending.best->candidate],
                        pending.request.terms.longestPause);
    result.matchedTokens = pending.best->answer.matchedTokens;
    result.wait = pending.best->answer.wait;
  }
  pending.found(result);
}

PlacementGrant Placement::take(const PlacementCandidate& candidate, base::Duration longestPause) {
  const auto& facts = candidate.record->facts();
  const auto replica = base::engineIdOf(facts.instance);
  const auto& home = homes_.homeOf(replica, facts.zone);
  const PlacementTaken taken{environment_.random.next(), replica, candidate.work, longestPause};
  if (isSelf(home.id)) {
    onTaken(taken);
  } else {
    send(home.endpoint, taken);
  }
  return {taken.id, replica, home.id, home.endpoint};
}

void Placement::begun(const PlacementGrant& grant) {
  const PlacementBegun message{grant.id, grant.replica};
  if (isSelf(grant.homeId)) {
    onBegun(message);
  } else {
    send(grant.home, message);
  }
}

void Placement::ended(const PlacementGrant& grant, PlacementOutcome outcome,
                      const StreamObservation& observed) {
  const PlacementEnded message{grant.id, grant.replica, outcome, observed};
  if (isSelf(grant.homeId)) {
    onEnded(message, grant.homeId);
  } else {
    send(grant.home, message);
  }
}

void Placement::onAnswer(const base::PeerIdentity& sender, const PlacementAnswer& answer) {
  // A late answer, too, shows that the home is there.
  trust_.erase(sender.node);
  auto entry = pending_.extract(answer.id);
  if (entry.empty()) {
    // The request went elsewhere meanwhile.
    if (answer.granted())
      send(sender.endpoint,
           PlacementEnded{answer.id, answer.replica, PlacementOutcome::kWithdrawn, {}});
    return;
  }
  auto pending = std::move(entry.mapped());
  environment_.timers.cancel(pending.timer);
  if (consider(pending, answer, options_.moveMargin)) {
    conclude(answer.id, pending, answer);
    return;
  }
  ++pending.position;
  askOn(environment_.random.next(), std::move(pending));
}

void Placement::onTimeout(std::uint64_t id) {
  auto entry = pending_.extract(id);
  if (entry.empty()) return;
  ++counters_.timeouts;
  auto pending = std::move(entry.mapped());
  auto& trust = trust_[pending.homeId];
  if (++trust.timeouts >= options_.timeoutsToAvoid)
    trust.avoidedUntil = environment_.clock.now() + options_.avoidFor;
  ++pending.timeouts;
  ++pending.position;
  askOn(environment_.random.next(), std::move(pending));
}

// --- the home's side

PlacementAnswer Placement::answerTo(const PlacementQuestion& question) {
  const auto now = environment_.clock.now();
  PlacementAnswer answer;
  answer.id = question.id;
  answer.replica = question.replica;
  const auto record = environment_.replicas.find(question.replica);
  if (record == nullptr) {
    answer.usable = false;
    return answer;
  }
  auto& ledger = ledgers_.try_emplace(question.replica, options_.ledger).first->second;
  const bool leaving = record->facts().state != ReplicaState::kReady || record->gone();
  const bool unsettled = record->changing(now) || record->versionDoubted(now);
  answer.usable =
      !leaving && !unsettled && ledger.available(now) && ledger.hasRoom(question.work, now);
  answer.version = record->versionOf(question.model);
  answer.matchedTokens =
      environment_.holders.matchedTokens(question.replica, question.scope, chainOf(question.parts));
  auto work = question.work;
  const auto matched = std::min(question.promptTokens, answer.matchedTokens);
  work.unread = std::min(work.unread, question.promptTokens - matched);
  answer.wait = ledger.expectedWait(work, now);
  answer.pauseExcess = ledger.pauseExcess(work, question.terms, now);
  answer.keepsPauses = answer.pauseExcess == base::Duration::zero();
  const bool granted = answer.usable && answer.keepsPauses && answer.wait <= question.patience;
  if (granted) answer.verdict = PlacementVerdict::kGranted;
  if (granted)
    ledger.grant(question.id, work, question.terms, {question.scope, question.parts}, now);
  answer.speedPercent = ledger.speedPercent();
  return answer;
}

void Placement::onTaken(const PlacementTaken& taken) {
  auto& ledger = ledgers_.try_emplace(taken.replica, options_.ledger).first->second;
  PlacementTerms terms;
  terms.longestPause = taken.longestPause;
  ledger.grant(taken.id, taken.work, terms, {}, environment_.clock.now());
}

void Placement::onBegun(const PlacementBegun& begun) {
  const auto ledger = ledgers_.find(begun.replica);
  if (ledger == ledgers_.end()) return;
  const auto prompt = ledger->second.begin(begun.id, environment_.clock.now());
  if (!prompt) return;
  environment_.holders.learnChain(begun.replica, prompt->scope, chainOf(prompt->parts));
}

void Placement::onEnded(const PlacementEnded& ended, base::NodeId node) {
  const auto ledger = ledgers_.find(ended.replica);
  if (ledger == ledgers_.end()) return;
  const auto record = environment_.replicas.find(ended.replica);
  const double serviceRate = record ? environment_.replicas.failureRateOfOthers(*record) : 0;
  ledger->second.end(ended, node, serviceRate, environment_.clock.now());
  if (!record && ledger->second.idle()) ledgers_.erase(ledger);
}

void Placement::onPeerMessage(const base::PeerIdentity& sender, std::string_view payload) {
  const auto message = decodePlacementMessage(payload);
  if (!message) {
    environment_.log.write(base::Event::kMessageRejected, {{"channel", "placement"}});
    return;
  }
  if (const auto* question = std::get_if<PlacementQuestion>(&*message))
    send(sender.endpoint, answerTo(*question));
  if (const auto* answer = std::get_if<PlacementAnswer>(&*message)) onAnswer(sender, *answer);
  if (const auto* taken = std::get_if<PlacementTaken>(&*message)) onTaken(*taken);
  if (const auto* begun = std::get_if<PlacementBegun>(&*message)) onBegun(*begun);
  if (const auto* ended = std::get_if<PlacementEnded>(&*message)) onEnded(*ended, sender.node);
}

}  // namespace covewing::routing
