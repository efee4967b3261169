#include "routing/replica_room.h"

#include <algorithm>

namespace covewing::routing {

bool ReplicaRoom::fits(const admission::QueueEntry& entry, bool inTime) const {
  const RoomDemand& demand = demandOf_(entry.id);
  const auto current = ledger_.load(now_);
  // A replica without work takes any request, also one larger than the memory that was told.
  if (current.requests == 0) return true;
  if (slots() > 0 && current.requests >= slots()) return false;
  if (!ledger_.hasRoom(demand.work, now_)) return false;
  // One that is late, or that nobody else can take, is better served with pauses than not at all.
  const bool mayGoElsewhere = inTime && !demand.acceptsPauses;
  if (mayGoElsewhere && ledger_.pauseExcess(demand.work, demand.terms, now_).count() > 0)
    return false;
  const bool stays = demand.terms.mayQueue && inTime;
  const auto longest = stays ? entry.latestInTime - now_ : demand.patience;
  return ledger_.expectedWait(demand.work, now_) <= longest;
}

}  // namespace covewing::routing
