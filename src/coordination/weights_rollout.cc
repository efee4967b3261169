#include "coordination/weights_rollout.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

#include "routing/replica_choice.h"

namespace covewing::coordination {

WeightsRollout::WeightsRollout(WeightsRolloutOptions options, WeightsRolloutEnvironment environment,
                               Grant grant)
    : options_(options),
      environment_(std::move(environment)),
      grant_(std::move(grant)),
      changeTime_(options.firstChange) {}

WeightsRollout::~WeightsRollout() { environment_.timers.cancel(timer_); }

void WeightsRollout::start() {
  running_ = true;
  tick();
}

void WeightsRollout::stop() {
  running_ = false;
  changes_.clear();
  environment_.timers.cancel(timer_);
}

WeightsRollout::Change* WeightsRollout::find(const std::string& instance) {
  const auto found = changes_.find(instance);
  return found == changes_.end() ? nullptr : &found->second;
}

void WeightsRollout::tick() {
  if (!running_) return;
  // A step may end its change, so the instances are copied first.
  std::vector<std::string> instances;
  for (const auto& [instance, change] : changes_) instances.push_back(instance);
  for (const auto& instance : instances) {
    if (Change* change = find(instance)) advance(instance, *change);
  }
  for (const auto& [model, targets] : environment_.targets.all()) begin(model, targets);
  timer_ = environment_.timers.schedule(options_.interval, [this] { tick(); });
}

std::size_t WeightsRollout::changesNeeded(const std::vector<base::WeightsVersion>& served,
                                          const routing::WeightsTargetList& targets) const {
  constexpr base::Duration kLeastTime = std::chrono::milliseconds(500);
  const auto now = environment_.clock.now();
  double perSecond = 0;
  for (const auto& target : targets) {
    const auto outdated = std::ranges::count_if(
        served, [&target](base::WeightsVersion version) { return version < target.version; });
    // The last change must have begun one change's time before the end.
    const auto time = std::max(target.olderForbiddenFrom - now - changeTime_, kLeastTime);
    perSecond = std::max(perSecond, static_cast<double>(outdated) / base::toSeconds(time));
  }
  const double needed = std::ceil(perSecond * base::toSeconds(changeTime_));
  const double most = std::max(1.0, static_cast<double>(served.size()) * options_.mostAway);
  return static_cast<std::size_t>(std::min(needed, most));
}

bool WeightsRollout::mustFlush(const std::string& model, base::WeightsVersion version) const {
  const auto before = environment_.clock.now() - options_.flushAfter;
  return version < environment_.targets.oldestAllowed(model, before);
}

std::size_t WeightsRollout::loading() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      changes_, [](const auto& entry) { return entry.second.phase == Phase::kLoading; }));
}

bool WeightsRollout::relieved(const std::string& model, base::WeightsVersion version,
                              const routing::WeightsTargetList& targets, std::size_t newer,
                              std::size_t wanted) {
  const auto now = environment_.clock.now();
  const std::pair key{model, version};
  if (newer < wanted) {
    relievedSince_.erase(key);
  } else {
    relievedSince_.try_emplace(key, now);
  }
  const auto since = relievedSince_.find(key);
  if (since != relievedSince_.end() && now - since->second >= options_.longRunsEnd) return true;
  const auto due = std::ranges::find_if(
      targets, [version](const auto& target) { return target.version > version; });
  return due != targets.end() &&
         due->olderForbiddenFrom - now <= changeTime_ + options_.longRunSlack;
}

std::set<std::string> WeightsRollout::waitingForLongRuns(
    const std::string& model, const routing::WeightsTargetList& targets,
    std::vector<routing::ReplicaRecordPtr> served) {
  std::set<std::string> waiting;
  if (!environment_.longRunReplicas || served.size() < options_.leastForLongRuns) return waiting;
  const auto wanted = environment_.longRunReplicas(served.front()->facts().service);
  // The newest first; of one version, those that take the long runs first.
  std::ranges::sort(served, [&model](const auto& left, const auto& right) {
    return routing::takesLongRunsBefore(model, *left, *right);
  });
  std::size_t newer = 0;
  for (auto first = served.begin(); first != served.end();) {
    const auto version = (*first)->versionOf(model);
    const auto end = std::find_if(first, served.end(), [&](const auto& record) {
      return record->versionOf(model) != version;
    });
    const auto count = static_cast<std::size_t>(end - first);
    if (version < targets.back().version && !relieved(model, version, targets, newer, wanted)) {
      for (std::size_t index = 0; index < std::min(count, wanted); ++index)
        waiting.insert(first[static_cast<std::ptrdiff_t>(index)]->facts().instance);
    }
    newer += count;
    first = end;
  }
  return waiting;
}

