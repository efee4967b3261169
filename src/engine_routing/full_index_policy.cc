#include "engine_routing/full_index_policy.h"

#include "engine_routing/candidates.h"
#include "engine_routing/engine_ranking.h"
#include "engine_routing/load_baseline.h"
#include "prefix/checkpoints.h"

namespace covewing::engine_routing {

void FullIndexPolicy::choose(RouteQuery query, RouteCallback callback) {
  const auto engines = qualifyingEngines(environment_.fleet, query);
  if (engines.empty()) return callback(noEngine(query));
  if (environment_.lookup == nullptr) return callback(decideFor(*engines.front()));
  const auto checkpoints =
      query.chain ? prefix::checkpointsOf(*query.chain) : prefix::Checkpoints{};
  const auto priority = query.priority;
  environment_.lookup->lookup(
      priority, idsOf(engines), checkpoints,
      [this, alive = std::weak_ptr(lifetime_), query = std::move(query),
       callback = std::move(callback)](const LookupResult& result) {
        if (alive.expired()) return;
        callback(chooseByService(environment_.fleet, query, result, environment_.tuning,
                                 {environment_.zone, {}, imports_.wait(environment_.clock.now())},
                                 environment_.random));
      });
}

void FullIndexPolicy::onDispatched(const RouteQuery& query, const RouteDecision& decision) {
  if (environment_.lookup == nullptr || !decision.engine) return;
  const std::size_t nodes =
      environment_.members == nullptr ? 1 : environment_.members->liveMembers().size();
  imports_.onImport(decision.importedTokens, nodes, environment_.clock.now());
  environment_.lookup->announce(decision.lookupId, *decision.engine, query.priority,
                                decision.uncachedTokens);
}

}  // namespace covewing::engine_routing
