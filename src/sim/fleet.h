/// \file
/// A whole fleet in one simulated run: the product's nodes, model engines and applications, and the
/// platform's services, on one scheduler and one network.
#pragma once

#include <map>
#include <memory>
#include <string_view>
#include <vector>

#include "emulator/observer_list.h"
#include "sim/application_host.h"
#include "sim/engine_host.h"
#include "sim/fleet_options.h"
#include "sim/network.h"
#include "sim/node_host.h"
#include "sim/scheduler.h"

namespace covewing::sim {

class Fleet {
 public:
  explicit Fleet(FleetOptions options);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// Starts all nodes.
  void start();
  void runFor(base::Duration duration) { scheduler_.runUntil(scheduler_.now() + duration); }
  void runUntil(base::TimePoint time) { scheduler_.runUntil(time); }

  const FleetOptions& options() const { return options_; }
  Scheduler& scheduler() { return scheduler_; }
  Network& network() { return *network_; }

  std::size_t nodeCount() const { return nodes_.size(); }
  NodeHost& node(std::size_t index) { return *nodes_[index]; }
  std::size_t engineCount() const { return engines_.size(); }
  EngineHost& engine(std::size_t index) { return *engines_[index]; }
  std::size_t applicationCount() const { return applications_.size(); }
  ApplicationHost& application(std::size_t index) { return *applications_[index]; }

  emulator::TableModel& table() { return *table_; }
  emulator::ObjectStoreModel& objects() { return *objects_; }
  emulator::MachineListModel& machines() { return *machines_; }
  emulator::WeightStoreModel& weightStore() { return *weightStore_; }
  /// Null when the fleet has none.
  emulator::KeptCacheStoreModel* keptCacheStore() { return keptCacheStore_.get(); }

  /// The engine takes no new work, and the machine list will say so.
  void leaveEngine(std::size_t index);
  void leaveApplication(std::size_t index);
  /// Removes a machine that left or died for good from the machine list.
  void removeMachine(const std::string& name) { machines_->remove(name); }

 private:
  static base::Endpoint endpointOf(std::uint32_t network, std::size_t index, std::uint16_t port);

  void addPlatform();
  void addTemplates();
  void addEngines();
  void addApplications();
  void addNodes();
  std::vector<base::Endpoint> seedEndpoints() const;
  clients::Machine engineMachine(std::size_t index) const;
  clients::Machine applicationMachine(std::size_t index) const;

  FleetOptions options_;
  Scheduler scheduler_;
  std::unique_ptr<Network> network_;
  /// Platform services share one process; their faults are the models' own.
  std::unique_ptr<Process> platform_;
  HostId platformHost_ = 0;
  std::unique_ptr<emulator::TableModel> table_;
  std::unique_ptr<emulator::ObjectStoreModel> objects_;
  std::unique_ptr<emulator::MachineListModel> machines_;
  std::unique_ptr<emulator::WeightStoreModel> weightStore_;
  std::unique_ptr<emulator::KeptCacheStoreModel> keptCacheStore_;
  std::vector<std::unique_ptr<EngineHost>> engines_;
  std::vector<std::unique_ptr<ApplicationHost>> applications_;
  std::vector<std::unique_ptr<NodeHost>> nodes_;
  /// By host, for messages that arrive.
  std::vector<NodeHost*> nodeByHost_;
  std::vector<EngineHost*> engineByHost_;
  std::vector<ApplicationHost*> applicationByHost_;
};

}  // namespace covewing::sim
