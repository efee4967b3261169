/// \file
/// Scenarios: which faults come when, on which fleet, under which load. The seed decides victims,
/// times and everything else that is left open.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "base/random.h"
#include "sim/fault_injector.h"
#include "sim/fleet_options.h"
#include "sim/operator_workload.h"
#include "sim/workload.h"

namespace covewing::sim {

struct ScenarioPlan {
  /// Faults and load take place in this time.
  base::Duration length = std::chrono::seconds(40);
  /// Afterwards the fleet runs on undisturbed, so that open calls end and changes spread.
  base::Duration settle = std::chrono::seconds(25);
  std::vector<PlannedFault> faults;
  WorkloadOptions callers;
  OperatorWorkloadOptions operators;
  /// Operators order new weights this often; zero: never.
  base::Duration orderPeriod{};
};

struct Scenario {
  std::string_view name;
  std::string_view description;
  ScenarioPlan (*plan)(base::RandomSource& random);
};

/// All scenarios, in the order of `--list`.
std::span<const Scenario> scenarios();
/// The scenario of this name; null when there is none.
const Scenario* findScenario(std::string_view name);

/// The tenants that exist from the start of every scenario.
std::vector<WorkloadTenant> scenarioTenants();
/// The fleet of every scenario: two regions, four zones, eight nodes, eight engines of two models,
/// four application replicas.
FleetOptions scenarioFleet(std::uint64_t seed);

}  // namespace covewing::sim
