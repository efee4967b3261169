#include "routing/replica_homes.h"

#include <algorithm>

#include "membership/rendezvous.h"

namespace covewing::routing {

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
  const bool zoneOnly = hasMembers(zone);
  return membership::isAmongRendezvousHomes(
      replica.value, members_, count,
      [&](const membership::Member& member) { return !zoneOnly || member.zone == zone; });
}

}  // namespace covewing::routing
