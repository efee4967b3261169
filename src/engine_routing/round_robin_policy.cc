#include "engine_routing/round_robin_policy.h"

#include "engine_routing/candidates.h"

namespace covewing::engine_routing {

void RoundRobinPolicy::choose(RouteQuery query, RouteCallback callback) {
  const auto engines = qualifyingEngines(environment_.fleet, query);
  if (engines.empty()) return callback(noEngine(query));
  callback(decideFor(*engines[nextIndex_++ % engines.size()]));
}

}  // namespace covewing::engine_routing
