// Which changes start, and which of the changes in progress occupy a load slot.
#include <algorithm>

#include "coordination/weights_rollout.h"
#include "routing/rate_pacer.h"

namespace covewing::coordination {

bool WeightsRollout::mustFlush(const std::string& model, base::WeightsVersion version) const {
  const auto before = environment_.clock.now() - options_.flushAfter;
  return version < environment_.targets.oldestAllowed(model, before);
}

bool WeightsRollout::unresponsive(const Change& change) const {
  // A replica that waits for a load slot is not polled.
  return change.phase != Phase::kAwaitingSlot &&
         environment_.clock.now() - change.lastResponseAt >
             options_.unresponsiveAfter + change.rateLimitPause;
}

base::Duration WeightsRollout::rateLimitPauseOf(const routing::ReplicaRecord& record) const {
  const auto interval = routing::RatePacer::intervalOf(record.notices().rateLimit().perSecond());
  return std::min(interval, options_.maximumRateLimitPause);
}

bool WeightsRollout::loadsAsCanary(const Change& change) const {
  const auto newest = environment_.targets.newest(change.model);
  if (!change.noneWaiting || !versionWatch_.untried(change.model, newest)) return false;
  // Replicas whose changes started at the same time have responded by the second report.
  const auto age = environment_.clock.now() - change.startedAt;
  if (age < options_.firstReportDelay + options_.reportInterval) return false;
  return std::ranges::none_of(changes_, [&](const auto& entry) {
    const Change& other = entry.second;
    return other.model == change.model && other.lastResponseAt > other.startedAt &&
           other.running < change.running;
  });
}

void WeightsRollout::onResponse(const std::string& instance, Change& change) {
  const auto now = environment_.clock.now();
  if (unresponsive(change) && change.phase == Phase::kDraining) {
    change.startedAt = now;
    environment_.changeListener.onReplicaChanging(instance);
  }
  change.lastResponseAt = now;
}

bool WeightsRollout::usable(const routing::ReplicaRecord& record) const {
  const auto& service = record.facts().service;
  const bool configured = !environment_.isConfigured || environment_.isConfigured(service);
  return configured && record.inService() && !record.mayBeReplaced(environment_.clock.now());
}

bool WeightsRollout::overdue(const Change& change) const {
  const auto now = environment_.clock.now();
  if (change.phase != Phase::kLoading) return false;
  // Reports lag behind and may still show the earlier state.
  const bool busy = now - change.lastBusyAt <= options_.loadTimeout;
  return now - change.orderedAt > (busy ? options_.busyTimeout : options_.loadTimeout);
}

double WeightsRollout::slotsInUse() const {
  double slots = 0;
  for (const auto& [instance, change] : changes_) {
    if (change.phase != Phase::kLoading || unresponsive(change)) continue;
    slots += change.running == 0 ? 1 : options_.slotShareWhileRunning;
  }
  return slots;
}

void WeightsRollout::startChanges(const std::string& model,
                                  const routing::WeightsTargetList& targets) {
  const auto now = environment_.clock.now();
  RolloutView view{.model = model, .targets = targets, .changeTime = changeTime_, .now = now};
  for (const auto& [instance, record] : environment_.directory.all()) {
    const bool reachable = !record->health().ejected(now) && !survey_.unresponsive(instance);
    if (record->versionOf(model) == 0 || !reachable || !usable(*record)) continue;
    view.replicas.push_back(record);
    if (record->notices().backingOff(now) && !changes_.contains(instance)) ++view.backingOff;
    if (record->versionOf(model) == targets.back().version)
      versionWatch_.onServed(model, targets.back().version);
  }
  for (const auto& [instance, change] : changes_) {
    view.started.insert(instance);
    view.unavailable += change.model == model && !unresponsive(change) ? 1 : 0;
  }
  view.oldestAllowed = environment_.targets.oldestAllowed(model, now);
  if (environment_.longRunReplicas && !view.replicas.empty())
    view.longRunReplicas = environment_.longRunReplicas(view.replicas.front()->facts().service);
  if (environment_.replicasInUse && !view.replicas.empty()) {
    const auto& service = view.replicas.front()->facts().service;
    capacity_.onDemand(model, environment_.replicasInUse(service), now);
    view.needed = capacity_.needed(model);
  }
  view.requestCountOf = [this](const std::string& instance) {
    return survey_.requestCount(instance);
  };
  if (versionWatch_.stopped(model, targets.back().version, now)) return;
  const auto step = plan_.next(view);
  surveyOutdated(model, targets.back().version);
  loadLimit_ = step.maximumLoading;
  for (const auto& [instance, versionForbidden] : step.toStart) {
    Change change;
    change.model = model;
    change.version = targets.back().version;
    change.startedAt = now;
    change.lastResponseAt = now;
    change.nextAt = versionForbidden ? now : now + options_.firstReportDelay;
    survey_.remove(instance);
    changes_.emplace(instance, change);
    environment_.changeListener.onReplicaChanging(instance);
  }
}

void WeightsRollout::surveyOutdated(const std::string& model, base::WeightsVersion newest) {
  std::vector<routing::ReplicaRecordPtr> outdated;
  for (const auto& [instance, record] : environment_.directory.all()) {
    const auto version = record->versionOf(model);
    if (usable(*record) && version != 0 && version < newest && !changes_.contains(instance))
      outdated.push_back(record);
  }
  survey_.poll(model, outdated);
}

}  // namespace covewing::coordination
