#include "engine_routing/engine_homes.h"

#include <algorithm>

namespace covewing::engine_routing {

namespace {

struct WeightedMember {
  const membership::Member* member = nullptr;
  std::uint64_t weight = 0;
  bool selected = false;
};

/// Returns the members with the given draining state and their weights, in the order of `live`.
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

/// Returns the candidate with the greatest weight that is not selected yet and whose zone is
/// accepted; null if there is none. Weights of different ids are equal only after a hash collision;
/// then the smaller id wins. A few linear passes cost less than sorting all candidates.
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

/// Adds homes from `candidates` in three passes: first from the engine's zone, then from unused
/// zones, then from any zone.
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

}  // namespace covewing::engine_routing
