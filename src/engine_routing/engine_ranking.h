/// \file
/// Ranks engines for a query by expected time to first token and converts the choice into a
/// decision. Shared by the policies that use cache and queue state.
#pragma once

#include <string_view>

#include "base/random.h"
#include "engine_routing/cache_lookup.h"
#include "engine_routing/fleet_view.h"
#include "engine_routing/policy_factory.h"
#include "engine_routing/routing_policy.h"

namespace covewing::engine_routing {

/// Location of the deciding node, and the wait that it expects at the external KV cache store.
struct NodeContext {
  std::string_view zone;
  std::string_view region;
  base::Duration importWait{};
};

/// Chooses among the engines of `result` that still qualify; among near-equal ones, one is drawn at
/// random. An engine for which no home replied is assumed to have an empty cache and the average
/// load of the others. If no engine is known, the first one is chosen. The decision has no engine
/// if none qualifies any more.
RouteDecision chooseByService(const FleetView& fleet, const RouteQuery& query,
                              const LookupResult& result, const PolicyTuning& tuning,
                              const NodeContext& context, base::RandomSource& random);

}  // namespace covewing::engine_routing