void WeightsRollout::begin(const std::string& model, const routing::WeightsTargetList& targets) {
  const auto now = environment_.clock.now();
  std::vector<routing::ReplicaRecordPtr> outdated;
  std::vector<base::WeightsVersion> served;
  std::vector<routing::ReplicaRecordPtr> servedBy;
  for (const auto& [instance, record] : environment_.directory.all()) {
    const auto version = record->versionOf(model);
    const bool reachable = !record->gone() && !record->health().ejected(now);
    if (version == 0 || !reachable || record->facts().state != routing::ReplicaState::kReady)
      continue;
    served.push_back(version);
    servedBy.push_back(record);
    if (version < targets.back().version && !changes_.contains(instance))
      outdated.push_back(record);
  }
  const auto atOnce = changesNeeded(served, targets);
  const double most = std::ceil(static_cast<double>(served.size()) * options_.mostLoading);
  loadLimit_ = std::max<std::size_t>(1, static_cast<std::size_t>(most));
  // The oldest first: they are due first. Of these, the replicas that take long runs come last, so
  // that these runs end while others take the new ones.
  std::ranges::stable_sort(outdated, [&model](const auto& left, const auto& right) {
    return routing::takesLongRunsBefore(model, *right, *left);
  });
  const auto allowed = environment_.targets.oldestAllowed(model, now);
  const auto waiting = waitingForLongRuns(model, targets, std::move(servedBy));
  for (const auto& record : outdated) {
    if (waiting.contains(record->facts().instance)) continue;
    // A replica whose version is forbidden serves nobody: to change it costs nothing.
    const bool unused = record->versionOf(model) < allowed;
    if (changes_.size() >= atOnce && !unused) continue;
    const auto& instance = record->facts().instance;
    Change change;
    change.model = model;
    change.version = targets.back().version;
    change.startedAt = now;
    change.nextAt = unused ? now : now + options_.lead;
    changes_.emplace(instance, change);
    environment_.news.onChanging(instance);
  }
}

void WeightsRollout::advance(const std::string& instance, Change& change) {
  const auto now = environment_.clock.now();
  const auto record = environment_.directory.find(instance);
  if (record == nullptr) {
    ordersTaken_.erase(instance);
    return finish(instance, "gone");
  }
  // The list or an answer may show the version before a report does.
  if (change.phase == Phase::kLoading && record->versionOf(change.model) >= change.version)
    return finishServed(instance, record->versionOf(change.model));
  const bool waiting = change.phase == Phase::kPrepared;
  const auto since = change.phase == Phase::kLoading ? change.orderedAt : change.startedAt;
  if (!waiting && now - since > options_.giveUp) return finish(instance, "not done in time");
  if (change.callUnderWay || now < change.nextAt) return;
  const bool flush =
      !change.noneWaiting && mustFlush(change.model, record->versionOf(change.model));
  const bool prepared =
      change.phase == Phase::kPrepared || (flush && change.phase == Phase::kDraining);
  if (prepared && ordersTaken_.contains(instance)) {
    if (flush || loading() < loadLimit_) order(instance, change);
  } else {
    askReport(instance, change);
  }
}

void WeightsRollout::order(const std::string& instance, Change& change) {
  const auto grant = grant_();
  if (!grant) return;
  const auto now = environment_.clock.now();
  if (grant->token <= fencedToken_ && now < fencedUntil_) return;
  const auto record = environment_.directory.find(instance);
  change.version = environment_.targets.newest(change.model);
  change.phase = Phase::kLoading;
  change.callUnderWay = true;
  change.orderedAt = now;
  const auto expectedOrders = ordersTaken_.at(instance);
  const clients::WeightsOrder order{change.model, change.version, environment_.holder, grant->token,
                                    expectedOrders};
  environment_.log.write(base::Event::kOrderStarted,
                         {{"replica", instance},
                          {"model", change.model},
                          {"version", std::to_string(change.version)},
                          {"token", std::to_string(grant->token)},
                          {"expected_orders", std::to_string(expectedOrders)},
                          {"loading", std::to_string(loading())},
                          {"load_limit", std::to_string(loadLimit_)}});
  environment_.news.onChanging(instance);
  environment_.replicas.order(
      record->facts().endpoint, instance, order,
      [this, instance, alive = std::weak_ptr(lifetime_)](clients::WeightsOrderStatus status) {
        if (!alive.expired()) onOrdered(instance, status);
      });
}

