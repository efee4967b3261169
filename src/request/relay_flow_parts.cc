// What a request asks and tells the home of its prompt's deepest shared part.
#include <algorithm>

#include "request/relay_flow.h"

namespace covewing::request {

bool RelayFlow::shouldLookUp(const routing::ReplicaDecision& decision) const {
  if (lookedUp_ || !decision.replica || !arrival_.prompt) return false;
  return unreadSharedTokens(decision) >= options_.leastLookup;
}

std::uint32_t RelayFlow::unreadSharedTokens(const routing::ReplicaDecision& decision) const {
  const auto shared = arrival_.prompt->chain.sharedTokens();
  return shared - std::min(shared, decision.heldTokens());
}

void RelayFlow::lookUp(routing::CacheScope scope) {
  lookedUp_ = true;
  dependencies_.parts.ask(
      *arrival_.prompt->chain.deepestShared(),
      [weak = weak_from_this(), scope](const std::vector<routing::PartHolder>& holders) {
        if (const auto flow = weak.lock()) flow->onHolders(scope, holders);
      });
}

void RelayFlow::onHolders(routing::CacheScope scope,
                          const std::vector<routing::PartHolder>& holders) {
  // What is held under other weights, or by another isolated tenant, is of no use here.
  for (const auto& holder : holders) {
    if (holder.scope == scope)
      dependencies_.holders.learnChain(holder.replica, scope, arrival_.prompt->chain);
  }
  choose();
}

void RelayFlow::tellHome(const routing::ReplicaDecision& decision) {
  if (!arrival_.prompt || arrival_.prompt->chain.sharedTokens() < options_.leastLookup) return;
  dependencies_.parts.tell(*arrival_.prompt->chain.deepestShared(),
                           {base::engineIdOf(decision.replica->facts().instance), decision.scope});
}

}  // namespace covewing::request
