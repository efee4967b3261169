/// \file
/// A fleet model served over HTTP on loopback: one port for each engine, application replica and
/// platform service, and an admin port that brings faults about.
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
  /// Address to listen at.
  std::uint32_t address = 0x7f000001;
  /// Port of the admin service, followed by the others; 0 takes free ones.
  std::uint16_t portBase = 0;
  /// Entries of the execution log that are kept.
  std::size_t logCapacity = 1'000'000;
};

/// Everything runs on the io_context's one thread.
class EmulatedFleet {
 public:
  EmulatedFleet(boost::asio::io_context& context, const EmulatedFleetOptions& options,
                const base::Clock& clock, base::TimerService& timers);
  ~EmulatedFleet();
  EmulatedFleet(const EmulatedFleet&) = delete;
  EmulatedFleet& operator=(const EmulatedFleet&) = delete;

  /// Opens every port; false with a reason when one cannot be had.
  bool start(base::Reason& reason);
  /// Does the action now; false with a reason when it names something unknown.
  bool apply(const Action& action, base::Reason& reason);
  /// Does the actions at their times from now.
  void schedule(const std::vector<TimedAction>& scenario);

  /// Where everything listens, as JSON (docs/EMULATOR.md, "Endpoints file").
  std::string endpointsJson() const;
  /// Loads, incarnations and totals, as JSON.
  std::string statusJson();
  /// Log entries from number `from`, at most `limit`, as JSON.
  std::string executionsJson(std::uint64_t from, std::size_t limit) const;

  emulator::FleetModel& model() { return fleet_; }
  const base::Endpoint& adminEndpoint() const { return admin_->endpoint(); }
  const base::Endpoint& tableEndpoint() const { return table_->endpoint(); }
  const base::Endpoint& objectStoreEndpoint() const { return objectStore_->endpoint(); }
  const base::Endpoint& machineListEndpoint() const { return machineList_->endpoint(); }
  /// Of an engine or application replica; empty when none has the name.
  std::optional<base::Endpoint> endpointOf(std::string_view machine) const;

 private:
  struct HostedMachine {
    emulator::MachinePlace place;
    emulator::EngineModel* engine = nullptr;
    emulator::ApplicationModel* application = nullptr;
    std::unique_ptr<EngineService> service;
    std::unique_ptr<ServiceHost> host;
    /// Its process ends when it has answered everything.
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
