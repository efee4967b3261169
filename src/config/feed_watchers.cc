#include "config/feed_watchers.h"

#include <algorithm>
#include <map>
#include <string>

namespace covewing::config {

namespace {

std::uint64_t rankOf(const membership::Member& member) {
  static const std::uint64_t kSalt = base::hashName("table-feed");
  return base::mixHash(member.id.value, kSalt);
}

}  // namespace

FeedWatchers::Members FeedWatchers::membersOf(Scope scope) const {
  std::map<std::string, Members> zones;
  for (const auto& member : members_.liveMembers()) {
    if (member.draining) continue;
    if (scope == Scope::kOwnZone && member.zone != members_.self().zone) continue;
    zones[member.zone].push_back(&member);
  }
  Members chosen;
  for (auto& [zone, members] : zones) {
    if (scope != Scope::kAnyMember) {
      std::ranges::sort(members, {}, [](const auto* member) { return rankOf(*member); });
      members.resize(std::min(members.size(), watchersPerZone_));
    }
    chosen.insert(chosen.end(), members.begin(), members.end());
  }
  return chosen;
}

bool FeedWatchers::isWatcher() const {
  const auto self = members_.self().id;
  return std::ranges::any_of(membersOf(Scope::kOwnZone),
                             [self](const auto* one) { return one->id == self; });
}

const membership::Member* FeedWatchers::randomOther(Scope scope, base::RandomSource& random) const {
  auto others = membersOf(scope);
  const auto self = members_.self().id;
  std::erase_if(others, [self](const auto* one) { return one->id == self; });
  return others.empty() ? nullptr : others[random.below(others.size())];
}

}  // namespace covewing::config
