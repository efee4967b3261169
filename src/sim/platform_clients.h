/// \file
/// Bindings of the platform interfaces to models behind the simulated network: table service,
/// object store, machine list and application back ends, as seen from one run of one node.
#pragma once

#include <functional>
#include <string>

#include "base/event_log.h"
#include "clients/application_client.h"
#include "clients/machine_list_client.h"
#include "clients/object_store_client.h"
#include "clients/table_client.h"
#include "emulator/application_model.h"
#include "emulator/machine_list_model.h"
#include "emulator/object_store_model.h"
#include "emulator/table_model.h"
#include "sim/exchange.h"
#include "sim/network.h"
#include "sim/process.h"

namespace covewing::sim {

/// Patience of a node with the platform's services.
inline constexpr base::Duration kPlatformTimeout = std::chrono::seconds(3);

class SimTableClient final : public clients::TableClient {
 public:
  SimTableClient(Network& network, HostId self, HostId server, emulator::TableModel& model);
  void read(std::vector<std::string> keys, clients::TableCallback callback) override;
  void scan(std::string prefix, base::Revision after, std::size_t limit,
            clients::TableCallback callback) override;
  void commit(clients::TableTransaction transaction, clients::TableCallback callback) override;

 private:
  using Pool = ExchangePool<clients::TableReply>;
  using Operation = std::function<void(emulator::TableModel&, clients::TableCallback)>;
  /// A read has no effect, so a lost answer to it is told as kUnavailable.
  void call(std::size_t bytes, Operation operation, clients::TableStatus whenLost,
            clients::TableCallback callback);

  Process& process_;
  HostId server_;
  emulator::TableModel& model_;
  Pool pool_;
};

class SimObjectStoreClient final : public clients::ObjectStoreClient {
 public:
  SimObjectStoreClient(Network& network, HostId self, HostId server,
                       emulator::ObjectStoreModel& model);
  void get(std::string name, clients::ObjectCallback callback) override;
  void put(std::string name, std::string bytes, clients::ObjectCallback callback) override;

 private:
  using Operation = std::function<void(emulator::ObjectStoreModel&, clients::ObjectCallback)>;
  void call(std::size_t bytes, Operation operation, clients::ObjectCallback callback);

  Process& process_;
  HostId server_;
  emulator::ObjectStoreModel& model_;
  ExchangePool<clients::ObjectReply> pool_;
};

class SimMachineListClient final : public clients::MachineListClient {
 public:
  SimMachineListClient(Network& network, HostId self, HostId server,
                       emulator::MachineListModel& model);
  void fetch(clients::MachineListCallback callback) override;

 private:
  using Answer = std::optional<std::vector<clients::Machine>>;

  Process& process_;
  HostId server_;
  emulator::MachineListModel& model_;
  ExchangePool<Answer> pool_;
};

/// Finds the replica at a host; null when there is none.
using ApplicationLookup = std::function<emulator::ApplicationModel*(HostId)>;

class SimApplicationClient final : public clients::ApplicationClient {
 public:
  SimApplicationClient(Network& network, HostId self, ApplicationLookup replicas,
                       ExchangeFaults faults);
  void call(const clients::BackEndAddress& backEnd, clients::ApplicationRequest request,
            std::function<void(clients::ApplicationResult)> callback) override;

 private:
  Network& network_;
  Process& process_;
  ApplicationLookup replicas_;
  ExchangeFaults faults_;
  ExchangePool<clients::ApplicationResult> pool_;
};

}  // namespace covewing::sim
