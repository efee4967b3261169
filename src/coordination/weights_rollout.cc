#include "coordination/weights_rollout.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace covewing::coordination {

WeightsRollout::WeightsRollout(WeightsRolloutOptions options, WeightsRolloutEnvironment environment,
                               GrantSource grant)
    : options_(options),
      environment_(std::move(environment)),
      grant_(std::move(grant)),
      plan_(options.plan),
      survey_(options.survey, environment_.clock, environment_.replicas),
      changeTime_(options.initialChangeTime) {}

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
  // Advancing a change may remove it, so the instances are copied first.
  std::vector<std::string> instances;
  for (const auto& [instance, change] : changes_) instances.push_back(instance);
  for (const auto& instance : instances) {
    if (Change* change = find(instance)) advance(instance, *change);
  }
  for (const auto& [model, targets] : environment_.targets.all()) startChanges(model, targets);
  timer_ = environment_.timers.schedule(options_.interval, [this] { tick(); });
}

void WeightsRollout::advance(const std::string& instance, Change& change) {
  const auto now = environment_.clock.now();
  const auto record = environment_.directory.find(instance);
  if (record == nullptr || record->terminated()) {
    ordersTaken_.erase(instance);
    return finishTerminated(instance, change);
  }
  // Weights loaded now would serve nobody, and another replica makes better use of the load slot.
  if (record->leaving() && change.phase != Phase::kLoading)
    return finish(instance, "the replica is leaving");
  // Its next run would count the order as one of its own.
  if (record->mayBeReplaced(now) && change.phase != Phase::kLoading)
    return finish(instance, "the replica may have restarted");
  // The replica list or a response may show the version before a report does.
  if (change.phase == Phase::kLoading && record->versionOf(change.model) >= change.version)
    return finishServed(instance, record->versionOf(change.model));
  if (overdue(change)) return finish(instance, "load not finished in time");
  const auto newest = environment_.targets.newest(change.model);
  if (change.phase != Phase::kLoading && versionWatch_.stopped(change.model, newest, now))
    return abandon(instance);
  change.rateLimitPause = rateLimitPauseOf(*record);
  if (change.callInFlight || now < change.nextAt) return;
  const bool flush =
      !change.noneWaiting && mustFlush(change.model, record->versionOf(change.model));
  const bool readyToOrder =
      change.phase == Phase::kAwaitingSlot || (flush && change.phase == Phase::kDraining);
  if (readyToOrder && ordersTaken_.contains(instance)) {
    if (!flush && !versionWatch_.mayOrder(change.model, newest, now)) return;
    const double share = change.running == 0 ? 1 : options_.slotShareWhileRunning;
    if (flush || slotsInUse() + share <= static_cast<double>(loadLimit_))
      sendOrder(instance, change);
  } else {
    requestReport(instance, change);
  }
}

void WeightsRollout::sendOrder(const std::string& instance, Change& change) {
  const auto grant = grant_();
  if (!grant) return;
  const auto now = environment_.clock.now();
  if (grant->token <= fencedToken_ && now < fencedUntil_) return;
  const auto record = environment_.directory.find(instance);
  change.version = environment_.targets.newest(change.model);
  change.phase = Phase::kLoading;
  change.lastResponseAt = now;
  change.callInFlight = true;
  change.orderedAt = now;
  change.accepted = false;
  versionWatch_.onOrdered(change.model, change.version, now);
  const auto expectedOrders = ordersTaken_.at(instance);
  const clients::WeightsOrder order{change.model, change.version, environment_.holder, grant->token,
                                    expectedOrders};
  environment_.log.write(base::Event::kOrderStarted,
                         {{"replica", instance},
                          {"model", change.model},
                          {"version", std::to_string(change.version)},
                          {"token", std::to_string(grant->token)},
                          {"expected_orders", std::to_string(expectedOrders)},
                          {"loading", std::to_string(std::lround(slotsInUse()))},
                          {"load_limit", std::to_string(loadLimit_)}});
  environment_.changeListener.onReplicaChanging(instance);
  environment_.replicas.order(
      routing::targetOf(record->facts()), order,
      [this, instance, alive = std::weak_ptr(lifetime_)](clients::WeightsOrderStatus status) {
        if (!alive.expired()) onOrderResponse(instance, status);
      });
}

