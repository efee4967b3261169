#include "engine_routing/least_loaded_policy.h"

#include "engine_routing/candidates.h"
#include "engine_routing/load_baseline.h"

namespace covewing::engine_routing {

void LeastLoadedPolicy::choose(RouteQuery query, RouteCallback callback) {
  const auto engines = qualifyingEngines(environment_.fleet, query);
  if (engines.empty()) return callback(noEngine(query));
  if (environment_.lookup == nullptr) return callback(decideFor(*engines.front()));
  const auto priority = query.priority;
  environment_.lookup->lookup(
      priority, idsOf(engines), {},
      [this, alive = std::weak_ptr(lifetime_), query = std::move(query),
       callback = std::move(callback)](const LookupResult& result) {
        if (alive.expired()) return;
        callback(chooseFewestRequests(environment_.fleet, query, result, environment_.random));
      });
}

void LeastLoadedPolicy::onDispatched(const RouteQuery& query, const RouteDecision& decision) {
  announceWholePrompt(environment_.lookup, query, decision);
}

}  // namespace covewing::engine_routing
