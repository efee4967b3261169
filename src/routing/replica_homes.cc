#include "routing/replica_homes.h"

#include <algorithm>

#include "membership/rendezvous.h"

namespace covewing::routing {

namespace {

std::uint64_t scoreOf(base::EngineId replica, const membership::Member& member) {
  return base::mixHash(replica.value, member.id.value);
}

}  // namespace

bool ReplicaHomes::hasMembers(std::string_view zone) const {
  return std::ranges::any_of(members_.liveMembers(), [zone](const membership::Member& member) {
    return !member.draining && member.zone == zone;
  });
}

const membership::Member& ReplicaHomes::homeOf(base::EngineId replica,
                                               std::string_view zone) const {
  const bool zoneOnly = hasMembers(zone);
  return membership::rendezvousHome(replica.value, members_, [&](const membership::Member& member) {
    return !zoneOnly || member.zone == zone;
  });
}

bool ReplicaHomes::isAmongFirst(base::EngineId replica, std::string_view zone,
                                std::size_t count) const {
  const auto& self = members_.self();
  const bool zoneOnly = hasMembers(zone);
  if (self.draining || (zoneOnly && self.zone != zone)) return false;
  const auto own = scoreOf(replica, self);
  const auto ahead =
      std::ranges::count_if(members_.liveMembers(), [&](const membership::Member& member) {
        const bool participates = !member.draining && (!zoneOnly || member.zone == zone);
        return participates && scoreOf(replica, member) > own;
      });
  return static_cast<std::size_t>(ahead) < count;
}

}  // namespace covewing::routing
