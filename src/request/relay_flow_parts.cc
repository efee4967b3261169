// What a request asks and tells other nodes: the home of its prompt's deepest shared part, and the
// homes of the replicas that it could go to.
#include <algorithm>

#include "request/relay_flow.h"

namespace covewing::request {

bool RelayFlow::shouldLookUp(const routing::ReplicaDecision& decision) const {
  if (lookedUp_ || !decision.replica || !arrival_.prompt) return false;
  if (!knowsAllCaches())
    return arrival_.prompt->chain.sharedTokens() >= options_.minimumLookupTokens;
  return unreadSharedTokens(decision) >= options_.minimumLookupTokens;
}

bool RelayFlow::knowsAllCaches() const {
  const auto& engine = assignment_.service->engine;
  return engine && hooks_.nodes() <= engine->eventWatchers;
}

std::uint32_t RelayFlow::unreadSharedTokens(const routing::ReplicaDecision& decision) const {
  const auto shared = arrival_.prompt->chain.sharedTokens();
  return shared - std::min(shared, decision.heldTokens());
}

std::vector<std::size_t> RelayFlow::partsToAskFor(routing::CacheScope scope) const {
  const auto& chain = arrival_.prompt->chain;
  std::vector<std::size_t> wanted{chain.sharedParts() - 1};
  const auto& first = chain.parts().front();
  const bool worthAsking = wanted.front() > 0 && first.tokens >= options_.minimumLookupTokens;
  const bool known = knowsAllCaches() && dependencies_.holders.anyHolds(scope, first.id);
  if (worthAsking && !known) wanted.push_back(0);
  return wanted;
}

void RelayFlow::lookUp(routing::CacheScope scope) {
  const auto self = shared_from_this();
  lookedUp_ = true;
  const auto wanted = partsToAskFor(scope);
  lookupsLeft_ = wanted.size();
  for (const auto index : wanted) {
    dependencies_.parts.lookup(arrival_.prompt->chain.parts()[index].id, scope,
                               [weak = weak_from_this(), scope, index](const auto& holders) {
                                 const auto flow = weak.lock();
                                 if (!flow) return;
                                 if (holders) flow->foundHolders_.push_back({index, *holders});
                                 if (--flow->lookupsLeft_ > 0) return;
                                 flow->learnHolders(scope);
                                 flow->choose();
                               });
  }
}

void RelayFlow::learnHolders(routing::CacheScope scope) {
  const auto& parts = arrival_.prompt->chain.parts();
  auto& known = dependencies_.holders;
  // Homes are told what replicas drop; what this node remembers of others' caches is older.
  if (!knowsAllCaches()) {
    for (const auto& found : foundHolders_) known.removePart(scope, parts[found.part].id);
  }
  for (const auto& found : foundHolders_) {
    std::size_t useful = 0;
    // What is held under other weights, or by another isolated tenant, is of no use here.
    for (const auto& holder : found.holders) {
      if (holder.scope != scope) continue;
      ++useful;
      for (std::size_t held = 0; held <= found.part; ++held)
        known.add(holder.replica, scope, parts[held].id, parts[held].tokens);
    }
    if (found.part == 0) firstPartIsRare_ = useful < options_.fewHolders;
  }
  foundHolders_.clear();
}

void RelayFlow::tellHome(const routing::ReplicaDecision& decision) {
  if (!arrival_.prompt || arrival_.prompt->chain.sharedTokens() < options_.minimumLookupTokens)
    return;
  const routing::PartHolder holder{base::engineIdOf(decision.replica->facts().instance),
                                   decision.scope};
  const auto& chain = arrival_.prompt->chain;
  dependencies_.parts.announce(*chain.deepestShared(), holder);
  if (firstPartIsRare_ && chain.sharedParts() > 1)
    dependencies_.parts.announce(chain.parts().front().id, holder);
}

void RelayFlow::askHomes(const routing::ReplicaDecision& decision) {
  const auto wanted = query();
  routing::PlacementRequest request;
  request.promptTokens = promptTokens();
  if (wanted.withPrompt()) {
    const auto& parts = arrival_.prompt->chain.parts();
    request.model = wanted.model;
    request.parts.assign(parts.begin(), parts.end() - 1);
    request.acceptableWait = patience();
  }
  request.constraints = constraints();
  for (const auto& replica : decision.preferenceOrder) {
    request.candidates.push_back(dependencies_.choice.candidateOf(
        wanted, replica, request.promptTokens, decision.heldTokens()));
    auto& candidate = request.candidates.back();
    candidate.prefillTime = replica->prefillSpeed().time(candidate.work.prefillTokens);
  }
  placementTicket_ = dependencies_.placement.newTicket();
  dependencies_.placement.place(placementTicket_, std::move(request),
                                [weak = weak_from_this(), candidates = decision.preferenceOrder,
                                 &placement = dependencies_.placement](const auto& result) {
                                  const auto flow = weak.lock();
                                  if (flow && !flow->over_) {
                                    flow->onPlaced(candidates, result);
                                  } else if (result.grant) {
                                    placement.returnGrant(*result.grant);
                                  }
                                });
}

base::Duration RelayFlow::patience() const {
  const bool longPrompt = arrival_.prompt->chain.sharedTokens() >= options_.minimumLookupTokens;
  const double share = longPrompt ? options_.longPromptPatienceShare : options_.patienceShare;
  return std::chrono::duration_cast<base::Duration>(assignment_.route->targetLatency * share);
}

routing::PlacementConstraints RelayFlow::constraints() const {
  const auto& route = *assignment_.route;
  routing::PlacementConstraints constraints;
  constraints.urgency = urgency();
  constraints.tenant = assignment_.tenant == nullptr ? 0 : base::hashName(assignment_.tenant->name);
  constraints.arrivedAt = arrival_.arrivedAt;
  constraints.softStartDeadline = arrival_.arrivedAt + route.targetLatency;
  constraints.hardStartDeadline = usefulUntil_;
  constraints.longestPause = route.gapTarget;
  constraints.outputTokens = expectedOutputTokens();
  if (headDelivered_) {
    // A stream that is taken up again is late already: its caller waits for the next event.
    constraints.softStartDeadline = dependencies_.clock.now() + route.targetLatency;
    constraints.hardStartDeadline = deadline_;
  }
  constraints.softStartDeadline =
      std::min(constraints.softStartDeadline, constraints.hardStartDeadline);
  return constraints;
}

void RelayFlow::onNotPlaced(const Candidates& candidates, const routing::PlacementResult& result) {
  if (result.retryAfter) {
    refuseUnplaced(result.rateLimited
                       ? "it cannot be served in time by what the replicas take a second"
                       : "it cannot be served in time by what waits before it",
                   *result.retryAfter);
    return;
  }
  if (result.repliesReceived == 0) {
    askAgainAt_ = dependencies_.clock.now() + options_.askAgainAfter;
    choose();
    return;
  }
  for (const auto& candidate : candidates) passedOver_.push_back(candidate->facts().instance);
  if (passedOver_.size() < options_.mostPassedOver) {
    choose();
    return;
  }
  passedOver_.clear();
  hold("no replica that was asked for may take requests", options_.askAgainAfter);
}

void RelayFlow::onPlaced(const Candidates& candidates, const routing::PlacementResult& result) {
  const auto now = dependencies_.clock.now();
  placementTicket_ = 0;
  queuedThere_ = result.queued;
  if (!result.candidate) {
    onNotPlaced(candidates, result);
    return;
  }
  const auto release = [&] { dependencies_.placement.returnGrant(*result.grant); };
  if (!mayBeSent()) {
    release();
    return;
  }
  auto decision = dependencies_.choice.decide(query(), candidates[*result.candidate],
                                              result.matchedTokens, now);
  if (!decision) {
    // The replica began to leave, or to change its weights, while its home was asked.
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
