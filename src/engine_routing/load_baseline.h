/// \file
/// Helpers shared by the baseline policies that consider only load: a lookup without a prompt, and
/// the choice of the engine with the fewest requests.
#pragma once

#include <vector>

#include "base/random.h"
#include "engine_routing/cache_lookup.h"
#include "engine_routing/routing_policy.h"

namespace covewing::engine_routing {

/// Returns a decision for the engine of `result` with the fewest requests; on a tie, the fewest
/// tokens ahead; if that is equal as well, one is drawn at random. Engines that no longer qualify
/// are skipped.
RouteDecision chooseFewestRequests(const FleetView& fleet, const RouteQuery& query,
                                   const LookupResult& result, base::RandomSource& random);

std::vector<base::EngineId> idsOf(const std::vector<const EngineState*>& engines);

/// Announces a dispatch for which the complete prompt counts as uncached.
void announceWholePrompt(CacheLookup* lookup, const RouteQuery& query,
                         const RouteDecision& decision);

}  // namespace covewing::engine_routing
