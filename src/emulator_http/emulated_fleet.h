/// \file
/// Serves a fleet model over HTTP, by default on loopback: one port for each engine, application
/// replica and platform service, and an admin port for fault injection.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "emulator/cache_census.h"
#include "emulator/execution_log.h"
#include "emulator/fleet_model.h"
#include "emulator_http/action.h"
#include "emulator_http/engine_service.h"
#include "emulator_http/service_host.h"

namespace covewing::emulator_http {

struct EmulatedFleetOptions {
  emulator::FleetOptions fleet;
  std::uint64_t seed = 1;
  /// IPv4 address on which all ports listen.
  std::uint32_t address = 0x7f000001;
  /// Port of the admin service; the other services use the ports after it. 0 selects free ports.
  std::uint16_t portBase = 0;
  /// Maximum number of entries retained in the execution log.
  std::size_t logCapacity = 1'000'000;
};

/// Emulated engines, application replicas and platform services with their HTTP ports. Everything
/// runs on the one thread of the io_context.
class EmulatedFleet {
 public:
  EmulatedFleet(boost::asio::io_context& context, const EmulatedFleetOptions& options,
                const base::Clock& clock, base::TimerService& timers);
  ~EmulatedFleet();
  EmulatedFleet(const EmulatedFleet&) = delete;
  EmulatedFleet& operator=(const EmulatedFleet&) = delete;

  /// Opens every port; returns false with a reason if one cannot be opened.
  bool start(base::Reason& reason);
  /// Applies the action immediately; returns false with a reason if it names an unknown machine or
  /// cannot be applied.
  bool apply(const Action& action, base::Reason& reason);
  /// Schedules the actions; their times count from this call.
  void schedule(const std::vector<TimedAction>& scenario);

  /// Endpoints of all services and machines, as JSON (docs/EMULATOR.md, "Endpoints file").
  std::string endpointsJson() const;
  /// Load and incarnation of each machine, and the totals of the fleet, as JSON.
  std::string statusJson();
  /// At most `limit` entries of the execution log, starting with entry number `from`, as JSON.
  std::string executionsJson(std::uint64_t from, std::size_t limit) const;

  emulator::FleetModel& model() { return fleet_; }
  const base::Endpoint& adminEndpoint() const { return admin_->endpoint(); }
  const base::Endpoint& tableEndpoint() const { return table_->endpoint(); }
  const base::Endpoint& objectStoreEndpoint() const { return objectStore_->endpoint(); }
  const base::Endpoint& machineListEndpoint() const { return machineList_->endpoint(); }
  /// Endpoint of an engine or application replica; nullopt if there is none of that name.
  std::optional<base::Endpoint> endpointOf(std::string_view machine) const;

 private:
  struct HostedMachine {
    emulator::MachinePlace place;
    emulator::EngineModel* engine = nullptr;
    emulator::ApplicationModel* application = nullptr;
    std::unique_ptr<EngineService> service;
    std::unique_ptr<ServiceHost> host;
    /// The machine is leaving: it stops once it has no more requests in progress.
    bool exiting = false;
  };

  std::unique_ptr<ServiceHost> makeHost(live::HttpHandler handler);
  void addMachines();
  std::vector<ServiceHost*> hosts();
  HostedMachine* findMachine(std::string_view name);
  std::vector<HostedMachine*> selectMachines(std::string_view pattern);

  void handleAdmin(const live::HttpExchangePtr& exchange);
  void handleActions(const live::HttpExchangePtr& exchange);
  void handleExecutions(const live::HttpExchangePtr& exchange);

  bool perform(const MachineAction& action, base::Reason& reason);
  bool perform(const CacheEventAction& action, base::Reason& reason);
  bool perform(const ServiceAction& action, base::Reason& reason);
  bool perform(const ApplicationFaultAction& action, base::Reason& reason);
  bool perform(const ListMachineAction& action, base::Reason& reason);
  bool perform(const UnlistMachineAction& action, base::Reason& reason);
  void setConditions(emulator::ServiceConditions& conditions, ServiceHost& host,
                     const ServiceAction& action);
  bool applyVerb(HostedMachine& machine, MachineVerb verb, base::Reason& reason);
  void crash(HostedMachine& machine);
  bool restart(HostedMachine& machine, base::Reason& reason);
  void leave(HostedMachine& machine);
  void exitWhenIdle(HostedMachine& machine);
  std::string_view nameOf(base::EngineId backEnd) const;

  boost::asio::io_context& context_;
  EmulatedFleetOptions options_;
  const base::Clock& clock_;
  base::TimerService& timers_;
  emulator::FleetModel fleet_;
  emulator::ExecutionLog log_;
  emulator::CacheCensus census_;
  std::unique_ptr<ServiceHost> admin_;
  std::unique_ptr<ServiceHost> table_;
  std::unique_ptr<ServiceHost> objectStore_;
  std::unique_ptr<ServiceHost> machineList_;
  std::unique_ptr<ServiceHost> keptCacheStore_;
  std::vector<std::unique_ptr<HostedMachine>> machines_;
};

}  // namespace covewing::emulator_http
