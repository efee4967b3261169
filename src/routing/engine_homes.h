/// \file
/// The home nodes of an engine: the few nodes that poll its reports, keep its cache index and
/// answer other nodes' lookups. Chosen by rendezvous hashing over the live members, so that nodes
/// with equal membership views agree without messages, and a change of one member moves only its
/// own engines.
#pragma once

#include <string_view>
#include <vector>

#include "base/ids.h"
#include "membership/member_directory.h"

namespace covewing::routing {

inline constexpr std::size_t kHomesPerEngine = 2;
/// From this many live nodes on, an engine has one home. Its death costs the knowledge of a few
/// engines of many until their snapshots are here, and a second home would double the largest part
/// of the control traffic. In small fleets one node is the home of a large share of the engines.
inline constexpr std::size_t kSingleHomeMinimumNodes = 32;

constexpr std::size_t homesPerEngine(std::size_t liveNodes) {
  return liveNodes >= kSingleHomeMinimumNodes ? 1 : kHomesPerEngine;
}

/// Homes of `engine`, at most `count`, best first: the first lies in the engine's own zone where a
/// member lives there, the others in zones not used yet as long as there are any. Draining members
/// are taken only where no other is left. `live` must be in ascending order of id.
std::vector<base::NodeId> homesOf(base::EngineId engine, std::string_view engineZone,
                                  const std::vector<membership::Member>& live,
                                  std::size_t count = kHomesPerEngine);

}  // namespace covewing::routing
