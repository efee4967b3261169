#include "emulator/fleet_options.h"

namespace covewing::emulator {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t kTournamentEngines = 20;
constexpr std::uint32_t kMarketEngines = 10;
constexpr std::uint32_t kTournamentBlocks = 8192;
constexpr std::uint32_t kMarketBlocks = 6144;

ApplicationGroup group(const std::string& application, base::Duration serviceTime) {
  ApplicationGroup made;
  made.application = application;
  made.options.application = application;
  made.options.serviceTime = serviceTime;
  return made;
}

void divide(base::Duration& duration, double factor) {
  duration = base::Duration{
      static_cast<base::Duration::rep>(static_cast<double>(duration.count()) / factor)};
}

void speedUp(ServiceOptions& service, double factor) {
  divide(service.latency, factor);
  service.rateLimit *= factor;
}

void speedUp(EngineModelOptions& engine, double factor) {
  // The price of one token, divided, would be lost in the clock's resolution.
  engine.step.speed *= factor;
  divide(engine.cacheEvents.delay, factor);
  divide(engine.loadReportPeriod, factor);
}

}  // namespace

FleetOptions tournamentsFleet() {
  FleetOptions fleet;
  fleet.name = "tournaments";
  fleet.region = "vn-south";
  fleet.zones = {"vn-south-a", "vn-south-b", "vn-south-c"};
  fleet.enginePrefix = "rules";
  fleet.engines = kTournamentEngines;
  fleet.engine.capacityBlocks = kTournamentBlocks;
  fleet.engine.weights = {{"rules", 1, {"vi-rulings"}}};
  fleet.applications = {group("pairings", 8ms)};
  fleet.weightStore = WeightStoreOptions{.loadTime = 500ms, .fullSpeedLoads = 3};
  return fleet;
}

FleetOptions marketsFleet() {
  FleetOptions fleet;
  fleet.name = "markets";
  fleet.region = "brno-south";
  fleet.zones = {"brno-south-a", "brno-south-b", "brno-south-c"};
  fleet.enginePrefix = "stallholder";
  fleet.engines = kMarketEngines;
  fleet.engine.capacityBlocks = kMarketBlocks;
  fleet.engine.weights = {{"stallholder", 1, {"cs-labels"}}};
  fleet.applications = {group("tablet", 6ms)};
  fleet.weightStore = WeightStoreOptions{.loadTime = 333ms, .fullSpeedLoads = 2};
  return fleet;
}

std::optional<FleetOptions> fleetNamed(std::string_view name) {
  if (name == "tournaments") return tournamentsFleet();
  if (name == "markets") return marketsFleet();
  return std::nullopt;
}

FleetOptions spedUp(FleetOptions options, double factor) {
  speedUp(options.engine, factor);
  for (ApplicationGroup& each : options.applications) divide(each.options.serviceTime, factor);
  divide(options.weightStore.loadTime, factor);
  divide(options.keptCacheStore.latency, factor);
  divide(options.keptCacheStore.perBlock, factor);
  speedUp(options.table, factor);
  speedUp(options.objectStore, factor);
  speedUp(options.machineList.service, factor);
  divide(options.machineList.lag, factor);
  return options;
}

}  // namespace covewing::emulator
