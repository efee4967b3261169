/// \file
/// What the load-only baselines share: a lookup without a prompt, and the choice of the engine with
/// the fewest requests.
#pragma once

#include <vector>

#include "base/random.h"
#include "routing/cache_lookup.h"
#include "routing/routing_policy.h"

namespace covewing::routing {

/// Decision for the engine of `result` with the fewest requests, then the fewest tokens ahead; of
/// equal ones one is drawn. Engines that no longer qualify are passed over.
RouteDecision chooseFewestRequests(const FleetView& fleet, const RouteQuery& query,
                                   const LookupResult& result, base::RandomSource& random);

std::vector<base::EngineId> idsOf(const std::vector<const EngineState*>& engines);

/// Announces a dispatch whose whole prompt counts as work.
void announceWholePrompt(CacheLookup* lookup, const RouteQuery& query,
                         const RouteDecision& decision);

}  // namespace covewing::routing
