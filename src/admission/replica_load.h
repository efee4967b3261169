/// \file
/// The load of one replica as its home sees it: what is asked for by urgency, what was granted and
/// is believed to run. From it follows the room kept for more urgent requests that are expected,
/// the least share of each kind, and what is left for late service and for those who come back.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "admission/arrival_rates.h"
#include "admission/capacity_snapshot.h"
#include "admission/granted_runs.h"
#include "admission/minimum_share.h"
#include "admission/queue_entry.h"
#include "base/time.h"

namespace covewing::admission {

/// The load at one moment; the same for all entries of a queue at one decision.
struct LoadSnapshot {
  LoadSnapshot(const ReplicaCapacity& source, base::TimePoint at) : capacity(source), now(at) {}

  /// Least part of the replica that is reckoned with for an urgency: more urgent requests ask for
  /// all of it only for moments.
  static constexpr double kMinimumAssumedShare = 0.1;

  /// Where the figures of an urgency stand; those of late requests stand last.
  static std::size_t indexOf(std::uint32_t urgency, bool late);

  CapacitySnapshot capacity;
  base::TimePoint now;
  /// Kept free for more urgent requests that are expected.
  std::array<FreeCapacity, ArrivalRates::kUrgencyLevels + 1> reserve{};
  /// Share of the replica that more urgent requests ask for, and that fresh ones of the urgency do.
  std::array<double, ArrivalRates::kUrgencyLevels + 1> demandAbove{};
  std::array<double, ArrivalRates::kUrgencyLevels + 1> firstAttemptDemand{};
  /// Share of the replica that requests in time have asked for over some seconds.
  double longTermDemand = 0.0;
};

class ReplicaLoad {
 public:
  explicit ReplicaLoad(base::Duration rateTimeConstant);

  /// A request that can be in time asked for room; `returned`: not for the first time.
  void onArrival(const QueueEntry& entry, bool retried, const LoadSnapshot& load);
  void onGrant(const QueueEntry& entry, const LoadSnapshot& load);
  /// The replica ended or was emptied: nothing runs.
  void clearRuns() { runs_.clear(); }
  /// Also forgets the runs that ended, by the number that the room tells.
  LoadSnapshot snapshot(const ReplicaCapacity& capacity, base::TimePoint now);
  /// When `need` is free if nothing more is granted.
  FutureCapacity whenFree(const FreeCapacity& need, const LoadSnapshot& load) const;
  /// Whether the request goes before more urgent ones by the least share of its kind.
  bool withinMinimumShare(const QueueEntry& entry, const LoadSnapshot& load) const;

 private:
  ArrivalRates rates_;
  /// Of requests that ask for the first time.
  ArrivalRates firstAttemptRates_;
  /// Over some seconds.
  ArrivalRates longTermRates_;
  std::array<MinimumShare, ArrivalRates::kUrgencyLevels> minimumShares_;
  GrantedRuns runs_;
};

}  // namespace covewing::admission
