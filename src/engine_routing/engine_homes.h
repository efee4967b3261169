/// \file
/// The home nodes of an engine: the few nodes that poll its reports, maintain its cache index and
/// serve the lookups of other nodes. They are chosen by rendezvous hashing over the live members,
/// so that nodes with equal membership views agree without messages, and a membership change moves
/// only the engines of the affected member.
#pragma once

#include <string_view>
#include <vector>

#include "base/ids.h"
#include "membership/member_directory.h"

namespace covewing::engine_routing {

inline constexpr std::size_t kHomesPerEngine = 2;
/// With at least this many live nodes, an engine has a single home. If that home fails, the index
/// of a small fraction of the engines is lost until their snapshots have been fetched, whereas a
/// second home would double the largest part of the control traffic. In small fleets, one node is
/// the home of a large fraction of the engines.
inline constexpr std::size_t kSingleHomeMinimumNodes = 32;

constexpr std::size_t homesPerEngine(std::size_t liveNodes) {
  return liveNodes >= kSingleHomeMinimumNodes ? 1 : kHomesPerEngine;
}

/// Returns at most `count` homes of `engine` in order of preference. The first is in the engine's
/// own zone if a member lives there; the others are in zones that are not used yet, as long as
/// there are any. Draining members are chosen only if no other members are left. `live` must be in
/// ascending order of id.
std::vector<base::NodeId> homesOf(base::EngineId engine, std::string_view engineZone,
                                  const std::vector<membership::Member>& live,
                                  std::size_t count = kHomesPerEngine);

}  // namespace covewing::engine_routing
