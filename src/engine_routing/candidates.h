/// \file
/// Helpers shared by several policies: the engines that qualify for a query, and their rendezvous
/// order.
#pragma once

#include <string_view>
#include <vector>

#include "base/random.h"
#include "engine_routing/fleet_view.h"
#include "engine_routing/routing_policy.h"

namespace covewing::engine_routing {

/// Returns the engines that may serve the query, in ascending order of id. The pointers are valid
/// until control returns to the event loop.
std::vector<const EngineState*> qualifyingEngines(const FleetView& fleet, const RouteQuery& query);

/// Returns the engines in `zone`, or all of `engines` if none is in that zone.
std::vector<const EngineState*> preferZone(std::vector<const EngineState*> engines,
                                           std::string_view zone);

/// Sorts the engines by descending rendezvous weight for `key`. Nodes with the same view obtain the
/// same order, and adding or removing an engine affects only the keys of that engine.
void sortByRendezvous(std::vector<const EngineState*>& engines, std::uint64_t key);

/// Returns the key of the query's prefix: the hash of the block with index `depth` (from 0), of the
/// last complete block if the prompt is shorter, or of the cache identity if the prompt has no
/// complete block.
std::uint64_t prefixKey(const RouteQuery& query, std::size_t depth);

/// Returns a decision for `engine` without a cache match.
RouteDecision decideFor(const EngineState& engine);
/// Returns the decision for a query for which no engine qualifies.
RouteDecision noEngine(const RouteQuery& query);

}  // namespace covewing::engine_routing
