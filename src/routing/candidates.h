/// \file
/// Lists and orders that several policies share: the engines that qualify for a query and their
/// rendezvous order.
#pragma once

#include <string_view>
#include <vector>

#include "base/random.h"
#include "routing/fleet_view.h"
#include "routing/routing_policy.h"

namespace covewing::routing {

/// Engines that may take the query, ascending by id; pointers are valid until control returns to
/// the event loop.
std::vector<const EngineState*> qualifyingEngines(const FleetView& fleet, const RouteQuery& query);

/// Of `engines`, those in `zone`; all of them where none lies there.
std::vector<const EngineState*> preferZone(std::vector<const EngineState*> engines,
                                           std::string_view zone);

/// Sorts by rendezvous weight for `key`, heaviest first: every node with the same view gets the
/// same order, and an engine's coming or going moves only its own keys.
void sortByRendezvous(std::vector<const EngineState*>& engines, std::uint64_t key);

/// Key of the query's prefix: the hash of its block number `depth` (from 0), or of its last whole
/// block where it is shorter, or of its identity where it has none.
std::uint64_t prefixKey(const RouteQuery& query, std::size_t depth);

/// A decision for `engine`, without a cache match.
RouteDecision decideFor(const EngineState& engine);
/// The decision when no engine qualifies.
RouteDecision noEngine(const RouteQuery& query);

}  // namespace covewing::routing
