#include "coordination/lease_candidates.h"

#include <algorithm>
#include <set>
#include <string>

namespace covewing::coordination {

std::vector<membership::Member> leaseCandidates(std::string_view leaseName, std::string_view region,
                                                const std::vector<membership::Member>& live,
                                                std::size_t count) {
  const std::uint64_t leaseHash = base::hashName(leaseName);
  std::vector<membership::Member> ranked;
  for (const membership::Member& member : live) {
    const bool competes = region.empty() || member.region == region;
    if (competes && !member.draining) ranked.push_back(member);
  }
  std::ranges::sort(ranked, [leaseHash](const auto& left, const auto& right) {
    const std::uint64_t leftScore = base::mixHash(leaseHash, left.id.value);
    const std::uint64_t rightScore = base::mixHash(leaseHash, right.id.value);
    return leftScore != rightScore ? leftScore > rightScore : left.id < right.id;
  });
  std::vector<membership::Member> chosen;
  std::vector<membership::Member> sameZone;
  std::set<std::string> zones;
  for (membership::Member& member : ranked) {
    const bool newZone = zones.insert(member.zone).second;
    (newZone ? chosen : sameZone).push_back(std::move(member));
  }
  chosen.insert(chosen.end(), sameZone.begin(), sameZone.end());
  if (chosen.size() > count) chosen.resize(count);
  return chosen;
}

}  // namespace covewing::coordination
