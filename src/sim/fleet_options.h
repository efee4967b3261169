/// \file
/// Description of a simulated fleet: nodes, engines, applications, platform services, templates.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "clients/engine_client.h"
#include "emulator/application_model.h"
#include "emulator/engine_options.h"
#include "emulator/kept_cache_store_model.h"
#include "emulator/machine_list_model.h"
#include "emulator/object_store_model.h"
#include "emulator/table_model.h"
#include "emulator/weight_store_model.h"
#include "node/node.h"
#include "sim/exchange.h"
#include "sim/network.h"

namespace covewing::sim {

struct Location {
  std::string zone;
  std::string region;
};

struct NodePlacement {
  std::string name;
  Location location;
};

struct EnginePlacement {
  emulator::EngineModelOptions model;
  Location location;
};

struct ApplicationPlacement {
  emulator::ApplicationModelOptions model;
  Location location;
};

/// A template that is in the table service from the start.
struct InitialTemplate {
  std::string name;
  /// Operators' document, as JSON (config/template_document.h).
  std::string document;
  std::uint64_t cacheSalt = 0;
};

struct PlatformOptions {
  emulator::ServiceOptions table = emulator::kTableDefaults;
  emulator::ServiceOptions objects = emulator::kObjectStoreDefaults;
  emulator::MachineListOptions machines;
  emulator::WeightStoreOptions weights;
  /// Empty: the fleet has no store of kept KV cache.
  std::optional<emulator::KeptCacheStoreOptions> keptCache = emulator::KeptCacheStoreOptions{};
  /// The services run in a zone of their own of this region; the first node's region if empty.
  std::string region;
};

/// Replaces interfaces of one run of a node by others around them. Lives as long as that run.
class EnvironmentDecorator {
 public:
  virtual ~EnvironmentDecorator() = default;
  virtual node::NodeEnvironment decorate(node::NodeEnvironment plain) = 0;
};

struct FleetOptions {
  std::uint64_t seed = 1;
  NetworkOptions network;
  std::vector<NodePlacement> nodes;
  std::vector<EnginePlacement> engines;
  std::vector<ApplicationPlacement> applications;
  std::vector<InitialTemplate> templates;
  PlatformOptions platform;
  /// Settings common to all nodes; name, place, endpoint, seeds and incarnation are filled in.
  node::NodeOptions node;
  /// Nodes that each node joins through: the first ones of each zone, this many.
  std::size_t seedsPerZone = 1;
  /// See EngineHostOptions.
  std::size_t chunksPerMessage = 1;
  /// Record the CPU time of each node's callbacks.
  bool measureCpu = false;
  /// Receives what back ends really did; may be null.
  emulator::ExecutionObserver* observer = nullptr;
  /// Receives the log events of a node; empty discards them.
  std::function<void(const std::string& node, base::Event event,
                     std::initializer_list<base::EventField> fields)>
      onEvent;
  /// Made for each run of each node; empty: none.
  std::function<std::unique_ptr<EnvironmentDecorator>()> decorator;
  ExchangeFaults applicationClientFaults;
  /// Makes the engine client of each run of each node, for engines that are no EngineHost of the
  /// fleet; empty: SimEngineClient.
  std::function<std::unique_ptr<clients::EngineClient>(Network& network, HostId self)>
      makeEngineClient;
};

}  // namespace covewing::sim
