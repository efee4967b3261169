#include "emulator/fleet_model.h"

#include <algorithm>

namespace covewing::emulator {

namespace {

constexpr std::string_view kKeptCacheStoreName = "kept-cache-01";

/// "rules-07".
std::string memberName(const std::string& prefix, std::size_t index) {
  const std::string number = std::to_string(index + 1);
  return prefix + (number.size() < 2 ? "-0" : "-") + number;
}

}  // namespace

FleetModel::FleetModel(const FleetOptions& options, std::uint64_t seed, const base::Clock& clock,
                       base::TimerService& timers)
    : options_(options),
      seed_(seed),
      weightStore_(options.weightStore, clock, timers),
      keptCacheStore_(options.keptCacheStore, clock) {
  addEngines(clock, timers);
  addApplications(clock, timers);
  addServices(clock, timers);
}

std::unique_ptr<base::SeededRandom> FleetModel::randomFor(std::string_view name) const {
  return std::make_unique<base::SeededRandom>(base::mixHash(seed_, base::hashName(name)));
}

const std::string& FleetModel::zoneOf(std::size_t index) const {
  return options_.zones[index % options_.zones.size()];
}

void FleetModel::addEngines(const base::Clock& clock, base::TimerService& timers) {
  const EngineSurroundings surroundings{&weightStore_, &keptCacheStore_, &observers_};
  for (std::size_t index = 0; index < options_.engines; ++index) {
    EngineModelOptions engine = options_.engine;
    engine.name = memberName(options_.enginePrefix, index);
    auto random = randomFor(engine.name);
    auto model = std::make_unique<EngineModel>(engine, surroundings, clock, timers, *random);
    places_.push_back({engine.name, clients::MachineKind::kEngine, zoneOf(index), {}});
    engines_.push_back({engine.name, std::move(random), std::move(model)});
  }
}

void FleetModel::addApplications(const base::Clock& clock, base::TimerService& timers) {
  for (const ApplicationGroup& group : options_.applications) {
    for (std::size_t index = 0; index < group.replicas; ++index) {
      ApplicationModelOptions replica = group.options;
      replica.name = memberName(group.application, index);
      replica.application = group.application;
      auto random = randomFor(replica.name);
      auto model = std::make_unique<ApplicationModel>(replica, &observers_, clock, timers, *random);
      places_.push_back(
          {replica.name, clients::MachineKind::kApplication, zoneOf(index), group.application});
      applications_.push_back({replica.name, std::move(random), std::move(model)});
    }
  }
}

void FleetModel::addServices(const base::Clock& clock, base::TimerService& timers) {
  places_.push_back(
      {std::string(kKeptCacheStoreName), clients::MachineKind::kKeptCacheStore, zoneOf(0), {}});
  for (const std::string_view name : {"table", "object-store", "machine-list"}) {
    serviceRandoms_.push_back(randomFor(name));
  }
  table_ = std::make_unique<TableModel>(options_.table, clock, timers, *serviceRandoms_[0]);
  objectStore_ =
      std::make_unique<ObjectStoreModel>(options_.objectStore, clock, timers, *serviceRandoms_[1]);
  machineList_ =
      std::make_unique<MachineListModel>(options_.machineList, clock, timers, *serviceRandoms_[2]);
}

EngineModel* FleetModel::findEngine(std::string_view name) {
  for (const auto& member : engines_) {
    if (member.name == name) return member.model.get();
  }
  return nullptr;
}

ApplicationModel* FleetModel::findApplication(std::string_view name) {
  for (const auto& member : applications_) {
    if (member.name == name) return member.model.get();
  }
  return nullptr;
}

const MachinePlace* FleetModel::findPlace(std::string_view name) const {
  const auto found = std::find_if(places_.begin(), places_.end(),
                                  [&](const MachinePlace& place) { return place.name == name; });
  return found == places_.end() ? nullptr : &*found;
}

clients::Machine FleetModel::machineAt(const MachinePlace& place,
                                       const base::Endpoint& endpoint) const {
  return {place.name,      place.kind,       clients::MachineState::kLive, endpoint, place.zone,
          options_.region, place.application};
}

void FleetModel::listInitially(const MachinePlace& place, const base::Endpoint& endpoint) {
  machineList_->addInitial(machineAt(place, endpoint));
}

void FleetModel::list(const MachinePlace& place, const base::Endpoint& endpoint,
                      clients::MachineState state) {
  clients::Machine machine = machineAt(place, endpoint);
  machine.state = state;
  machineList_->update(std::move(machine));
}

}  // namespace covewing::emulator
