/// \file
/// Decides which replicas are to be changed to new weights next, and how many at once.
///
/// A version must be loaded by a deadline; each change makes its replica unavailable for some
/// seconds, and callers need the other replicas. An even rate costs the least capacity: with `n`
/// replicas, changes of `c` seconds and `T` seconds until the deadline, having `n * c / T` replicas
/// unavailable at once leaves callers as many replicas just before the deadline, when the older
/// version may still be used, as just after it. If changes are slower, all remaining replicas
/// become unusable at once at the deadline; if they are faster, more replicas than necessary are
/// unavailable before it. The rate is computed at each step from the remaining replicas, so that a
/// late step, a replica that returns and a change that takes longer are compensated evenly.
///
/// If the current load requires fewer replicas than there are, the spare ones are changed at once,
/// because requests on an older version are worth less.
///
/// The plan only decides. The only state it keeps is since when long-running requests are taken by
/// other replicas.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "routing/replica_directory.h"
#include "routing/weights_targets.h"

namespace covewing::coordination {

struct RolloutPlanOptions {
  /// Maximum share of a model's replicas that load at once; at least one may.
  double maximumLoading = 1.0 / 6;
  /// Maximum share of a model's replicas that are unavailable at once, whatever the deadline; at
  /// least one may be.
  double maximumUnavailable = 0.4;
  /// Spare capacity to keep beyond what the current load requires, as a fraction of that.
  double headroom = 0.25;
  /// The changes that remain shortly before the deadline are spread over at least this time.
  base::Duration minimumTime = std::chrono::milliseconds(500);
  /// Time after which long-running requests have ended, counted from when replicas of newer
  /// versions began to take them.
  base::Duration longRunDrainTime = std::chrono::milliseconds(3000);
  /// Replicas that take long-running requests are changed in any case this long before the last
  /// possible moment.
  base::Duration longRunSlack = std::chrono::milliseconds(500);
  /// With fewer replicas than this, long-running requests are not concentrated on some of them.
  std::size_t minimumForLongRuns = 4;
};

/// Inputs of one step of the plan for one model.
struct RolloutView {
  std::string model;
  const routing::WeightsTargetList& targets;
  /// Reachable replicas of the model.
  std::vector<routing::ReplicaRecordPtr> replicas{};
  /// Instances whose change has started.
  std::set<std::string> started{};
  /// Number of responsive replicas that are unavailable to callers because of a change.
  std::size_t unavailable = 0;
  /// Number of other replicas that have asked this node to back off: they do not serve its callers
  /// either.
  std::size_t backingOff = 0;
  /// Number of replicas required for the current load; 0 if unknown.
  double needed = 0;
  /// Returns the number of requests that the replica reported recently; empty if unknown.
  std::function<std::optional<std::uint32_t>(const std::string& instance)> requestCountOf{};
  /// Observed duration of a change.
  base::Duration changeTime{};
  /// Requests may not start on versions older than this one.
  base::WeightsVersion oldestAllowed = 0;
  /// Number of replicas that long-running requests fill; 0: they are not concentrated on some
  /// replicas.
  std::size_t longRunReplicas = 0;
  base::TimePoint now{};
};

/// A change that is to start now.
struct PlannedChange {
  std::string instance;
  /// Requests may no longer start on the replica's version: it serves nobody, so that changing it
  /// costs no capacity.
  bool versionForbidden = false;
};

struct RolloutStep {
  std::vector<PlannedChange> toStart;
  /// Maximum number of replicas that may be unavailable at once, and of those that may load at
  /// once.
  std::size_t maximumUnavailable = 1;
  std::size_t maximumLoading = 1;
};

class RolloutPlan {
 public:
  explicit RolloutPlan(RolloutPlanOptions options = {}) : options_(options) {}

  RolloutStep next(const RolloutView& view);

 private:
  /// Number of replicas that must be unavailable at once for each version to be loaded by its
  /// deadline.
  std::size_t unavailableNeeded(const RolloutView& view) const;
  std::size_t maximumUnavailableOf(const RolloutView& view) const;
  /// The replicas that are to be changed, in the order in which their changes start.
  std::vector<routing::ReplicaRecordPtr> startOrder(const RolloutView& view) const;
  /// Number of replicas that may be unavailable while the others still have the required capacity.
  std::size_t spareReplicas(const RolloutView& view) const;
  /// Replicas of older versions that still take long-running requests and whose deadline still
  /// allows waiting.
  std::set<std::string> waitingForLongRuns(const RolloutView& view);
  /// Whether the replicas of a version that take long-running requests may be changed: either these
  /// requests have had the time to end since at least `longRunReplicas` replicas of newer versions
  /// (`newer`) take the new ones, or the deadline does not allow waiting any longer. `held` is the
  /// number of replicas that wait.
  bool mayChangeLongRunReplicas(const RolloutView& view, base::WeightsVersion version,
                                std::size_t newer, std::size_t held);

  RolloutPlanOptions options_;
  /// Since when enough replicas of newer versions take the long-running requests of a version, by
  /// model and version.
  std::map<std::pair<std::string, base::WeightsVersion>, base::TimePoint> takenOverSince_;
};

}  // namespace covewing::coordination
