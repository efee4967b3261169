/// \file
/// Which replicas are to be changed to new weights next, and how many at once.
///
/// Load that it answers: a version must be in force by a date, a change takes its replica away for
/// some seconds, callers need the others. An even pace loses the least: with `n` replicas, changes
/// of `c` seconds and `T` seconds until the date, `n * c / T` away at once leave as many replicas
/// to callers just before the date, when the older version still counts, as just after it. Slower,
/// and at the date all replicas that are left cease to count at once; faster, and more are away
/// before it than need be. The pace follows from what is left at each step, so that a step that
/// comes late, a replica that comes back and a change that takes longer are made up for evenly.
///
/// Where the work under way needs fewer replicas than there are, the spare ones change at once:
/// requests on an older version are worth less.
///
/// Decides only; keeps nothing but since when long runs go elsewhere.
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
  /// Most of a model's replicas that load at once, as a part of all; at least one may.
  double maximumLoading = 1.0 / 6;
  /// Most of a model's replicas that are away at once, whatever the date; at least one may be.
  double maximumUnavailable = 0.4;
  /// Room that is kept beyond what the work under way needs, as a part of that.
  double headroom = 0.25;
  /// What is left shortly before the date is spread over at least this.
  base::Duration minimumTime = std::chrono::milliseconds(500);
  /// Long runs have ended so long after replicas of newer weights began to take them.
  base::Duration longRunDrainTime = std::chrono::milliseconds(3000);
  /// Replicas that take long runs are changed nevertheless so long before the last moment.
  base::Duration longRunSlack = std::chrono::milliseconds(500);
  /// With fewer replicas long runs are not kept together.
  std::size_t minimumForLongRuns = 4;
};

/// What a step of the plan for one model rests on.
struct RolloutView {
  std::string model;
  const routing::WeightsTargetList& targets;
  /// The replicas of the model that can be reached.
  std::vector<routing::ReplicaRecordPtr> served{};
  /// Instances whose change has begun.
  std::set<std::string> started{};
  /// Those of them that are away from callers now and answer.
  std::size_t unavailable = 0;
  /// Others of them that have asked this node for rest: they serve callers as little.
  std::size_t backingOff = 0;
  /// Replicas that the work under way needs; 0 where it is not known.
  double needed = 0;
  /// Requests that a replica said lately it has; empty where it is not known.
  std::function<std::optional<std::uint32_t>(const std::string& instance)> requestCountOf{};
  /// How long changes last, as observed.
  base::Duration changeTime{};
  /// Versions before this one are forbidden.
  base::WeightsVersion oldestAllowed = 0;
  /// How many replicas long runs fill; none are kept together where 0.
  std::size_t longRunReplicas = 0;
  base::TimePoint now{};
};

/// A change that is to begin now.
struct PlannedChange {
  std::string instance;
  /// The replica's version is forbidden: it serves nobody, to change it costs nothing.
  bool versionForbidden = false;
};

struct RolloutStep {
  std::vector<PlannedChange> toStart;
  /// Replicas that may be away, and that may load, at once.
  std::size_t maximumUnavailable = 1;
  std::size_t maximumLoading = 1;
};

class RolloutPlan {
 public:
  explicit RolloutPlan(RolloutPlanOptions options = {}) : options_(options) {}

  RolloutStep next(const RolloutView& view);

 private:
  /// Replicas that must be away at once for each version to be in force in time.
  std::size_t unavailableNeeded(const RolloutView& view) const;
  std::size_t maximumUnavailableOf(const RolloutView& view) const;
  /// The replicas that are to be changed, in the order in which they are begun with.
  std::vector<routing::ReplicaRecordPtr> startOrder(const RolloutView& view) const;
  /// Replicas that may be away without callers missing them.
  std::size_t spareReplicas(const RolloutView& view) const;
  /// The replicas of older versions that still take long runs and have time.
  std::set<std::string> waitingForLongRuns(const RolloutView& view);
  /// Whether the long runs of a version's replicas have had the time to end, since at least as many
  /// `newer` replicas as these runs fill take the new ones, or can be waited for no longer.
  bool mayChangeLongRunReplicas(const RolloutView& view, base::WeightsVersion version,
                                std::size_t newer, std::size_t held);

  RolloutPlanOptions options_;
  /// Since when enough replicas of newer versions take a version's long runs, by model.
  std::map<std::pair<std::string, base::WeightsVersion>, base::TimePoint> takenOverSince_;
};

}  // namespace covewing::coordination