void WeightsRollout::onOrderResponse(const std::string& instance,
                                     clients::WeightsOrderStatus status) {
  Change* change = find(instance);
  if (change == nullptr) return;
  const auto now = environment_.clock.now();
  change->callInFlight = false;
  const bool answered = status != clients::WeightsOrderStatus::kUnknown &&
                        status != clients::WeightsOrderStatus::kUnreachable;
  if (answered) change->lastResponseAt = now;
  environment_.log.write(base::Event::kOrderAnswered,
                         {{"replica", instance},
                          {"version", std::to_string(change->version)},
                          {"status", std::string{clients::toString(status)}},
                          {"after_ms", base::millisecondsText(now - change->orderedAt)}});
  switch (status) {
    case clients::WeightsOrderStatus::kAccepted:
      ++ordersTaken_[instance];
      change->accepted = true;
      change->nextAt = now + std::max(options_.loadReportDelay, change->rateLimitPause);
      return;
    case clients::WeightsOrderStatus::kInForce:
      change->nextAt = now;
      return;
    case clients::WeightsOrderStatus::kConflict:
    case clients::WeightsOrderStatus::kUnknown:
    case clients::WeightsOrderStatus::kUnreachable:
      // The next report shows whether the order was accepted, and how many orders were.
      ordersTaken_.erase(instance);
      change->nextAt = now + std::max(options_.reportInterval, change->rateLimitPause);
      return;
    case clients::WeightsOrderStatus::kFencedOff:
      environment_.log.write(base::Event::kOrderFenced, {{"replica", instance}});
      if (const auto grant = grant_()) fencedToken_ = grant->token;
      fencedUntil_ = now + options_.fencedBackOff;
      finish(instance, "fenced off");
      return;
    case clients::WeightsOrderStatus::kOtherInstance:
      if (const auto record = environment_.directory.find(instance)) record->setTerminated();
      [[fallthrough]];
    case clients::WeightsOrderStatus::kInvalid:
      finish(instance, "refused");
      return;
  }
}

void WeightsRollout::requestReport(const std::string& instance, Change& change) {
  const auto record = environment_.directory.find(instance);
  change.callInFlight = true;
  // Other nodes may reach a replica that is unresponsive to this one.
  if (!unresponsive(change)) environment_.changeListener.onReplicaChanging(instance);
  environment_.replicas.report(routing::targetOf(record->facts()), change.model,
                               [this, instance, alive = std::weak_ptr(lifetime_)](
                                   const std::optional<clients::WeightsReport>& report) {
                                 if (!alive.expired()) onReport(instance, report);
                               });
}

void WeightsRollout::onReport(const std::string& instance,
                              const std::optional<clients::WeightsReport>& report) {
  Change* change = find(instance);
  if (change == nullptr) return;
  change->callInFlight = false;
  const bool unresponsiveNow = !report && unresponsive(*change);
  const auto usual = unresponsiveNow ? options_.unresponsiveInterval : options_.reportInterval;
  change->nextAt = environment_.clock.now() + std::max(usual, change->rateLimitPause);
  if (!report) return;
  onResponse(instance, *change);
  change->running = report->running;
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
  const bool canary = loadsAsCanary(change);
  if (!idle && !flush && !canary && now - change.startedAt < options_.drainTimeout) return;
  change.phase = Phase::kAwaitingSlot;
  change.nextAt = now;
  advance(instance, change);
}

void WeightsRollout::onLoadReport(const std::string& instance, Change& change,
                                  const clients::WeightsReport& report) {
  const auto now = environment_.clock.now();
  if (report.busy) change.lastBusyAt = now;
  if (report.version >= change.version && !report.busy) {
    finishServed(instance, report.version);
    return;
  }
  // Reports lag behind: only one that is well younger than the order proves that the order was not
  // accepted.
  const bool stale = now - change.orderedAt < options_.orderRetryDelay;
  if (report.busy || stale) return;
  ordersTaken_[instance] = report.orders;
  change.phase = Phase::kAwaitingSlot;
  change.nextAt = now;
}

void WeightsRollout::finishTerminated(const std::string& instance, const Change& change) {
  // A replica that terminates for another reason has usually not accepted the order.
  const bool stopsVersion =
      change.accepted &&
      versionWatch_.onTerminated(change.model, change.version, environment_.clock.now());
  finish(instance, stopsVersion
                       ? "gone; replicas terminate while they load this version, so it is stopped"
                       : "gone");
}

void WeightsRollout::abandon(const std::string& instance) {
  const auto& model = changes_.at(instance).model;
  if (const auto record = environment_.directory.find(instance))
    environment_.changeListener.onReplicaServing(instance, model, record->versionOf(model));
  finish(instance, "the version is stopped");
}

void WeightsRollout::finishServed(const std::string& instance, base::WeightsVersion version) {
  versionWatch_.onServed(changes_.at(instance).model, version);
  environment_.changeListener.onReplicaServing(instance, changes_.at(instance).model, version);
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
        (std::min(now - change.startedAt, options_.maximumChangeTime) - changeTime_) / kSmoothing;
  }
  environment_.log.write(served ? base::Event::kOrderFinished : base::Event::kOrderFailed,
                         {{"replica", instance},
                          {"model", change.model},
                          {"version", std::to_string(change.version)},
                          {"outcome", std::string{outcome}},
                          {"after_ms", base::millisecondsText(now - change.startedAt)},
                          {"load_ms", base::millisecondsText(ordered ? now - change.orderedAt
                                                                     : base::Duration::zero())}});
}

}  // namespace covewing::coordination
