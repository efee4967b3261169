#include "engine_routing/random_policy.h"

#include "engine_routing/candidates.h"

namespace covewing::engine_routing {

void RandomPolicy::choose(RouteQuery query, RouteCallback callback) {
  const auto engines = qualifyingEngines(environment_.fleet, query);
  if (engines.empty()) return callback(noEngine(query));
  callback(decideFor(*engines[environment_.random.below(engines.size())]));
}

}  // namespace covewing::engine_routing
