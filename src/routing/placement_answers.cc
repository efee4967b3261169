// What follows from the answers of homes, and from their silence.
#include <algorithm>
#include <utility>

#include "routing/placement.h"

namespace covewing::routing {

void Placement::onAnswer(const base::PeerIdentity& sender, const PlacementReply& answer) {
  // A late answer, too, shows that the home is there.
  trust_.erase(sender.node);
  const auto question = questions_.find(answer.id);
  if (question == questions_.end()) {
    // The request went elsewhere meanwhile.
    const bool counted = answer.granted() || answer.verdict == PlacementVerdict::kQueued;
    if (counted) returnGrant({answer.id, answer.replica, sender.node, sender.endpoint});
    return;
  }
  takeAnswer(question->second, answer);
}

void Placement::learn(Pending& pending, const PlacementReply& answer) {
  ++pending.repliesReceived;
  pending.queued = answer.queued;
  const auto& record = pending.request.candidates[pending.position].record;
  if (answer.speedPercent > 0) record->recordSpeed(answer.speedPercent);
  if (answer.version > 0) record->recordVersion(pending.request.model, answer.version);
  if (answer.leaving) recordLeaving(*record, environment_.log, {kOtherNode, 0, {}});
  recordRateLimit(*record, environment_.log, evidenceOf(answer.rateLimit, environment_.clock.now()),
                  {kOtherNode, 0, {}});
  pending.rateLimited = answer.rateLimit.notice.limited();
  if (answer.granted() || answer.queued == 0 || !answer.usable) {
    queues_.erase(answer.replica);
    return;
  }
  if (pending.phase != Phase::kAsking) return;
  // Others wait there for its rate, which says nothing of the room of others.
  if (!pending.rateLimited) ++pending.queuesMet;
  queues_[answer.replica] = {answer.queued, answer.wait, answer.pauseExcess,
                             environment_.clock.now() + options_.queueKnownFor,
                             pending.rateLimited};
}

void Placement::takeAnswer(Ticket ticket, const PlacementReply& answer) {
  auto& pending = pending_.at(ticket);
  environment_.timers.cancel(pending.timer);
  learn(pending, answer);
  switch (answer.verdict) {
    case PlacementVerdict::kQueued:
      onQueued(ticket, answer);
      return;
    case PlacementVerdict::kGranted:
      concludeGranted(ticket, answer);
      return;
    case PlacementVerdict::kDeclined:
      onDeclined(ticket, answer);
      return;
    case PlacementVerdict::kRefused:
      onRefused(ticket, answer);
      return;
  }
}

void Placement::onRefused(Ticket ticket, const PlacementReply& answer) {
  // Only a home with the shortest wait known is asked to queue a request, so that none serves it.
  ++counters_.refused;
  auto result = resultOf(pending_.at(ticket));
  result.retryAfter = answer.retryAfter;
  conclude(ticket, result);
}

void Placement::onQueued(Ticket ticket, const PlacementReply& answer) {
  auto& pending = pending_.at(ticket);
  if (pending.phase != Phase::kQueued) ++counters_.queued;
  pending.phase = Phase::kQueued;
  awaitAnswer(pending, answer.within + options_.promiseMargin,
              [this, ticket] { onPromiseMissed(ticket); });
}

void Placement::onDeclined(Ticket ticket, const PlacementReply& answer) {
  auto& pending = pending_.at(ticket);
  questions_.erase(pending.question);
  if (pending.phase != Phase::kAsking || !answer.usable) {
    leaveCandidate(ticket);
    return;
  }
  pending.prospects[pending.position].wait = answer.wait;
  pending.prospects[pending.position].pauseExcess = answer.pauseExcess;
  ++pending.position;
  askOn(ticket);
}

void Placement::onTimeout(Ticket ticket) {
  auto& pending = pending_.at(ticket);
  ++counters_.timeouts;
  distrustHome(pending);
  ++pending.timeouts;
  closeQuestion(pending);
  leaveCandidate(ticket);
}

void Placement::distrustHome(const Pending& pending) {
  auto& trust = trust_[pending.homeId];
  if (++trust.timeouts >= options_.timeoutsToAvoid)
    trust.avoidedUntil = environment_.clock.now() + options_.avoidFor;
}

void Placement::onPromiseMissed(Ticket ticket) {
  auto& pending = pending_.at(ticket);
  ++counters_.queueUpdatesMissed;
  distrustHome(pending);
  closeQuestion(pending);
  leaveCandidate(ticket);
}

void Placement::leaveCandidate(Ticket ticket) {
  auto& pending = pending_.at(ticket);
  pending.prospects[pending.position] = {std::nullopt, {}, true};
  // What the homes told before it waited in a queue is out of date.
  if (pending.phase != Phase::kAsking) {
    for (auto& prospect : pending.prospects) prospect.wait.reset();
    pending.phase = Phase::kAsking;
    pending.queuesMet = 0;
    pending.position = 0;
  } else {
    ++pending.position;
  }
  askOn(ticket);
}

PlacementResult Placement::resultOf(const Pending& pending) const {
  PlacementResult result;
  result.queued = pending.queued;
  result.rateLimited = pending.rateLimited;
  result.queriesSent = pending.queriesSent;
  result.repliesReceived = pending.repliesReceived;
  return result;
}

void Placement::conclude(Ticket ticket, const PlacementResult& result) {
  const auto pending = std::move(pending_.extract(ticket).mapped());
  questions_.erase(pending.question);
  pending.found(result);
}

PlacementGrant Placement::grantOf(const Pending& pending) const {
  return {pending.question, base::engineIdOf(recordOf(pending).facts().instance), pending.homeId,
          pending.home};
}

void Placement::concludeGranted(Ticket ticket, const PlacementReply& answer) {
  const auto& pending = pending_.at(ticket);
  ++counters_.granted;
  auto result = resultOf(pending);
  result.candidate = pending.position;
  result.grant = grantOf(pending);
  result.grant->paced = answer.paced;
  const auto now = environment_.clock.now();
  result.grant->at = isSelf(pending.homeId) ? now : std::min(now, pending.answerDue);
  result.matchedTokens = answer.matchedTokens;
  result.wait = answer.wait;
  conclude(ticket, result);
}

}  // namespace covewing::routing
