// RelayFlow: communication with other nodes, namely the home nodes of shared prompt parts and the
// home nodes of candidate replicas.
#include <algorithm>

#include "request/relay_flow.h"

namespace covewing::request {

bool RelayFlow::shouldLookUpHolders(const routing::ReplicaDecision& decision) const {
  if (holdersLookedUp_ || !decision.replica || !incoming_.prompt) return false;
  if (!knowsAllCaches())
    return incoming_.prompt->chain.sharedTokens() >= options_.minimumLookupTokens;
  return sharedPrefillTokens(decision) >= options_.minimumLookupTokens;
}

bool RelayFlow::knowsAllCaches() const {
  const auto& engine = assignment_.service->engine;
  return engine && hooks_.nodes() <= engine->eventWatchers;
}

std::uint32_t RelayFlow::sharedPrefillTokens(const routing::ReplicaDecision& decision) const {
  const auto shared = incoming_.prompt->chain.sharedTokens();
  return shared - std::min(shared, decision.heldTokens());
}

std::vector<std::size_t> RelayFlow::partsToLookUp(routing::CacheScope scope) const {
  const auto& chain = incoming_.prompt->chain;
  std::vector<std::size_t> indexes{chain.sharedParts() - 1};
  const auto& first = chain.parts().front();
  const bool worthLookingUp = indexes.front() > 0 && first.tokens >= options_.minimumLookupTokens;
  const bool known = knowsAllCaches() && dependencies_.holders.anyHolds(scope, first.id);
  if (worthLookingUp && !known) indexes.push_back(0);
  return indexes;
}

void RelayFlow::lookUpHolders(routing::CacheScope scope) {
  const auto self = shared_from_this();
  holdersLookedUp_ = true;
  const auto indexes = partsToLookUp(scope);
  pendingLookups_ = indexes.size();
  for (const auto index : indexes) {
    dependencies_.parts.lookup(incoming_.prompt->chain.parts()[index].id, scope,
                               [weak = weak_from_this(), scope, index](const auto& holders) {
                                 const auto flow = weak.lock();
                                 if (!flow) return;
                                 if (holders) flow->foundHolders_.push_back({index, *holders});
                                 if (--flow->pendingLookups_ > 0) return;
                                 flow->recordHolders(scope);
                                 flow->choose();
                               });
  }
}

void RelayFlow::recordHolders(routing::CacheScope scope) {
  const auto& parts = incoming_.prompt->chain.parts();
  auto& known = dependencies_.holders;
  // Home nodes are notified when replicas evict parts. What this node has recorded about the caches
  // may be older.
  if (!knowsAllCaches()) {
    for (const auto& found : foundHolders_) known.removePart(scope, parts[found.part].id);
  }
  for (const auto& found : foundHolders_) {
    std::size_t usableHolders = 0;
    // Parts cached for another version of the weights or for in another partition cannot be
    // used.
    for (const auto& holder : found.holders) {
      if (holder.scope != scope) continue;
      ++usableHolders;
      for (std::size_t partIndex = 0; partIndex <= found.part; ++partIndex)
        known.add(holder.replica, scope, parts[partIndex].id, parts[partIndex].tokens);
    }
    if (found.part == 0) firstPartHasFewHolders_ = usableHolders < options_.sufficientHolders;
  }
  foundHolders_.clear();
}

void RelayFlow::publishHolder(const routing::ReplicaDecision& decision) {
  if (!incoming_.prompt || incoming_.prompt->chain.sharedTokens() < options_.minimumLookupTokens)
    return;
  const routing::PartHolder holder{base::engineIdOf(decision.replica->facts().instance),
                                   decision.scope};
  const auto& chain = incoming_.prompt->chain;
  dependencies_.parts.announce(*chain.deepestShared(), holder);
  if (firstPartHasFewHolders_ && chain.sharedParts() > 1)
    dependencies_.parts.announce(chain.parts().front().id, holder);
}

void RelayFlow::requestPlacement(const routing::ReplicaDecision& decision) {
  const auto replicaQuery = query();
  routing::PlacementRequest request;
  request.promptTokens = promptTokens();
  if (replicaQuery.withPrompt()) {
    const auto& parts = incoming_.prompt->chain.parts();
    request.model = replicaQuery.model;
    request.parts.assign(parts.begin(), parts.end() - 1);
    request.acceptableWait = acceptableWait();
  }
  request.constraints = placementConstraints();
  request.alternates = decision.alternates;
  for (const auto& replica : decision.preferenceOrder) {
    request.candidates.push_back(dependencies_.replicaSelector.candidateOf(
        replicaQuery, replica, request.promptTokens, decision.heldTokens()));
    auto& candidate = request.candidates.back();
    candidate.prefillTime = replica->prefillSpeed().time(candidate.work.prefillTokens);
  }
  placementTicket_ = dependencies_.placement.newTicket();
  dependencies_.placement.place(placementTicket_, std::move(request),
                                [weak = weak_from_this(), candidates = decision.preferenceOrder,
                                 &placement = dependencies_.placement](const auto& result) {
                                  const auto flow = weak.lock();
                                  if (flow && !flow->ended_) {
                                    flow->onPlaced(candidates, result);
                                  } else if (result.grant) {
                                    placement.returnGrant(*result.grant);
                                  }
                                });
}

base::Duration RelayFlow::acceptableWait() const {
  const bool longPrompt = incoming_.prompt->chain.sharedTokens() >= options_.minimumLookupTokens;
  const double share =
      longPrompt ? options_.longPromptAcceptableWaitShare : options_.acceptableWaitShare;
  return std::chrono::duration_cast<base::Duration>(assignment_.route->targetLatency * share);
}

routing::PlacementConstraints RelayFlow::placementConstraints() const {
  const auto& route = *assignment_.route;
  routing::PlacementConstraints constraints;
  constraints.urgency = urgency();
  constraints.tenant = assignment_.tenant == nullptr ? 0 : base::hashName(assignment_.tenant->name);
  constraints.arrivedAt = incoming_.arrivedAt;
  constraints.softStartDeadline = incoming_.arrivedAt + route.targetLatency;
  constraints.hardStartDeadline = hardStartDeadline_;
  constraints.maximumPause = route.gapTarget;
  constraints.outputTokens = expectedOutputTokens();
  if (headDelivered_) {
    // A resumed stream is late already, because its caller is waiting for the next event.
    constraints.softStartDeadline = dependencies_.clock.now() + route.targetLatency;
    constraints.hardStartDeadline = std::min(deadline_, latestDispatch_.value_or(deadline_));
  }
  constraints.softStartDeadline =
      std::min(constraints.softStartDeadline, constraints.hardStartDeadline);
  return constraints;
}

void RelayFlow::onPlacementFailed(const Candidates& candidates,
                                  const routing::PlacementResult& result) {
  lastCandidates_ = result.candidates;
  if (result.retryAfter) {
    refuseUnplaced(result.rateLimited
                       ? "it cannot be served in time by what the replicas take a second"
                       : "it cannot be served in time by what waits before it",
                   *result.retryAfter);
    return;
  }
  if (result.repliesReceived == 0) {
    nextPlacementAt_ = dependencies_.clock.now() + options_.placementRetryInterval;
    choose();
    return;
  }
  for (const auto& candidate : candidates) skippedReplicas_.push_back(candidate->facts().instance);
  if (skippedReplicas_.size() < options_.maximumSkippedReplicas) {
    choose();
    return;
  }
  skippedReplicas_.clear();
  hold("no replica that was asked for may take requests", options_.placementRetryInterval);
}

void RelayFlow::onPlaced(const Candidates& candidates, const routing::PlacementResult& result) {
  const auto now = dependencies_.clock.now();
  placementTicket_ = 0;
  queuedAtHome_ = result.queued;
  if (!result.candidate) {
    onPlacementFailed(candidates, result);
    return;
  }
  const auto release = [&] { dependencies_.placement.returnGrant(*result.grant); };
  if (!verifyDispatchAllowed()) {
    release();
    return;
  }
  auto decision = dependencies_.replicaSelector.decide(query(), candidates[*result.candidate],
                                                       result.matchedTokens, now);
  if (!decision) {
    // The replica began to leave or to change its weights while its home node was queried.
    release();
    choose();
    return;
  }
  decision->rank = *result.candidate;
  decision->homesAsked = result.queriesSent;
  decision->expectedWait = result.wait;
  dispatch(std::move(*decision), *result.grant);
}

}  // namespace covewing::request
