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

bool contains(const std::vector<const membership::Member*>& members, base::NodeId id) {
  return std::ranges::any_of(members, [id](const auto* one) { return one->id == id; });
}

}  // namespace

FeedWatchers::Members FeedWatchers::ranked() const {
  Members all;
  for (const auto& member : members_.liveMembers()) {
    if (!member.draining) all.push_back(&member);
  }
  std::ranges::sort(all, {}, [](const auto* member) { return rankOf(*member); });
  return all;
}

FeedWatchers::Members FeedWatchers::readers() const {
  Members chosen;
  Members others;
  std::map<std::string, bool> zones;
  for (const auto* member : ranked()) {
    const bool first = zones.try_emplace(member->zone, true).second;
    (first ? chosen : others).push_back(member);
  }
  chosen.insert(chosen.end(), others.begin(), others.end());
  chosen.resize(std::min(chosen.size(), counts_.readers));
  return chosen;
}

FeedWatchers::Members FeedWatchers::watchersOf(const std::string& zone) const {
  Members chosen = ranked();
  std::erase_if(chosen, [&zone](const auto* member) { return member->zone != zone; });
  chosen.resize(std::min(chosen.size(), counts_.watchersPerZone));
  return chosen;
}

FeedWatchers::Members FeedWatchers::membersOf(Scope scope) const {
  if (scope == Scope::kReaders) return readers();
  if (scope == Scope::kOwnZone) return watchersOf(members_.self().zone);
  Members all = ranked();
  if (scope == Scope::kAnyMember) return all;
  std::map<std::string, std::size_t> chosen;
  std::erase_if(all,
                [&](const auto* one) { return ++chosen[one->zone] > counts_.watchersPerZone; });
  return all;
}

FeedWatchers::Role FeedWatchers::role() const {
  const auto& self = members_.self();
  if (contains(readers(), self.id)) return Role::kReader;
  return contains(watchersOf(self.zone), self.id) ? Role::kZoneWatcher : Role::kFollower;
}

const membership::Member* FeedWatchers::randomOther(Scope scope, base::RandomSource& random) const {
  auto others = membersOf(scope);
  const auto self = members_.self().id;
  std::erase_if(others, [self](const auto* one) { return one->id == self; });
  return others.empty() ? nullptr : others[random.below(others.size())];
}

}  // namespace covewing::config
