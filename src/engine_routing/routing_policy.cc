#include "engine_routing/routing_policy.h"

#include <algorithm>

namespace covewing::engine_routing {

bool qualifies(const EngineState& engine, const RouteQuery& query) {
  if (engine.role != clients::EngineRole::kServing) return false;
  if (engine.leaving || engine.unreachable) return false;
  const auto& identity = query.identity;
  if (!engine.serves(identity.model, identity.adapter, identity.weightsVersion)) return false;
  return std::find(query.excluded.begin(), query.excluded.end(), engine.address.id) ==
         query.excluded.end();
}

}  // namespace covewing::engine_routing
