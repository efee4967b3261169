#include "coordination/rollout_plan.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>
#include <utility>

#include "coordination/capacity_account.h"
#include "routing/replica_selector.h"

namespace covewing::coordination {

std::size_t RolloutPlan::maximumUnavailableOf(const RolloutView& view) const {
  const double maximum = static_cast<double>(view.replicas.size()) * options_.maximumUnavailable;
  return std::max<std::size_t>(1, static_cast<std::size_t>(maximum));
}

std::size_t RolloutPlan::unavailableNeeded(const RolloutView& view) const {
  double perSecond = 0;
  for (const auto& target : view.targets) {
    const auto left = std::ranges::count_if(view.replicas, [&](const auto& record) {
      return record->versionOf(view.model) < target.version &&
             !view.started.contains(record->facts().instance);
    });
    const auto time = std::max(target.olderForbiddenFrom - view.now, options_.minimumTime);
    perSecond = std::max(perSecond, static_cast<double>(left) / base::toSeconds(time));
  }
  const double needed = std::ceil(perSecond * base::toSeconds(view.changeTime));
  return std::min(static_cast<std::size_t>(needed), maximumUnavailableOf(view));
}

std::size_t RolloutPlan::spareReplicas(const RolloutView& view) const {
  if (view.needed <= 0) return 0;
  FleetCapacity capacity;
  capacity.changing = view.unavailable;
  capacity.serving =
      view.replicas.size() - std::min(view.replicas.size(), view.unavailable + view.backingOff);
  capacity.needed = view.needed;
  return std::min(capacity.spareReplicas(options_.headroom), maximumUnavailableOf(view));
}

bool RolloutPlan::mayChangeLongRunReplicas(const RolloutView& view, base::WeightsVersion version,
                                           std::size_t newer, std::size_t held) {
  const std::pair key{view.model, version};
  if (newer < view.longRunReplicas) {
    takenOverSince_.erase(key);
  } else {
    takenOverSince_.try_emplace(key, view.now);
  }
  const auto since = takenOverSince_.find(key);
  if (since != takenOverSince_.end() && view.now - since->second >= options_.longRunDrainTime)
    return true;
  const auto due = std::ranges::find_if(
      view.targets, [version](const auto& target) { return target.version > version; });
  // The maximum number of unavailable replicas change in one batch.
  const auto batches = std::max<std::size_t>(
      1, (held + maximumUnavailableOf(view) - 1) / maximumUnavailableOf(view));
  return due != view.targets.end() &&
         due->olderForbiddenFrom - view.now <=
             view.changeTime * static_cast<std::int64_t>(batches) + options_.longRunSlack;
}

std::set<std::string> RolloutPlan::waitingForLongRuns(const RolloutView& view) {
  std::set<std::string> waiting;
  if (view.longRunReplicas == 0 || view.replicas.size() < options_.minimumForLongRuns)
    return waiting;
  // The newest version first; within one version, the replicas that take long-running requests come
  // first.
  auto ranked = view.replicas;
  std::ranges::sort(ranked, [&view](const auto& left, const auto& right) {
    return routing::takesLongRunsBefore(view.model, *left, *right);
  });
  std::size_t newer = 0;
  for (auto first = ranked.begin(); first != ranked.end();) {
    const auto version = (*first)->versionOf(view.model);
    const auto end = std::find_if(first, ranked.end(), [&](const auto& record) {
      return record->versionOf(view.model) != version;
    });
    const auto count = static_cast<std::size_t>(end - first);
    const auto held = std::min(count, view.longRunReplicas);
    if (version < view.targets.back().version &&
        !mayChangeLongRunReplicas(view, version, newer, held)) {
      for (std::size_t index = 0; index < held; ++index)
        waiting.insert(first[static_cast<std::ptrdiff_t>(index)]->facts().instance);
    }
    newer += count;
    first = end;
  }
  return waiting;
}

std::vector<routing::ReplicaRecordPtr> RolloutPlan::startOrder(const RolloutView& view) const {
  std::vector<routing::ReplicaRecordPtr> outdated;
  std::ranges::copy_if(view.replicas, std::back_inserter(outdated), [&](const auto& record) {
    return record->versionOf(view.model) < view.targets.back().version &&
           !view.started.contains(record->facts().instance);
  });
  // Within one version, the replicas that take long-running requests come last, so that these
  // requests end while other replicas take the new ones.
  std::ranges::stable_sort(outdated, [&view](const auto& left, const auto& right) {
    return routing::takesLongRunsBefore(view.model, *right, *left);
  });
  if (!view.requestCountOf) return outdated;
  // Replicas of the oldest version come first, because their deadline is the earliest. Within one
  // version, those with the fewest requests come first, because they drain soonest; replicas whose
  // number of requests is unknown come last.
  constexpr auto kUnknown = std::numeric_limits<std::uint32_t>::max();
  std::ranges::stable_sort(outdated, {}, [&](const auto& record) {
    return std::pair{record->versionOf(view.model),
                     view.requestCountOf(record->facts().instance).value_or(kUnknown)};
  });
  return outdated;
}

RolloutStep RolloutPlan::next(const RolloutView& view) {
  RolloutStep step;
  step.maximumUnavailable = std::max(unavailableNeeded(view), spareReplicas(view));
  const double loading =
      std::ceil(static_cast<double>(view.replicas.size()) * options_.maximumLoading);
  step.maximumLoading = std::max<std::size_t>(1, static_cast<std::size_t>(loading));

  const auto waiting = waitingForLongRuns(view);
  std::size_t unavailable = view.unavailable;
  for (const auto& record : startOrder(view)) {
    const auto& instance = record->facts().instance;
    const bool versionForbidden = record->versionOf(view.model) < view.oldestAllowed;
    if (!versionForbidden && (unavailable >= step.maximumUnavailable || waiting.contains(instance)))
      continue;
    step.toStart.push_back({instance, versionForbidden});
    ++unavailable;
  }
  return step;
}

}  // namespace covewing::coordination
