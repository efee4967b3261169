#include "routing/engine_homes.h"

#include <algorithm>

namespace covewing::routing {

namespace {

struct WeightedMember {
  const membership::Member* member = nullptr;
  std::uint64_t weight = 0;
  bool selected = false;
};

/// In the order of `live`.
std::vector<WeightedMember> computeWeights(base::EngineId engine,
                                           const std::vector<membership::Member>& live,
                                           bool draining) {
  std::vector<WeightedMember> weighted;
  weighted.reserve(live.size());
  for (const auto& member : live) {
    if (member.draining != draining) continue;
    weighted.push_back({&member, base::mixHash(engine.value, member.id.value)});
  }
  return weighted;
}

/// The heaviest candidate that is not taken and whose zone is accepted; null if there is none. Ties
/// cannot occur between different ids except by hash collision, where the smaller id wins. A few
/// passes over all cost less than sorting them.
template <class Accepts>
WeightedMember* heaviest(std::vector<WeightedMember>& candidates, Accepts accepts) {
  WeightedMember* best = nullptr;
  for (auto& candidate : candidates) {
    if (candidate.selected || (best != nullptr && candidate.weight <= best->weight)) continue;
    if (accepts(candidate.member->zone)) best = &candidate;
  }
  return best;
}

bool zoneIsUsed(const std::vector<std::string_view>& usedZones, std::string_view zone) {
  return std::find(usedZones.begin(), usedZones.end(), zone) != usedZones.end();
}

/// Adds homes from `candidates` in three passes: the engine's zone, unused zones, then any.
void selectHomes(std::vector<WeightedMember>& candidates, std::string_view engineZone,
                 std::size_t count, std::vector<base::NodeId>& homes,
                 std::vector<std::string_view>& usedZones) {
  const auto pass = [&](auto&& accepts) {
    while (homes.size() < count) {
      WeightedMember* next = heaviest(candidates, accepts);
      if (next == nullptr) return;
      next->selected = true;
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
    auto candidates = computeWeights(engine, live, draining);
    selectHomes(candidates, engineZone, count, homes, usedZones);
  }
  return homes;
}

}  // namespace covewing::routing