void WeightsRollout::onOrdered(const std::string& instance, clients::WeightsOrderStatus status) {
  Change* change = find(instance);
  if (change == nullptr) return;
  const auto now = environment_.clock.now();
  change->callUnderWay = false;
  environment_.log.write(
      base::Event::kOrderAnswered,
      {{"replica", instance},
       {"version", std::to_string(change->version)},
       {"status", std::string{clients::toString(status)}},
       {"after_ms", std::to_string((now - change->orderedAt) / std::chrono::milliseconds(1))}});
  switch (status) {
    case clients::WeightsOrderStatus::kAccepted:
      ++ordersTaken_[instance];
      change->nextAt = now + options_.loadLead;
      return;
    case clients::WeightsOrderStatus::kInForce:
      change->nextAt = now;
      return;
    case clients::WeightsOrderStatus::kConflict:
    case clients::WeightsOrderStatus::kUnknown:
    case clients::WeightsOrderStatus::kUnreachable:
      // A report tells whether it was taken, and how many were.
      ordersTaken_.erase(instance);
      change->nextAt = now + options_.reportInterval;
      return;
    case clients::WeightsOrderStatus::kFencedOff:
      environment_.log.write(base::Event::kOrderFenced, {{"replica", instance}});
      if (const auto grant = grant_()) fencedToken_ = grant->token;
      fencedUntil_ = now + options_.fencedPause;
      finish(instance, "fenced off");
      return;
    case clients::WeightsOrderStatus::kOtherInstance:
      if (const auto record = environment_.directory.find(instance)) record->setGone();
      [[fallthrough]];
    case clients::WeightsOrderStatus::kInvalid:
      finish(instance, "refused");
      return;
  }
}

void WeightsRollout::askReport(const std::string& instance, Change& change) {
  const auto record = environment_.directory.find(instance);
  change.callUnderWay = true;
  environment_.news.onChanging(instance);
  environment_.replicas.report(record->facts().endpoint, instance, change.model,
                               [this, instance, alive = std::weak_ptr(lifetime_)](
                                   const std::optional<clients::WeightsReport>& report) {
                                 if (!alive.expired()) onReport(instance, report);
                               });
}

void WeightsRollout::onReport(const std::string& instance,
                              const std::optional<clients::WeightsReport>& report) {
  Change* change = find(instance);
  if (change == nullptr) return;
  change->callUnderWay = false;
  change->nextAt = environment_.clock.now() + options_.reportInterval;
  if (!report) return;
  if (change->phase == Phase::kLoading) {
    onLoadReport(instance, *change, *report);
  } else {
    onDrainReport(instance, *change, *report);
  }
}

void WeightsRollout::onDrainReport(const std::string& instance, Change& change,
                                   const clients::WeightsReport& report) {
  const auto now = environment_.clock.now();
  ordersTaken_[instance] = report.orders;
  change.noneWaiting = report.waiting == 0;
  const bool idle = report.running == 0 && report.waiting == 0 && !report.busy;
  const auto record = environment_.directory.find(instance);
  const bool flush =
      !change.noneWaiting && record && mustFlush(change.model, record->versionOf(change.model));
  if (!idle && !flush && now - change.startedAt < options_.longestDrain) return;
  change.phase = Phase::kPrepared;
  change.nextAt = now;
  advance(instance, change);
}

void WeightsRollout::onLoadReport(const std::string& instance, Change& change,
                                  const clients::WeightsReport& report) {
  const auto now = environment_.clock.now();
  if (report.version >= change.version && !report.busy) {
    finishServed(instance, report.version);
    return;
  }
  // Reports lag: only one that is well younger than the order shows that it was not taken.
  const bool overdue = now - change.orderedAt >= options_.repeatOrder;
  if (report.busy || !overdue) return;
  ordersTaken_[instance] = report.orders;
  change.phase = Phase::kPrepared;
  change.nextAt = now;
}

void WeightsRollout::finishServed(const std::string& instance, base::WeightsVersion version) {
  environment_.news.onChanged(instance, changes_.at(instance).model, version);
  finish(instance, "served");
}

void WeightsRollout::finish(const std::string& instance, std::string_view outcome) {
  const auto found = changes_.find(instance);
  if (found == changes_.end()) return;
  const Change change = found->second;
  changes_.erase(found);
  const auto now = environment_.clock.now();
  const bool served = outcome == "served";
  const bool ordered = change.orderedAt != base::TimePoint{};
  if (served) {
    constexpr int kSmoothing = 4;
    changeTime_ +=
        (std::min(now - change.startedAt, options_.longestChange) - changeTime_) / kSmoothing;
  }
  const auto milliseconds = [](base::Duration duration) {
    return std::to_string(duration / std::chrono::milliseconds(1));
  };
  environment_.log.write(
      served ? base::Event::kOrderFinished : base::Event::kOrderFailed,
      {{"replica", instance},
       {"model", change.model},
       {"version", std::to_string(change.version)},
       {"outcome", std::string{outcome}},
       {"after_ms", milliseconds(now - change.startedAt)},
       {"load_ms", milliseconds(ordered ? now - change.orderedAt : base::Duration::zero())}});
}

}  // namespace covewing::coordination
