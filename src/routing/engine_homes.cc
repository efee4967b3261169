#include "routing/engine_homes.h"

#include <algorithm>

namespace covewing::routing {

namespace {

struct RankedMember {
  const membership::Member* member = nullptr;
  std::uint64_t weight = 0;
  bool taken = false;
};

/// Heaviest members first; ties cannot occur between different ids except by hash collision, where
/// the smaller id goes first.
std::vector<RankedMember> rankMembers(base::EngineId engine,
                                      const std::vector<membership::Member>& live, bool draining) {
  std::vector<RankedMember> ranked;
  ranked.reserve(live.size());
  for (const auto& member : live) {
    if (member.draining != draining) continue;
    ranked.push_back({&member, base::mixHash(engine.value, member.id.value)});
  }
  std::stable_sort(ranked.begin(), ranked.end(),
                   [](const RankedMember& left, const RankedMember& right) {
                     return left.weight > right.weight;
                   });
  return ranked;
}

bool zoneIsUsed(const std::vector<std::string_view>& usedZones, std::string_view zone) {
  return std::find(usedZones.begin(), usedZones.end(), zone) != usedZones.end();
}

/// Adds homes from `ranked` in three passes: the engine's zone, unused zones, then any.
void takeHomes(std::vector<RankedMember>& ranked, std::string_view engineZone, std::size_t count,
               std::vector<base::NodeId>& homes, std::vector<std::string_view>& usedZones) {
  const auto take = [&](RankedMember& candidate) {
    candidate.taken = true;
    homes.push_back(candidate.member->id);
    usedZones.push_back(candidate.member->zone);
  };
  const auto pass = [&](auto&& accepts) {
    for (auto& candidate : ranked) {
      if (homes.size() >= count) return;
      if (!candidate.taken && accepts(candidate.member->zone)) take(candidate);
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
    auto ranked = rankMembers(engine, live, draining);
    takeHomes(ranked, engineZone, count, homes, usedZones);
  }
  return homes;
}

}  // namespace covewing::routing
