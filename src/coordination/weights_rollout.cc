#include "coordination/weights_rollout.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace covewing::coordination {

WeightsRollout::WeightsRollout(WeightsRolloutOptions options, WeightsRolloutEnvironment environment,
                               Grant grant)
    : options_(options),
      environment_(std::move(environment)),
      grant_(std::move(grant)),
      cycle_(options.firstCycle) {}

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
  const auto now = environment_.clock.now();
  double needed = 0;
  for (const auto& target : targets) {
    const auto outdated = std::ranges::count_if(
        served, [&target](base::WeightsVersion version) { return version < target.version; });
    // The last change must have begun one cycle before the end.
    const auto time = std::max(target.olderForbiddenFrom - now - cycle_ / 2, cycle_ / 2);
    needed = std::max(
        needed, static_cast<double>(outdated) * base::toSeconds(cycle_) / base::toSeconds(time));
  }
  const auto most = std::max<std::size_t>(
      1, static_cast<std::size_t>(static_cast<double>(served.size()) * options_.mostShare));
  return std::min(most, static_cast<std::size_t>(std::ceil(needed)));
}

void WeightsRollout::begin(const std::string& model, const routing::WeightsTargetList& targets) {
  std::vector<routing::ReplicaRecordPtr> outdated;
  std::vector<base::WeightsVersion> served;
  for (const auto& [instance, record] : environment_.directory.all()) {
    const auto version = record->versionOf(model);
    if (version == 0 || record->facts().state != routing::ReplicaState::kReady) continue;
    served.push_back(version);
    if (version < targets.back().version && !changes_.contains(instance))
      outdated.push_back(record);
  }
  const auto atOnce = changesNeeded(served, targets);
  // The oldest first: they are due first.
  std::ranges::stable_sort(outdated, {}, [&model](const auto& record) {
    return std::pair{record->versionOf(model), record->inFlight()};
  });
  const auto now = environment_.clock.now();
  for (const auto& record : outdated) {
    if (changes_.size() >= atOnce) return;
    const auto& instance = record->facts().instance;
    Change change;
    change.model = model;
    change.version = targets.back().version;
    change.startedAt = now;
    change.nextAt = now + options_.lead;
    changes_.emplace(instance, change);
    environment_.news.onChanging(instance);
    if (!ordersTaken_.contains(instance)) askReport(instance, *find(instance));
  }
}

void WeightsRollout::advance(const std::string& instance, Change& change) {
  const auto now = environment_.clock.now();
  const auto record = environment_.directory.find(instance);
  if (record == nullptr) {
    ordersTaken_.erase(instance);
    return finish(instance, "gone");
  }
  if (change.phase != Phase::kLeading && record->versionOf(change.model) >= change.version)
    return finish(instance, "served");
  if (now - change.startedAt > options_.giveUp) return finish(instance, "not done in time");
  if (change.callUnderWay || now < change.nextAt) return;
  if (change.phase == Phase::kLeading) {
    change.version = environment_.targets.newest(change.model);
    order(instance, change);
  } else if (change.phase == Phase::kOrdering) {
    order(instance, change);
  } else {
    askReport(instance, change);
  }
}

void WeightsRollout::order(const std::string& instance, Change& change) {
  const auto grant = grant_();
  if (!grant) return;
  if (!ordersTaken_.contains(instance)) return askReport(instance, change);
  const auto record = environment_.directory.find(instance);
  change.phase = Phase::kOrdering;
  change.callUnderWay = true;
  change.orderedAt = environment_.clock.now();
  const auto expectedOrders = ordersTaken_.at(instance);
  const clients::WeightsOrder order{change.model, change.version, environment_.holder, grant->token,
                                    expectedOrders};
  environment_.log.write(base::Event::kOrderStarted,
                         {{"replica", instance},
                          {"model", change.model},
                          {"version", std::to_string(change.version)},
                          {"token", std::to_string(grant->token)},
                          {"expected_orders", std::to_string(expectedOrders)}});
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
      [[fallthrough]];
    case clients::WeightsOrderStatus::kInForce:
      change->phase = Phase::kLoading;
      change->nextAt =
          status == clients::WeightsOrderStatus::kInForce ? now : now + options_.firstReport;
      return;
    case clients::WeightsOrderStatus::kConflict:
    case clients::WeightsOrderStatus::kUnknown:
    case clients::WeightsOrderStatus::kUnreachable:
      // A report tells whether it was taken, and how many were.
      ordersTaken_.erase(instance);
      change->phase = Phase::kLoading;
      change->nextAt = now + options_.reportInterval;
      return;
    case clients::WeightsOrderStatus::kFencedOff:
      environment_.log.write(base::Event::kOrderFenced, {{"replica", instance}});
      finish(instance, "fenced off");
      return;
    case clients::WeightsOrderStatus::kOtherInstance:
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
  const auto now = environment_.clock.now();
  change->callUnderWay = false;
  if (change->phase != Phase::kLeading) change->nextAt = now + options_.reportInterval;
  if (!report) return;
  if (report->version >= change->version && !report->busy) {
    environment_.news.onChanged(instance, change->model, report->version);
    finish(instance, "served");
    return;
  }
  if (change->phase == Phase::kLeading) {
    ordersTaken_[instance] = report->orders;
    return;
  }
  // Reports lag: only one that is well younger than the order shows that it was not taken.
  const bool overdue = now - change->orderedAt >= options_.repeatOrder;
  if (report->busy || !overdue) return;
  ordersTaken_[instance] = report->orders;
  change->phase = Phase::kOrdering;
  change->nextAt = now;
}

void WeightsRollout::finish(const std::string& instance, std::string_view outcome) {
  const auto found = changes_.find(instance);
  if (found == changes_.end()) return;
  const Change change = found->second;
  changes_.erase(found);
  const auto lasted = environment_.clock.now() - change.startedAt;
  constexpr int kSmoothing = 4;
  cycle_ += (std::min(lasted, options_.longestCycle) - cycle_) / kSmoothing;
  environment_.log.write(
      outcome == "served" ? base::Event::kOrderFinished : base::Event::kOrderFailed,
      {{"replica", instance},
       {"model", change.model},
       {"version", std::to_string(change.version)},
       {"outcome", std::string{outcome}},
       {"after_ms", std::to_string(static_cast<std::int64_t>(base::toMilliseconds(lasted)))}});
}

}  // namespace covewing::coordination
