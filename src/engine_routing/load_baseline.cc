#include "engine_routing/load_baseline.h"

#include <utility>

#include "engine_routing/candidates.h"

namespace covewing::engine_routing {

RouteDecision chooseFewestRequests(const FleetView& fleet, const RouteQuery& query,
                                   const LookupResult& result, base::RandomSource& random) {
  using Load = std::pair<std::uint32_t, std::uint64_t>;
  std::vector<const EngineState*> least;
  Load leastLoad;
  for (const auto& engineResult : result.engines) {
    const EngineState* engine = fleet.find(engineResult.engine);
    if (engine == nullptr || !qualifies(*engine, query)) continue;
    const Load load{engineResult.requests, engineResult.tokensAhead};
    if (least.empty() || load < leastLoad) {
      least.clear();
      leastLoad = load;
    }
    if (load == leastLoad) least.push_back(engine);
  }
  if (least.empty()) return noEngine(query);
  RouteDecision decision = decideFor(*least[random.below(least.size())]);
  decision.lookupId = result.lookupId;
  decision.uncachedTokens = query.promptTokens;
  return decision;
}

std::vector<base::EngineId> idsOf(const std::vector<const EngineState*>& engines) {
  std::vector<base::EngineId> ids;
  ids.reserve(engines.size());
  for (const auto* engine : engines) ids.push_back(engine->address.id);
  return ids;
}

void announceWholePrompt(CacheLookup* lookup, const RouteQuery& query,
                         const RouteDecision& decision) {
  if (lookup == nullptr || !decision.engine) return;
  lookup->announce(decision.lookupId, *decision.engine, query.priority, query.promptTokens);
}

}  // namespace covewing::engine_routing
