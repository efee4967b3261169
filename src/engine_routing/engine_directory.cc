#include "engine_routing/engine_directory.h"

#include <algorithm>
#include <string>

namespace covewing::engine_routing {

namespace {

bool idLess(const EngineState& engine, base::EngineId id) { return engine.address.id < id; }

bool usable(const EngineState& engine) {
  return !engine.leaving && !engine.unreachable && engine.role == clients::EngineRole::kServing;
}

/// Returns the version of the model that most of `engines` have loaded, the newest of these on a
/// tie; 0 if no engine has the model. If all engines that have the model share a version, the
/// result is the newest such version.
base::WeightsVersion mostCommonVersion(const std::vector<const EngineState*>& engines,
                                       std::string_view model) {
  std::map<base::WeightsVersion, std::size_t> counts;
  for (const EngineState* engine : engines) {
    for (const auto& weights : engine->weights) {
      if (weights.model == model) ++counts[weights.version];
    }
  }
  base::WeightsVersion best = 0;
  for (const auto& [version, count] : counts) {
    if (best == 0 || count >= counts[best]) best = version;
  }
  return best;
}

}  // namespace

EngineDirectory::EngineDirectory(EngineDirectoryOptions options,
                                 EngineDirectoryEnvironment environment)
    : options_(options),
      environment_(environment),
      machineList_(options.machines,
                   {environment.clock, environment.timers, environment.random, environment.machines,
                    environment.members, environment.records},
                   *this) {}

EngineDirectory::~EngineDirectory() = default;

void EngineDirectory::start() {
  environment_.records.subscribe(
      std::string(kEngineRecordPrefix),
      [this, alive = std::weak_ptr(lifetime_)](const membership::GossipRecord& record) {
        if (!alive.expired()) onRecord(record);
      });
  machineList_.start();
  scheduleReview();
}

void EngineDirectory::addListener(EngineListener& listener) { listeners_.push_back(&listener); }

void EngineDirectory::removeListener(EngineListener& listener) {
  listeners_.erase(std::remove(listeners_.begin(), listeners_.end(), &listener), listeners_.end());
}

const EngineState* EngineDirectory::find(base::EngineId id) const {
  const auto found = std::lower_bound(engines_.begin(), engines_.end(), id, idLess);
  return found != engines_.end() && found->address.id == id ? &*found : nullptr;
}

EngineState* EngineDirectory::findMutable(base::EngineId id) {
  const auto found = std::lower_bound(engines_.begin(), engines_.end(), id, idLess);
  return found != engines_.end() && found->address.id == id ? &*found : nullptr;
}

std::vector<clients::BackEndAddress> EngineDirectory::applicationReplicas(
    std::string_view application) const {
  const auto& ownZone = environment_.members.self().zone;
  std::vector<clients::BackEndAddress> replicas;
  for (const bool wantOwnZone : {true, false}) {
    for (const auto& [name, machine] : applications_) {
      if (machine.application != application || (machine.zone == ownZone) != wantOwnZone) continue;
      const auto id = base::engineIdOf(machine.name);
      if (machine.state != clients::MachineState::kLive || isApplicationLeaving(id)) continue;
      replicas.push_back({id, machine.name, machine.endpoint});
    }
  }
  return replicas;
}

bool EngineDirectory::isApplicationLeaving(base::EngineId id) const {
  const auto entry = applicationsLeavingUntil_.find(id);
  return entry != applicationsLeavingUntil_.end() && environment_.clock.now() < entry->second;
}

base::WeightsVersion EngineDirectory::defaultVersion(std::string_view model) const {
  const std::string& region = environment_.members.self().region;
  std::vector<const EngineState*> ownRegion;
  std::vector<const EngineState*> anyRegion;
  for (const auto& engine : engines_) {
    if (!usable(engine)) continue;
    anyRegion.push_back(&engine);
    if (engine.region == region) ownRegion.push_back(&engine);
  }
  const base::WeightsVersion own = mostCommonVersion(ownRegion, model);
  return own != 0 ? own : mostCommonVersion(anyRegion, model);
}

// --- machine list

void EngineDirectory::onMachine(const clients::Machine& machine) {
  if (machine.kind == clients::MachineKind::kApplication) applications_[machine.name] = machine;
  if (machine.kind == clients::MachineKind::kEngine) onListedEngine(machine);
}

void EngineDirectory::onMachineRemoved(const clients::Machine& machine) {
  applications_.erase(machine.name);
  applicationsLeavingUntil_.erase(base::engineIdOf(machine.name));
  const auto found = tracking_.find(base::engineIdOf(machine.name));
  if (found == tracking_.end()) return;
  found->second.listed = false;
  // The grace period for other evidence that the engine is alive starts now.
  found->second.lastSeenAt = environment_.clock.now();
}

void EngineDirectory::onListedEngine(const clients::Machine& machine) {
  const auto id = base::engineIdOf(machine.name);
  EngineState* engine = findMutable(id);
  if (engine == nullptr) {
    engine = &addEngine(machine.name, machine.endpoint, machine.zone, machine.region);
  }
  auto& tracking = tracking_[id];
  engine->address.endpoint = machine.endpoint;
  engine->zone = machine.zone;
  engine->region = machine.region;
  tracking.listed = true;
  tracking.listedLeaving = machine.state == clients::MachineState::kLeaving;
  tracking.lastSeenAt = environment_.clock.now();
  refresh(*engine, tracking);
}

void EngineDirectory::scheduleReview() {
  const auto delay = environment_.random.jittered(options_.reviewInterval, options_.jitter);
  environment_.timers.schedule(delay, [this, alive = std::weak_ptr(lifetime_)] {
    if (alive.expired()) return;
    review();
    scheduleReview();
  });
}

void EngineDirectory::review() {
  for (auto& engine : engines_) {
    const auto id = engine.address.id;
    auto& tracking = tracking_.at(id);
    refresh(engine, tracking);
    if (tracking.pollTimer == 0 && polls(id)) schedulePoll(id, base::Duration::zero());
  }
  if (machineList_.hasReadList()) forgetAbsentEngines();
}

void EngineDirectory::forgetAbsentEngines() {
  const auto now = environment_.clock.now();
  std::vector<base::EngineId> absent;
  for (const auto& engine : engines_) {
    const auto& tracking = tracking_.at(engine.address.id);
    if (!tracking.listed && now - tracking.lastSeenAt > options_.absenceGracePeriod) {
      absent.push_back(engine.address.id);
    }
  }
  for (const auto id : absent) {
    environment_.log.write(base::Event::kEngineGone, {{"engine", find(id)->address.name}});
    environment_.timers.cancel(tracking_.at(id).pollTimer);
    tracking_.erase(id);
    std::erase_if(engines_, [&](const EngineState& engine) { return engine.address.id == id; });
    for (auto* listener : listeners_) listener->onForgotten(id);
  }
}

EngineState& EngineDirectory::addEngine(std::string_view name, const base::Endpoint& endpoint,
                                        std::string_view zone, std::string_view region) {
  EngineState engine;
  engine.address = {base::engineIdOf(name), std::string(name), endpoint};
  engine.zone = zone;
  engine.region = region;
  const auto id = engine.address.id;
  const auto position = std::lower_bound(engines_.begin(), engines_.end(), id, idLess);
  const auto inserted = engines_.insert(position, std::move(engine));
  tracking_[id].lastSeenAt = environment_.clock.now();
  schedulePoll(id, firstPollDelay(id));
  return *inserted;
}

// --- polling

base::Duration EngineDirectory::firstPollDelay(base::EngineId engine) {
  // A node that has not discovered any other member considers itself the home of all engines.
  const bool alone = environment_.members.liveMembers().size() <= 1;
  if (!alone && polls(engine)) return base::Duration::zero();
  const auto spread =
      options_.unknownPollSpread * static_cast<base::Duration::rep>(engines_.size());
  return base::Duration(static_cast<base::Duration::rep>(
      environment_.random.below(static_cast<std::uint64_t>(spread.count()) + 1)));
}

void EngineDirectory::schedulePoll(base::EngineId engine, base::Duration delay) {
  const auto alive = std::weak_ptr(lifetime_);
  tracking_.at(engine).pollTimer = environment_.timers.schedule(delay, [this, alive, engine] {
    if (!alive.expired()) onPollTimer(engine);
  });
}

bool EngineDirectory::polls(base::EngineId engine) const {
  return options_.pollScope == PollScope::kAllEngines || isHomeOf(engine);
}

void EngineDirectory::onPollTimer(base::EngineId id) {
  EngineState* engine = findMutable(id);
  if (engine == nullptr) return;
  auto& tracking = tracking_.at(id);
  tracking.pollTimer = 0;
  const bool home = polls(id);
  if (tracking.pollOutstanding) {
    onMissedPoll(*engine, tracking);
  } else if (home || !tracking.stateKnown) {
    poll(*engine, tracking);
  } else {
    // This node is no longer a home, so the polls that it missed are no longer evidence.
    tracking.missedPolls = 0;
    refresh(*engine, tracking);
    return;
  }
  const auto interval = home ? options_.pollInterval : options_.unknownPollInterval;
  schedulePoll(id, environment_.random.jittered(interval, options_.jitter));
  refresh(*engine, tracking);
}

void EngineDirectory::poll(EngineState& engine, Tracking& tracking) {
  tracking.pollOutstanding = true;
  const auto id = engine.address.id;
  environment_.engines.poll(
      engine.address, tracking.nextSequence,
      [this, id, alive = std::weak_ptr(lifetime_)](std::optional<clients::EngineReport> report) {
        if (!alive.expired()) onPollReply(id, std::move(report));
      });
}

void EngineDirectory::onPollReply(base::EngineId id, std::optional<clients::EngineReport> report) {
  EngineState* engine = findMutable(id);
  if (engine == nullptr) return;
  auto& tracking = tracking_.at(id);
  tracking.pollOutstanding = false;
  if (report) {
    onReport(*engine, tracking, *report);
  } else {
    onMissedPoll(*engine, tracking);
  }
}

void EngineDirectory::onMissedPoll(EngineState& engine, Tracking& tracking) {
  ++tracking.missedPolls;
  refresh(engine, tracking);
}

void EngineDirectory::onReport(EngineState& engine, Tracking& tracking,
                               const clients::EngineReport& report) {
  const auto now = environment_.clock.now();
  tracking.missedPolls = 0;
  if (!advanceIncarnation(engine, tracking, report.incarnation)) return;
  tracking.failedDispatches = 0;
  tracking.unreachableUntil.reset();
  tracking.lastReportAt = now;
  tracking.lastSeenAt = now;
  tracking.stateKnown = true;
  tracking.reportedLeaving = report.leaving;
  engine.role = report.role;
  engine.weights = report.weights;
  engine.load = ReceivedLoad{report.load, now};
  refresh(engine, tracking);
  if (!polls(engine.address.id)) return;
  tracking.nextSequence = report.nextSequence;
  publishIfChanged(engine, tracking);
  for (auto* listener : listeners_) listener->onReport(engine, report);
}

// --- records

void EngineDirectory::publishIfChanged(const EngineState& engine, Tracking& tracking) {
  if (!isHomeOf(engine.address.id)) return;
  EngineRecord record{engine.incarnation,      engine.role, tracking.reportedLeaving,
                      engine.address.endpoint, engine.zone, engine.region,
                      engine.weights};
  if (tracking.record == record) return;
  std::string value = encodeEngineRecord(record);
  if (value.size() > membership::RecordDissemination::kMaximumValue) return;
  tracking.recordVersion = nextRecordVersion(engine.incarnation, tracking.recordVersion);
  tracking.record = std::move(record);
  environment_.records.publish(
      {engineRecordKey(engine.address.name), tracking.recordVersion, std::move(value)});
}

void EngineDirectory::onRecord(const membership::GossipRecord& gossip) {
  auto record = decodeEngineRecord(gossip.value);
  if (!record) return;
  const std::string_view name = std::string_view(gossip.key).substr(kEngineRecordPrefix.size());
  const auto id = base::engineIdOf(name);
  EngineState* engine = findMutable(id);
  if (engine == nullptr) engine = &addEngine(name, record->endpoint, record->zone, record->region);
  auto& tracking = tracking_.at(id);
  if (gossip.version <= tracking.recordVersion) return;
  tracking.recordVersion = gossip.version;
  tracking.record = std::move(record);
  const auto& received = *tracking.record;
  const bool polledRecently =
      tracking.lastReportAt &&
      environment_.clock.now() - *tracking.lastReportAt <= 2 * options_.pollInterval;
  if (polledRecently && received.incarnation <= engine->incarnation) return;
  if (!advanceIncarnation(*engine, tracking, received.incarnation)) return;
  tracking.stateKnown = true;
  tracking.reportedLeaving = received.leaving;
  tracking.lastSeenAt = environment_.clock.now();
  engine->role = received.role;
  engine->weights = received.weights;
  refresh(*engine, tracking);
}

// --- own observations

void EngineDirectory::markUnreachable(base::EngineId id) {
  EngineState* engine = findMutable(id);
  if (engine == nullptr) return;
  auto& tracking = tracking_.at(id);
  constexpr std::uint32_t kMaximumDoublings = 16;
  const auto doublings = std::min(tracking.failedDispatches, kMaximumDoublings);
  const auto backOff = std::min(options_.initialUnreachableBackOff * (1U << doublings),
                                options_.maximumUnreachableBackOff);
  ++tracking.failedDispatches;
  tracking.unreachableUntil = environment_.clock.now() + backOff;
  refresh(*engine, tracking);
}

void EngineDirectory::markLeaving(base::EngineId id) {
  EngineState* engine = findMutable(id);
  if (engine == nullptr) {
    const bool application = std::ranges::any_of(
        applications_, [id](const auto& each) { return base::engineIdOf(each.first) == id; });
    if (application)
      applicationsLeavingUntil_[id] = environment_.clock.now() + options_.applicationLeavingTimeout;
    return;
  }
  auto& tracking = tracking_.at(id);
  tracking.leavingObserved = true;
  refresh(*engine, tracking);
}

void EngineDirectory::observeIncarnation(base::EngineId id, base::Incarnation incarnation) {
  EngineState* engine = findMutable(id);
  if (engine == nullptr) return;
  auto& tracking = tracking_.at(id);
  if (advanceIncarnation(*engine, tracking, incarnation)) refresh(*engine, tracking);
}

// --- state

bool EngineDirectory::advanceIncarnation(EngineState& engine, Tracking& tracking,
                                         base::Incarnation incarnation) {
  if (incarnation < engine.incarnation) return false;
  if (incarnation == engine.incarnation) return true;
  const bool restarted = engine.incarnation != 0;
  engine.incarnation = incarnation;
  engine.load.reset();
  tracking.nextSequence = 0;
  tracking.reportedLeaving = false;
  tracking.leavingObserved = false;
  tracking.unreachableUntil.reset();
  tracking.failedDispatches = 0;
  tracking.missedPolls = 0;
  if (!restarted) {
    environment_.log.write(base::Event::kEngineAppeared, {{"engine", engine.address.name}});
    return true;
  }
  environment_.log.write(
      base::Event::kEngineRestarted,
      {{"engine", engine.address.name}, {"incarnation", std::to_string(incarnation)}});
  for (auto* listener : listeners_) listener->onRestarted(engine);
  return true;
}

void EngineDirectory::refresh(EngineState& engine, Tracking& tracking) {
  const auto now = environment_.clock.now();
  if (tracking.unreachableUntil && now >= *tracking.unreachableUntil)
    tracking.unreachableUntil.reset();
  engine.leaving = tracking.listedLeaving || tracking.reportedLeaving || tracking.leavingObserved;
  engine.unreachable =
      tracking.unreachableUntil || tracking.missedPolls >= options_.missedPollsUntilUnreachable;
}

std::vector<base::NodeId> EngineDirectory::homes(base::EngineId engine) const {
  const EngineState* state = find(engine);
  return state == nullptr ? std::vector<base::NodeId>{} : homesOfState(*state);
}

const std::vector<base::NodeId>& EngineDirectory::homesOfState(const EngineState& engine) const {
  const auto& tracking = tracking_.at(engine.address.id);
  const auto version = environment_.members.version() + 1;
  if (tracking.homesVersion != version) {
    const auto& live = environment_.members.liveMembers();
    const auto count =
        options_.homesPerEngine == 0 ? homesPerEngine(live.size()) : options_.homesPerEngine;
    tracking.homes = homesOf(engine.address.id, engine.zone, live, count);
    tracking.homesVersion = version;
  }
  return tracking.homes;
}

bool EngineDirectory::isHomeOf(base::EngineId engine) const {
  const EngineState* state = find(engine);
  if (state == nullptr) return false;
  const auto& nodes = homesOfState(*state);
  return std::find(nodes.begin(), nodes.end(), environment_.members.self().id) != nodes.end();
}

}  // namespace covewing::engine_routing
