#include "engine_routing/staged_lookup.h"

#include <utility>

namespace covewing::engine_routing {

void StagedLookup::lookup(base::PriorityClass priority, const std::vector<base::EngineId>& engines,
                          const prefix::Checkpoints& checkpoints, LookupCallback callback) {
  const bool atOnce = engines.size() <= 1 || checkpoints.fingerprints.empty() ||
                      members_.liveMembers().size() < options_.minimumNodes;
  if (atOnce) {
    lookup_.lookup(priority, engines, checkpoints, std::move(callback));
    return;
  }
  const auto first = preferredEngine(engines);
  lookup_.lookup(priority, {first}, checkpoints,
                 [this, alive = std::weak_ptr(lifetime_), priority, first, engines, checkpoints,
                  callback = std::move(callback)](LookupResult result) mutable {
                   if (alive.expired()) return;
                   if (!isConclusive(result, checkpoints)) {
                     lookup_.lookup(priority, engines, checkpoints, std::move(callback));
                     return;
                   }
                   for (const auto engine : engines) {
                     if (engine == first) continue;
                     EngineLookupResult unknown;
                     unknown.engine = engine;
                     result.engines.push_back(unknown);
                   }
                   callback(std::move(result));
                 });
}

base::EngineId StagedLookup::preferredEngine(const std::vector<base::EngineId>& engines) const {
  for (const auto engine : engines) {
    const EngineState* state = fleet_.find(engine);
    if (state != nullptr && state->region == members_.self().region) return engine;
  }
  return engines.front();
}

bool StagedLookup::isConclusive(const LookupResult& result,
                                const prefix::Checkpoints& checkpoints) const {
  const EngineLookupResult& best = result.engines.front();
  const double wanted = options_.conclusiveShare * checkpoints.chainLength;
  return best.known && !best.doubtful && best.matchedBlocks >= wanted &&
         best.tokensAhead <= options_.conclusiveTokensAhead;
}

}  // namespace covewing::engine_routing
