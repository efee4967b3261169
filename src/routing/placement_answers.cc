// Handling of the replies of homes, and of missing replies.
#include <algorithm>
#include <utility>

#include "routing/placement.h"

namespace covewing::routing {

void Placement::onReply(const base::PeerIdentity& sender, const PlacementReply& reply) {
  // A late reply, too, shows that the home is alive.
  homeReliability_.erase(sender.node);
  const auto query = openQueries_.find(reply.id);
  if (query == openQueries_.end()) {
    // The request has been placed elsewhere or cancelled in the meantime.
    const bool counted = reply.granted() || reply.verdict == PlacementVerdict::kQueued;
    if (counted) returnGrant({reply.id, reply.replica, sender.node, sender.endpoint});
    return;
  }
  handleReply(query->second, reply);
}

void Placement::recordReply(Pending& pending, const PlacementReply& reply) {
  ++pending.repliesReceived;
  pending.queued = reply.queued;
  const auto& record = pending.request.candidates[pending.position].record;
  if (reply.speedPercent > 0) record->recordSpeed(reply.speedPercent);
  if (reply.version > 0) record->recordVersion(pending.request.model, reply.version);
  if (reply.leaving) recordLeaving(*record, environment_.log, {kOtherNode, 0, {}});
  recordRateLimit(*record, environment_.log, evidenceOf(reply.rateLimit, environment_.clock.now()),
                  {kOtherNode, 0, {}});
  pending.rateLimited = reply.rateLimit.notice.limited();
  const bool usedUp = pending.rateLimited && reply.wait > base::Duration::zero();
  if (reply.granted() || !reply.usable || (reply.queued == 0 && !usedUp)) {
    queues_.erase(reply.replica);
    return;
  }
  if (pending.phase != Phase::kQuerying) return;
  // The wait there is due to the rate limit and says nothing about the capacity of other replicas.
  if (!pending.rateLimited) ++pending.queuesSeen;
  const auto assumedFor =
      reply.queued == 0 ? std::min(reply.wait, options_.queueAssumedFor) : options_.queueAssumedFor;
  queues_[reply.replica] = {reply.queued, reply.wait, reply.pauseExcess,
                            environment_.clock.now() + assumedFor, pending.rateLimited};
}

void Placement::handleReply(Ticket ticket, const PlacementReply& reply) {
  auto& pending = pending_.at(ticket);
  environment_.timers.cancel(pending.timer);
  recordReply(pending, reply);
  switch (reply.verdict) {
    case PlacementVerdict::kQueued:
      onQueued(ticket, reply);
      return;
    case PlacementVerdict::kGranted:
      concludeGranted(ticket, reply);
      return;
    case PlacementVerdict::kDeclined:
      onDeclined(ticket, reply);
      return;
    case PlacementVerdict::kRefused:
      onRefused(ticket, reply);
      return;
  }
}

void Placement::onRefused(Ticket ticket, const PlacementReply& reply) {
  // Only the home with the shortest known wait is asked to queue a request, so no other home can
  // serve it either.
  ++counters_.refused;
  auto result = failureOf(pending_.at(ticket));
  result.retryAfter = reply.retryAfter;
  conclude(ticket, result);
}

void Placement::onQueued(Ticket ticket, const PlacementReply& reply) {
  auto& pending = pending_.at(ticket);
  if (pending.phase != Phase::kQueued) ++counters_.queued;
  pending.phase = Phase::kQueued;
  awaitReply(pending, reply.nextUpdateWithin + options_.updateMargin,
             [this, ticket] { onUpdateMissed(ticket); });
}

void Placement::onDeclined(Ticket ticket, const PlacementReply& reply) {
  auto& pending = pending_.at(ticket);
  openQueries_.erase(pending.queryId);
  if (pending.phase != Phase::kQuerying || !reply.usable) {
    ruleOutCandidate(ticket);
    return;
  }
  pending.candidateStates[pending.position] = {CandidateKnowledge::kReplied, reply.wait,
                                               reply.pauseExcess};
  ++pending.position;
  queryNext(ticket);
}

void Placement::onTimeout(Ticket ticket) {
  auto& pending = pending_.at(ticket);
  ++counters_.timeouts;
  recordMissedReply(pending);
  ++pending.timeouts;
  closeQuery(pending);
  ruleOutCandidate(ticket);
}

void Placement::recordMissedReply(const Pending& pending) {
  auto& reliability = homeReliability_[pending.homeId];
  if (++reliability.timeouts >= options_.timeoutsToAvoid)
    reliability.avoidedUntil = environment_.clock.now() + options_.avoidFor;
}

void Placement::onUpdateMissed(Ticket ticket) {
  auto& pending = pending_.at(ticket);
  ++counters_.queueUpdatesMissed;
  recordMissedReply(pending);
  closeQuery(pending);
  ruleOutCandidate(ticket);
}

void Placement::ruleOutCandidate(Ticket ticket) {
  auto& pending = pending_.at(ticket);
  pending.candidateStates[pending.position] = {CandidateKnowledge::kRuledOut, std::nullopt, {}};
  // Replies received before the request was queued are out of date.
  if (pending.phase != Phase::kQuerying) {
    for (auto& state : pending.candidateStates) state.wait.reset();
    pending.phase = Phase::kQuerying;
    pending.queuesSeen = 0;
    pending.homesQueried = 0;
    pending.alternatesQueried = 0;
    pending.position = 0;
  } else {
    ++pending.position;
  }
  queryNext(ticket);
}

PlacementResult Placement::resultOf(const Pending& pending) const {
  PlacementResult result;
  result.queued = pending.queued;
  result.rateLimited = pending.rateLimited;
  result.queriesSent = pending.queriesSent;
  result.repliesReceived = pending.repliesReceived;
  return result;
}

PlacementResult Placement::failureOf(const Pending& pending) const {
  auto result = resultOf(pending);
  for (std::size_t index = 0; index < pending.candidateStates.size(); ++index) {
    const auto& state = pending.candidateStates[index];
    result.candidates.push_back(
        {pending.request.candidates[index].record->facts().instance, state.knowledge, state.wait});
  }
  return result;
}

void Placement::conclude(Ticket ticket, const PlacementResult& result) {
  const auto pending = std::move(pending_.extract(ticket).mapped());
  openQueries_.erase(pending.queryId);
  pending.found(result);
}

PlacementGrant Placement::grantOf(const Pending& pending) const {
  return {pending.queryId, base::engineIdOf(recordOf(pending).facts().instance), pending.homeId,
          pending.home};
}

void Placement::concludeGranted(Ticket ticket, const PlacementReply& reply) {
  const auto& pending = pending_.at(ticket);
  ++counters_.granted;
  auto result = resultOf(pending);
  result.candidate = pending.position;
  result.grant = grantOf(pending);
  result.grant->paced = reply.paced;
  const auto now = environment_.clock.now();
  result.grant->at = isSelf(pending.homeId) ? now : std::min(now, pending.replyDue);
  result.matchedTokens = reply.matchedTokens;
  result.wait = reply.wait;
  conclude(ticket, result);
}

}  // namespace covewing::routing
