#include "engine_routing/candidates.h"

#include <algorithm>
#include <iterator>

namespace covewing::engine_routing {

std::vector<const EngineState*> qualifyingEngines(const FleetView& fleet, const RouteQuery& query) {
  std::vector<const EngineState*> engines;
  for (const auto& engine : fleet.engines()) {
    if (qualifies(engine, query)) engines.push_back(&engine);
  }
  return engines;
}

std::vector<const EngineState*> preferZone(std::vector<const EngineState*> engines,
                                           std::string_view zone) {
  std::vector<const EngineState*> inZone;
  std::copy_if(engines.begin(), engines.end(), std::back_inserter(inZone),
               [&](const EngineState* engine) { return engine->zone == zone; });
  return inZone.empty() ? engines : inZone;
}

void sortByRendezvous(std::vector<const EngineState*>& engines, std::uint64_t key) {
  std::stable_sort(engines.begin(), engines.end(),
                   [key](const EngineState* left, const EngineState* right) {
                     return base::mixHash(key, left->address.id.value) >
                            base::mixHash(key, right->address.id.value);
                   });
}

std::uint64_t prefixKey(const RouteQuery& query, std::size_t depth) {
  if (!query.chain || query.chain->empty()) return prefix::identitySeed(query.identity);
  return query.chain->at(std::min(depth, query.chain->size() - 1)).value;
}

RouteDecision decideFor(const EngineState& engine) {
  RouteDecision decision;
  decision.engine = engine.address.id;
  decision.incarnation = engine.incarnation;
  return decision;
}

RouteDecision noEngine(const RouteQuery& query) {
  RouteDecision decision;
  decision.reason = {base::ResultCode::kNoBackEnd,
                     "no live engine has model " + query.identity.model + " version " +
                         std::to_string(query.identity.weightsVersion) +
                         (query.identity.adapter.empty() ? "" : " adapter ") +
                         query.identity.adapter};
  return decision;
}

}  // namespace covewing::engine_routing
