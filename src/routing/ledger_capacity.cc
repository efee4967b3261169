#include "routing/ledger_capacity.h"

#include <algorithm>

namespace covewing::routing {

bool LedgerCapacity::isRateBound() const {
  const auto& pacer = ledger_.pacer();
  return pacer.limited() &&
         (replica_.slots == 0 || ledger_.timePerRequest(replica_.slots) == pacer.interval());
}

std::uint32_t LedgerCapacity::slots() const {
  if (isRateBound()) return 1;
  return replica_.slots == 0 ? 0 : replica_.slots + kExtraRequests;
}

std::uint32_t LedgerCapacity::slotsInUse() const {
  if (isRateBound()) return ledger_.pacer().mayPass(now_) ? 0 : 1;
  return ledger_.load(now_).requests;
}

base::Duration LedgerCapacity::meanRunTime() const {
  return isRateBound() ? ledger_.pacer().interval() : ledger_.meanRunTime();
}

bool LedgerCapacity::fits(const admission::QueueEntry& entry, bool inTime) const {
  const CapacityDemand& demand = demandOf_(entry.id);
  if (!ledger_.pacer().mayPass(now_)) return false;
  const auto current = ledger_.load(now_);
  // An idle replica accepts any request, even one larger than its stated memory.
  if (current.requests == 0) return true;
  const auto slotsWithExtra = replica_.slots == 0 ? 0 : replica_.slots + kExtraRequests;
  if (slotsWithExtra > 0 && current.requests >= slotsWithExtra) return false;
  if (!ledger_.hasCapacity(demand.work, now_)) return false;
  // A request that is late, or that no other replica can accept, is better served with pauses than
  // not at all.
  const bool hasAlternatives = inTime && !demand.acceptsPauses;
  if (hasAlternatives && ledger_.pauseExcess(demand.work, demand.terms, now_).count() > 0)
    return false;
  const bool isQueued = demand.terms.mayQueue && inTime;
  const auto maximumWait = isQueued ? entry.softStartDeadline - now_ : demand.acceptableWait;
  return ledger_.expectedWait(demand.work, now_) <= maximumWait;
}

}  // namespace covewing::routing
