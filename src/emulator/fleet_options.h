/// \file
/// The deployments that the emulator knows: how many engines, replicas and zones, and their
/// parameters (docs/EMULATOR.md).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "emulator/application_model.h"
#include "emulator/engine_options.h"
#include "emulator/kept_cache_store_model.h"
#include "emulator/machine_list_model.h"
#include "emulator/object_store_model.h"
#include "emulator/table_model.h"
#include "emulator/weight_store_model.h"

namespace covewing::emulator {

/// Replicas of one application.
struct ApplicationGroup {
  std::string application;
  std::uint32_t replicas = 3;
  ApplicationModelOptions options;
};

struct FleetOptions {
  std::string name;
  std::string region;
  /// Engines and replicas are placed on the zones in turn.
  std::vector<std::string> zones;
  /// Engines are named `enginePrefix`-01 and so on.
  std::string enginePrefix;
  std::uint32_t engines = 0;
  /// Options of each engine except its name.
  EngineModelOptions engine;
  std::vector<ApplicationGroup> applications;
  WeightStoreOptions weightStore;
  KeptCacheStoreOptions keptCacheStore;
  ServiceOptions table = kTableDefaults;
  ServiceOptions objectStore = kObjectStoreDefaults;
  MachineListOptions machineList;
};

/// 20 replicas of the rules model in three zones of vn-south, 3 of the pairings application.
FleetOptions tournamentsFleet();
/// 10 replicas of the stallholder model in three zones of brno-south, 3 of the tablet service.
FleetOptions marketsFleet();
/// The fleet of this name, empty when there is none.
std::optional<FleetOptions> fleetNamed(std::string_view name);

/// The same fleet with every duration of its models divided by `factor`, so that tests and
/// demonstrations are quick. Rates grow by the factor.
FleetOptions spedUp(FleetOptions options, double factor);

}  // namespace covewing::emulator
