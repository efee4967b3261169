#include "routing/engine_homes.h"

#include <algorithm>

namespace covewing::routing {

namespace {

struct RankedMember {
  const membership::Member* member = nullptr;
  std::uint64_t weight = 0;
  bool taken = false;
};

/// In the order of `live`.
std::vector<RankedMember> weighMembers(base::EngineId engine,
                                       const std::vector<membership::Member>& live, bool draining) {
  std::vector<RankedMember> weighed;
  weighed.reserve(live.size());
  for (const auto& member : live) {
    if (member.draining != draining) continue;
    weighed.push_back({&member, base::mixHash(engine.value, member.id.value)});
  }
  return weighed;
}

/// The heaviest candidate that is not taken and whose zone is accepted; null if there is none. Ties
/// cannot occur between different ids except by hash collision, where the smaller id wins. A few
/// passes over all cost less than sorting them.
template <class Accepts>
RankedMember* heaviest(std::vector<RankedMember>& candidates, Accepts accepts) {
  RankedMember* best = nullptr;
  for (auto& candidate : candidates) {
    if (candidate.taken || (best != nullptr && candidate.weight <= best->weight)) continue;
    if (accepts(candidate.member->zone)) best = &candidate;
  }
  return best;
}

bool zoneIsUsed(const std::vector<std::string_view>& usedZones, std::string_view zone) {
  return std::find(usedZones.begin(), usedZones.end(), zone) != usedZones.end();
}

/// Adds homes from `candidates` in three passes: the engine's zone, unused zones, then any.
void takeHomes(std::vector<RankedMember>& candidates, std::string_view engineZone,
               std::size_t count, std::vector<base::NodeId>& homes,
               std::vector<std::string_view>& usedZones) {
  const auto pass = [&](auto&& accepts) {
    while (homes.size() < count) {
      RankedMember* next = heaviest(candidates, accepts);
      if (next == nullptr) return;
      next->taken = true;
      homes.push_back(next->member->id);
      usedZones.push_back(next->member->zone);
    }
  };
  pass([&](std::string_view zone) { return zone == engineZone && !zoneIsUsed(usedZones, zone); });
  pass([&](std::string_view zone) { return !zoneIsUsed(usedZones, zone); });
  pass([](std::string_view) { return true; });
}

}  // namespace

std::vector<base::NodeId> homesOf(base::EngineId engine, std::string_view engineZone,
                                  const std::vector<membership::Member>& live, std::size_t count) {
  std::vector<base::NodeId> homes;
  std::vector<std::string_view> usedZones;
  for (const bool draining : {false, true}) {
    if (homes.size() >= count) break;
    auto candidates = weighMembers(engine, live, draining);
    takeHomes(candidates, engineZone, count, homes, usedZones);
  }
  return homes;
}

}  // namespace covewing::routing
