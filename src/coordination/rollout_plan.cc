#include "coordination/rollout_plan.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>
#include <utility>

#include "coordination/capacity_account.h"
#include "routing/replica_selector.h"

namespace covewing::coordination {

std::size_t RolloutPlan::mostAwayOf(const RolloutView& view) const {
  const double most = static_cast<double>(view.served.size()) * options_.mostAway;
  return std::max<std::size_t>(1, static_cast<std::size_t>(most));
}

std::size_t RolloutPlan::awayNeeded(const RolloutView& view) const {
  double perSecond = 0;
  for (const auto& target : view.targets) {
    const auto left = std::ranges::count_if(view.served, [&](const auto& record) {
      return record->versionOf(view.model) < target.version &&
             !view.begun.contains(record->facts().instance);
    });
    const auto time = std::max(target.olderForbiddenFrom - view.now, options_.leastTime);
    perSecond = std::max(perSecond, static_cast<double>(left) / base::toSeconds(time));
  }
  const double needed = std::ceil(perSecond * base::toSeconds(view.changeTime));
  return std::min(static_cast<std::size_t>(needed), mostAwayOf(view));
}

std::size_t RolloutPlan::spare(const RolloutView& view) const {
  if (view.needed <= 0) return 0;
  FleetRoom room;
  room.changing = view.away;
  room.serving = view.served.size() - std::min(view.served.size(), view.away + view.resting);
  room.needed = view.needed;
  return std::min(room.spare(options_.headroom), mostAwayOf(view));
}

bool RolloutPlan::relieved(const RolloutView& view, base::WeightsVersion version, std::size_t newer,
                           std::size_t held) {
  const std::pair key{view.model, version};
  if (newer < view.longRunReplicas) {
    relievedSince_.erase(key);
  } else {
    relievedSince_.try_emplace(key, view.now);
  }
  const auto since = relievedSince_.find(key);
  if (since != relievedSince_.end() && view.now - since->second >= options_.longRunsEnd)
    return true;
  const auto due = std::ranges::find_if(
      view.targets, [version](const auto& target) { return target.version > version; });
  // As many as may be away change in one turn.
  const auto turns = std::max<std::size_t>(1, (held + mostAwayOf(view) - 1) / mostAwayOf(view));
  return due != view.targets.end() &&
         due->olderForbiddenFrom - view.now <=
             view.changeTime * static_cast<std::int64_t>(turns) + options_.longRunSlack;
}

std::set<std::string> RolloutPlan::waitingForLongRuns(const RolloutView& view) {
  std::set<std::string> waiting;
  if (view.longRunReplicas == 0 || view.served.size() < options_.leastForLongRuns) return waiting;
  // The newest first; of one version, those that take the long runs first.
  auto served = view.served;
  std::ranges::sort(served, [&view](const auto& left, const auto& right) {
    return routing::takesLongRunsBefore(view.model, *left, *right);
  });
  std::size_t newer = 0;
  for (auto first = served.begin(); first != served.end();) {
    const auto version = (*first)->versionOf(view.model);
    const auto end = std::find_if(first, served.end(), [&](const auto& record) {
      return record->versionOf(view.model) != version;
    });
    const auto count = static_cast<std::size_t>(end - first);
    const auto held = std::min(count, view.longRunReplicas);
    if (version < view.targets.back().version && !relieved(view, version, newer, held)) {
      for (std::size_t index = 0; index < held; ++index)
        waiting.insert(first[static_cast<std::ptrdiff_t>(index)]->facts().instance);
    }
    newer += count;
    first = end;
  }
  return waiting;
}

std::vector<routing::ReplicaRecordPtr> RolloutPlan::inOrder(const RolloutView& view) const {
  std::vector<routing::ReplicaRecordPtr> outdated;
  std::ranges::copy_if(view.served, std::back_inserter(outdated), [&](const auto& record) {
    return record->versionOf(view.model) < view.targets.back().version &&
           !view.begun.contains(record->facts().instance);
  });
  // Of one version, the replicas that take long runs come last, so that these runs end while others
  // take the new ones.
  std::ranges::stable_sort(outdated, [&view](const auto& left, const auto& right) {
    return routing::takesLongRunsBefore(view.model, *right, *left);
  });
  if (!view.requestsAt) return outdated;
  // The oldest first: they are due first. Of these, those with the fewest requests, which are rid
  // of them the soonest; what is not known comes after what is.
  constexpr auto kUnknown = std::numeric_limits<std::uint32_t>::max();
  std::ranges::stable_sort(outdated, {}, [&](const auto& record) {
    return std::pair{record->versionOf(view.model),
                     view.requestsAt(record->facts().instance).value_or(kUnknown)};
  });
  return outdated;
}

RolloutStep RolloutPlan::next(const RolloutView& view) {
  RolloutStep step;
  step.mostAway = std::max(awayNeeded(view), spare(view));
  const double loading = std::ceil(static_cast<double>(view.served.size()) * options_.mostLoading);
  step.mostLoading = std::max<std::size_t>(1, static_cast<std::size_t>(loading));

  const auto waiting = waitingForLongRuns(view);
  std::size_t away = view.away;
  for (const auto& record : inOrder(view)) {
    const auto& instance = record->facts().instance;
    const bool unused = record->versionOf(view.model) < view.oldestAllowed;
    if (!unused && (away >= step.mostAway || waiting.contains(instance))) continue;
    step.begin.push_back({instance, unused});
    ++away;
  }
  return step;
}

}  // namespace covewing::coordination
