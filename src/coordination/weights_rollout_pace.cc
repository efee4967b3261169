// Which changes begin, and which of those that go on take a place.
#include <algorithm>

#include "coordination/weights_rollout.h"
#include "routing/rate_pacer.h"

namespace covewing::coordination {

bool WeightsRollout::mustFlush(const std::string& model, base::WeightsVersion version) const {
  const auto before = environment_.clock.now() - options_.flushAfter;
  return version < environment_.targets.oldestAllowed(model, before);
}

bool WeightsRollout::silent(const Change& change) const {
  // One that waits for a place to load is not asked.
  return change.phase != Phase::kPrepared &&
         environment_.clock.now() - change.heardAt > options_.silentAfter + change.limitedPause;
}

base::Duration WeightsRollout::limitedPauseOf(const routing::ReplicaRecord& record) const {
  const auto interval = routing::RatePacer::intervalOf(record.notices().rateLimit().perSecond());
  return std::min(interval, options_.longestLimitedPause);
}

bool WeightsRollout::loadsFirst(const Change& change) const {
  const auto newest = environment_.targets.newest(change.model);
  if (!change.noneWaiting || !versions_.untried(change.model, newest)) return false;
  // Those that were begun with at the same time have answered by the second report.
  const auto age = environment_.clock.now() - change.startedAt;
  if (age < options_.lead + options_.reportInterval) return false;
  return std::ranges::none_of(changes_, [&](const auto& entry) {
    const Change& other = entry.second;
    return other.model == change.model && other.heardAt > other.startedAt &&
           other.running < change.running;
  });
}

void WeightsRollout::onHeard(const std::string& instance, Change& change) {
  const auto now = environment_.clock.now();
  if (silent(change) && change.phase == Phase::kDraining) {
    change.startedAt = now;
    environment_.news.onReplicaChanging(instance);
  }
  change.heardAt = now;
}

bool WeightsRollout::usable(const routing::ReplicaRecord& record) const {
  const auto& service = record.facts().service;
  const bool configured = !environment_.isConfigured || environment_.isConfigured(service);
  return configured && record.inService();
}

bool WeightsRollout::overdue(const Change& change) const {
  const auto now = environment_.clock.now();
  if (change.phase != Phase::kLoading) return false;
  // Reports may show for a while what was before.
  const bool busy = now - change.busyAt <= options_.giveUp;
  return now - change.orderedAt > (busy ? options_.longestBusy : options_.giveUp);
}

double WeightsRollout::loading() const {
  double places = 0;
  for (const auto& [instance, change] : changes_) {
    if (change.phase != Phase::kLoading || silent(change)) continue;
    places += change.running == 0 ? 1 : options_.shareWhileRunning;
  }
  return places;
}

void WeightsRollout::begin(const std::string& model, const routing::WeightsTargetList& targets) {
  const auto now = environment_.clock.now();
  RolloutView view{.model = model, .targets = targets, .changeTime = changeTime_, .now = now};
  for (const auto& [instance, record] : environment_.directory.all()) {
    const bool reachable = !record->health().ejected(now) && !survey_.silent(instance);
    if (record->versionOf(model) == 0 || !reachable || !usable(*record)) continue;
    view.served.push_back(record);
    if (record->notices().backingOff(now) && !changes_.contains(instance)) ++view.resting;
    if (record->versionOf(model) == targets.back().version)
      versions_.onServed(model, targets.back().version);
  }
  for (const auto& [instance, change] : changes_) {
    view.begun.insert(instance);
    view.away += change.model == model && !silent(change) ? 1 : 0;
  }
  view.oldestAllowed = environment_.targets.oldestAllowed(model, now);
  if (environment_.longRunReplicas && !view.served.empty())
    view.longRunReplicas = environment_.longRunReplicas(view.served.front()->facts().service);
  if (environment_.replicasInUse && !view.served.empty()) {
    const auto& service = view.served.front()->facts().service;
    capacity_.onDemand(model, environment_.replicasInUse(service), now);
    view.needed = capacity_.needed(model);
  }
  view.requestsAt = [this](const std::string& instance) { return survey_.requests(instance); };
  if (versions_.stopped(model, targets.back().version, now)) return;
  const auto step = plan_.next(view);
  ask(model, targets.back().version);
  loadLimit_ = step.mostLoading;
  for (const auto& [instance, unused] : step.begin) {
    Change change;
    change.model = model;
    change.version = targets.back().version;
    change.startedAt = now;
    change.heardAt = now;
    change.nextAt = unused ? now : now + options_.lead;
    survey_.forget(instance);
    changes_.emplace(instance, change);
    environment_.news.onReplicaChanging(instance);
  }
}

void WeightsRollout::ask(const std::string& model, base::WeightsVersion newest) {
  std::vector<routing::ReplicaRecordPtr> outdated;
  for (const auto& [instance, record] : environment_.directory.all()) {
    const auto version = record->versionOf(model);
    if (usable(*record) && version != 0 && version < newest && !changes_.contains(instance))
      outdated.push_back(record);
  }
  survey_.step(model, outdated);
}

}  // namespace covewing::coordination
