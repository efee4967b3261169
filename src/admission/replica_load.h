/// \file
/// Load of one replica as seen by its home node: the demand by urgency level, and the granted
/// requests that are presumed to be running. The capacity reserved for expected requests of more
/// urgent levels, the minimum share of each level, and the capacity left for late requests and for
/// retries are derived from it.
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

/// Load at one moment; the same for all entries of a queue within one decision.
struct LoadSnapshot {
  LoadSnapshot(const ReplicaCapacity& source, base::TimePoint at) : capacity(source), now(at) {}

  /// Minimum share of the replica that is assumed to be available to an urgency level: more urgent
  /// levels demand all of it only briefly.
  static constexpr double kMinimumAssumedShare = 0.1;

  /// Index of the values of an urgency level; those of late requests come last.
  static std::size_t indexOf(std::uint32_t urgency, bool late);

  CapacitySnapshot capacity;
  base::TimePoint now;
  /// Reserved for expected requests of more urgent levels.
  std::array<FreeCapacity, ArrivalRates::kUrgencyLevels + 1> reserve{};
  /// Share of the replica demanded by more urgent levels, and by first attempts of the level
  /// itself.
  std::array<double, ArrivalRates::kUrgencyLevels + 1> demandAbove{};
  std::array<double, ArrivalRates::kUrgencyLevels + 1> firstAttemptDemand{};
  /// Share of the replica demanded over some seconds by requests that can be on time.
  double longTermDemand = 0.0;
};

class ReplicaLoad {
 public:
  explicit ReplicaLoad(base::Duration rateTimeConstant);

  /// Records a request for capacity that can still be on time; `retried` if this is not its first
  /// attempt.
  void onArrival(const QueueEntry& entry, bool retried, const LoadSnapshot& load);
  void onGrant(const QueueEntry& entry, const LoadSnapshot& load);
  /// The replica ended or was emptied: nothing runs on it.
  void clearRuns() { runs_.clear(); }
  /// Also drops the runs that ended, based on the number of slots that `capacity` reports as in
  /// use.
  LoadSnapshot snapshot(const ReplicaCapacity& capacity, base::TimePoint now);
  /// When `need` will be available if nothing more is granted.
  FutureCapacity whenFree(const FreeCapacity& need, const LoadSnapshot& load) const;
  /// Whether the minimum share of its urgency level lets the request precede more urgent ones.
  bool withinMinimumShare(const QueueEntry& entry, const LoadSnapshot& load) const;

 private:
  ArrivalRates rates_;
  /// Rates of first attempts only.
  ArrivalRates firstAttemptRates_;
  /// Rates averaged over some seconds.
  ArrivalRates longTermRates_;
  std::array<MinimumShare, ArrivalRates::kUrgencyLevels> minimumShares_;
  GrantedRuns runs_;
};

}  // namespace covewing::admission
