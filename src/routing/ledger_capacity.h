/// \file
/// The room of one replica for its queue (admission/admission_queue.h), by what its home counts.
#pragma once

#include <cstdint>
#include <functional>
#include <utility>

#include "admission/queue_entry.h"
#include "base/time.h"
#include "routing/placement_messages.h"
#include "routing/replica_ledger.h"

namespace covewing::routing {

/// What the home weighs of a request beyond its place in the queue.
struct CapacityDemand {
  PlacementDemand work;
  PlacementTerms terms;
  /// The replica has to turn to the request within this, if it may go elsewhere or is late.
  base::Duration acceptableWait{};
  /// No home would take the request without a pause that is too long, or it waits in the queue.
  bool acceptsPauses = false;
};

/// The room for one demand at a time; lives for one decision.
class LedgerCapacity final : public admission::ReplicaCapacity {
 public:
  /// Finds the demand of an entry; all entries that are offered have one.
  using DemandOf = std::function<const CapacityDemand&(std::uint64_t id)>;

  /// Requests sent beyond what the replica runs at once. It bridges the message that a run ended
  /// and the grant that follows: some 5 ms, in which a replica of 24 slots ends less than one run
  /// of a second. More would wait there in the replica's order, not in the queue's.
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
  /// The replica's rate limit allows fewer requests than its slots. Its room is then that of a
  /// replica with one slot, in which each request runs for the interval of the rate.
  bool isRateBound() const;

  ReplicaLedger& ledger_;
  PlacementDemand replica_;
  DemandOf demandOf_;
  base::TimePoint now_;
};

}  // namespace covewing::routing
