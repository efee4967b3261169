/// \file
/// One whole deployment: engines, application replicas and the platform's services, wired together.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "emulator/engine_model.h"
#include "emulator/fleet_options.h"
#include "emulator/observer_list.h"

namespace covewing::emulator {

/// Where a machine of the fleet stands, for the machine list.
struct MachinePlace {
  std::string name;
  clients::MachineKind kind = clients::MachineKind::kEngine;
  std::string zone;
  std::string application;
};

/// Every model draws from its own random source, seeded from the fleet's seed and its name, so that
/// the draws of one do not shift those of another.
class FleetModel {
 public:
  FleetModel(const FleetOptions& options, std::uint64_t seed, const base::Clock& clock,
             base::TimerService& timers);
  FleetModel(const FleetModel&) = delete;
  FleetModel& operator=(const FleetModel&) = delete;

  /// `observer` must outlive the fleet.
  void addObserver(ExecutionObserver& observer) { observers_.add(observer); }

  const FleetOptions& options() const { return options_; }
  std::size_t engineCount() const { return engines_.size(); }
  EngineModel& engine(std::size_t index) { return *engines_.at(index).model; }
  std::size_t applicationCount() const { return applications_.size(); }
  ApplicationModel& application(std::size_t index) { return *applications_.at(index).model; }
  /// Null when no engine or replica has the name.
  EngineModel* findEngine(std::string_view name);
  ApplicationModel* findApplication(std::string_view name);
  /// Engines first, then application replicas, then the store of kept KV cache.
  const std::vector<MachinePlace>& machines() const { return places_; }

  TableModel& table() { return *table_; }
  ObjectStoreModel& objectStore() { return *objectStore_; }
  MachineListModel& machineList() { return *machineList_; }
  WeightStoreModel& weightStore() { return weightStore_; }
  KeptCacheStoreModel& keptCacheStore() { return keptCacheStore_; }

  /// Puts the machine at `endpoint` on the list: at once when the fleet starts, else with its lag.
  void listInitially(const MachinePlace& place, const base::Endpoint& endpoint);
  void list(const MachinePlace& place, const base::Endpoint& endpoint, clients::MachineState state);
  const MachinePlace* findPlace(std::string_view name) const;

 private:
  template <class Model>
  struct Member {
    std::string name;
    std::unique_ptr<base::SeededRandom> random;
    std::unique_ptr<Model> model;
  };

  std::unique_ptr<base::SeededRandom> randomFor(std::string_view name) const;
  const std::string& zoneOf(std::size_t index) const;
  void addEngines(const base::Clock& clock, base::TimerService& timers);
  void addApplications(const base::Clock& clock, base::TimerService& timers);
  void addServices(const base::Clock& clock, base::TimerService& timers);
  clients::Machine machineAt(const MachinePlace& place, const base::Endpoint& endpoint) const;

  FleetOptions options_;
  std::uint64_t seed_;
  ObserverList observers_;
  WeightStoreModel weightStore_;
  KeptCacheStoreModel keptCacheStore_;
  std::vector<Member<EngineModel>> engines_;
  std::vector<Member<ApplicationModel>> applications_;
  std::vector<MachinePlace> places_;
  std::vector<std::unique_ptr<base::SeededRandom>> serviceRandoms_;
  std::unique_ptr<TableModel> table_;
  std::unique_ptr<ObjectStoreModel> objectStore_;
  std::unique_ptr<MachineListModel> machineList_;
};

}  // namespace covewing::emulator
