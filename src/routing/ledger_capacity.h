/// \file
/// Capacity of one replica as seen by its queue (admission/admission_queue.h), derived from the
/// records of its home.
#pragma once

#include <cstdint>
#include <functional>
#include <utility>

#include "admission/queue_entry.h"
#include "base/time.h"
#include "routing/placement_messages.h"
#include "routing/replica_ledger.h"

namespace covewing::routing {

/// Properties of a request that the home considers besides its position in the queue.
struct CapacityDemand {
  PlacementDemand work;
  PlacementTerms terms;
  /// Maximum expected wait until the replica starts the request, if the request may be sent to
  /// another replica or is late.
  base::Duration acceptableWait{};
  /// The request accepts pauses that are too long: no home would grant it without, or it waits in
  /// the queue.
  bool acceptsPauses = false;
};

/// Capacity for one demand at a time; lives for one decision.
class LedgerCapacity final : public admission::ReplicaCapacity {
 public:
  /// Returns the demand of an entry; every entry that is offered must have one.
  using DemandOf = std::function<const CapacityDemand&(std::uint64_t id)>;

  /// Number of requests sent beyond the replica's slots. It bridges the time between the message
  /// that a request ended and the grant that follows: some 5 ms, in which a replica with 24 slots
  /// ends less than one request of a second. Further requests would wait there in the replica's
  /// order instead of the queue's.
  static constexpr std::uint32_t kExtraRequests = 1;

  LedgerCapacity(ReplicaLedger& ledger, const PlacementDemand& replica, DemandOf demandOf,
                 base::TimePoint now)
      : ledger_(ledger), replica_(replica), demandOf_(std::move(demandOf)), now_(now) {}

  bool fits(const admission::QueueEntry& entry, bool inTime) const override;
  std::uint32_t slots() const override;
  std::uint32_t slotsInUse() const override;
  std::uint64_t memory() const override { return isRateBound() ? 0 : replica_.memory; }
  std::uint64_t memoryInUse() const override { return ledger_.load(now_).tokens; }
  base::Duration meanRunTime() const override;

 private:
  /// Whether the replica's rate limit allows fewer requests than its slots. Its capacity is then
  /// that of a replica with one slot in which each request runs for the interval of the rate.
  bool isRateBound() const;

  ReplicaLedger& ledger_;
  PlacementDemand replica_;
  DemandOf demandOf_;
  base::TimePoint now_;
};

}  // namespace covewing::routing
