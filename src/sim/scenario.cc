#include "sim/scenario.h"

#include <algorithm>
#include <array>
#include <initializer_list>

namespace covewing::sim {

namespace {
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Faults begin after the fleet has formed.
constexpr base::Duration kFirstFault = seconds(6);
/// The end of the run's length stays free of new faults.
constexpr base::Duration kLastFault = seconds(32);

base::Duration between(base::RandomSource& random, base::Duration low, base::Duration high) {
  const auto range = static_cast<std::uint64_t>((high - low).count()) + 1;
  return low + base::Duration(static_cast<base::Duration::rep>(random.below(range)));
}

/// How long a fault of the kind lasts, by its nature.
base::Duration durationOf(FaultKind kind, base::RandomSource& random) {
  switch (kind) {
    case FaultKind::kHerdRestart:
      return between(random, milliseconds(200), seconds(3));
    case FaultKind::kHolderPause:
      return between(random, seconds(8), seconds(20));
    case FaultKind::kTableDown:
    case FaultKind::kTableSlow:
    case FaultKind::kObjectStoreDown:
    case FaultKind::kMachineListDown:
      return between(random, seconds(3), seconds(20));
    default:
      return between(random, milliseconds(500), seconds(8));
  }
}

/// The named faults, each once, at times drawn from the window.
ScenarioPlan planOf(base::RandomSource& random, std::initializer_list<FaultKind> kinds) {
  ScenarioPlan plan;
  for (const auto kind : kinds) {
    plan.faults.push_back(
        {kind, between(random, kFirstFault, kLastFault), durationOf(kind, random)});
  }
  return plan;
}

/// The named faults close together, so that they overlap.
ScenarioPlan overlapping(base::RandomSource& random, std::initializer_list<FaultKind> kinds) {
  ScenarioPlan plan;
  const auto from = between(random, kFirstFault, kLastFault - seconds(4));
  for (const auto kind : kinds) {
    plan.faults.push_back(
        {kind, from + between(random, milliseconds(0), seconds(2)), durationOf(kind, random)});
  }
  return plan;
}

ScenarioPlan withOrders(ScenarioPlan plan) {
  plan.orderPeriod = seconds(5);
  return plan;
}

ScenarioPlan withManyOperators(ScenarioPlan plan) {
  plan.operators.operators = 4;
  plan.operators.pause = milliseconds(1200);
  plan.operators.passingTenants = 2;
  return plan;
}

ScenarioPlan chaos(base::RandomSource& random) {
  constexpr std::uint64_t kFewestFaults = 4;
  constexpr std::uint64_t kMoreFaults = 9;
  ScenarioPlan plan;
  const auto count = kFewestFaults + random.below(kMoreFaults);
  for (std::uint64_t index = 0; index < count; ++index) {
    const auto kind = static_cast<FaultKind>(random.below(kFaultKindCount));
    plan.faults.push_back(
        {kind, between(random, kFirstFault, kLastFault), durationOf(kind, random)});
    // Now and then the same fault again, soon after the first.
    if (random.unit() < 0.2) {
      auto again = plan.faults.back();
      again.at = std::min(again.at + between(random, milliseconds(0), seconds(5)), kLastFault);
      plan.faults.push_back(again);
    }
  }
  return withOrders(withManyOperators(plan));
}

using K = FaultKind;
using R = base::RandomSource;

constexpr std::array kScenarios = {
    Scenario{"calm", "no fault at all", [](R&) { return withOrders(ScenarioPlan{}); }},
    Scenario{"engine-crash", "engines die and come back after seconds",
             [](R& r) {
               return planOf(r, {K::kEngineCrash, K::kEngineCrash, K::kEngineCrash});
             }},
    Scenario{
        "engine-empty-return", "engines are back, empty, before anybody has noticed",
        [](R& r) {
          return planOf(r, {K::kEngineEmptyReturn, K::kEngineEmptyReturn, K::kEngineEmptyReturn});
        }},
    Scenario{"engine-pause", "engines stand still for seconds",
             [](R& r) {
               return planOf(r, {K::kEnginePause, K::kEnginePause});
             }},
    Scenario{"event-loss", "cache events are lost",
             [](R& r) {
               return planOf(r, {K::kEventLoss, K::kEventLoss});
             }},
    Scenario{"herd-restart", "all nodes restart at once while the table service is down",
             [](R& r) {
               auto plan = planOf(r, {});
               const auto from = between(r, kFirstFault, seconds(15));
               plan.faults = {{K::kTableDown, from, seconds(10)},
                              {K::kHerdRestart, from + seconds(1), milliseconds(500)}};
               return plan;
             }},
    Scenario{"herd-restart-slow-store", "all nodes restart at once, the table service is slow",
             [](R& r) {
               return overlapping(r, {K::kTableSlow, K::kHerdRestart});
             }},
    Scenario{"hot-shift", "the popular prefix changes without warning",
             [](R& r) {
               return planOf(r, {K::kHotShift, K::kHotShift, K::kHotShift});
             }},
    Scenario{"store-down", "table service, object store and machine list are down",
             [](R& r) {
               return overlapping(r, {K::kTableDown, K::kObjectStoreDown, K::kMachineListDown});
             }},
    Scenario{"store-slow", "the table service answers slowly",
             [](R& r) {
               return withManyOperators(planOf(r, {K::kTableSlow, K::kTableSlow}));
             }},
    Scenario{"answer-lost", "answers of the table service are lost after their effect",
             [](R& r) {
               return withOrders(withManyOperators(planOf(r, {K::kAnswerLost, K::kAnswerLost})));
             }},
    Scenario{"lease-lapse-paused-holder", "the coordinator is paused for longer than its lease",
             [](R& r) {
               return withOrders(planOf(r, {K::kHolderPause, K::kHolderPause}));
             }},
    Scenario{"holder-crash", "the coordinator dies between its orders",
             [](R& r) {
               return withOrders(planOf(r, {K::kHolderCrash, K::kHolderCrash}));
             }},
    Scenario{"late-orders", "orders of a holder that was paused arrive after those of the next",
             [](R& r) {
               auto plan = planOf(r, {});
               const auto from = between(r, kFirstFault, seconds(14));
               plan.faults = {{K::kOrdersHeldUp, from, seconds(4)},
                              {K::kHolderPause, from + seconds(3), seconds(16)}};
               // Engines forget the identifiers of orders when they die, but not the token.
               constexpr int kEngineReturns = 10;
               for (int count = 0; count < kEngineReturns; ++count) {
                 const auto at = from + between(r, seconds(12), seconds(18));
                 plan.faults.push_back({K::kEngineEmptyReturn, at, milliseconds(100)});
               }
               plan.orderPeriod = seconds(2);
               return plan;
             }},
    Scenario{"racing-operators", "operators race for the same templates",
             [](R& r) {
               return withManyOperators(planOf(
                   r, {K::kOperatorRace, K::kOperatorRace, K::kOperatorRace, K::kOperatorRace}));
             }},
    Scenario{"zone-cut", "a zone is cut off and heals",
             [](R& r) {
               return planOf(r, {K::kZoneCut, K::kZoneCut});
             }},
    Scenario{"regions-apart", "the regions are cut off from each other",
             [](R& r) { return planOf(r, {K::kRegionsApart}); }},
    Scenario{"packet-loss", "packets are lost, repeated and reordered",
             [](R& r) {
               return planOf(r, {K::kPacketLoss, K::kPacketLoss});
             }},
    Scenario{"node-crash", "nodes die with their callers",
             [](R& r) {
               return planOf(r, {K::kNodeCrash, K::kNodeCrash, K::kNodeCrash});
             }},
    Scenario{"node-pause", "nodes are paused and wake",
             [](R& r) {
               return withManyOperators(planOf(r, {K::kNodePause, K::kNodePause, K::kNodePause}));
             }},
    Scenario{"rolling-restart", "every node is stopped as planned, under load",
             [](R& r) { return planOf(r, {K::kRollingRestart}); }},
    Scenario{"engine-leave", "engines and application replicas leave as planned",
             [](R& r) {
               return planOf(r, {K::kEngineLeave, K::kEngineLeave, K::kApplicationLeave});
             }},
    Scenario{"application-faults", "replicas die; answers are late, crossed, repeated, lost",
             [](R& r) {
               return planOf(r, {K::kApplicationAnswers, K::kApplicationCrash,
                                 K::kApplicationAnswers, K::kApplicationCrash});
             }},
    // Pairs that could matter.
    Scenario{"answer-lost-and-node-crash", "a node dies between its claim and the answer to it",
             [](R& r) {
               return overlapping(r, {K::kAnswerLost, K::kNodeCrash, K::kNodeCrash});
             }},
    Scenario{"zone-cut-and-table-down", "a cut-off zone meets a table service that is down",
             [](R& r) {
               return withManyOperators(overlapping(r, {K::kZoneCut, K::kTableDown}));
             }},
    Scenario{"holder-pause-and-answer-lost", "the lease moves while answers are lost",
             [](R& r) {
               return withOrders(overlapping(r, {K::kHolderPause, K::kAnswerLost}));
             }},
    Scenario{"engine-return-and-event-loss", "an engine returns empty while its events are lost",
             [](R& r) {
               return overlapping(r, {K::kEngineEmptyReturn, K::kEventLoss, K::kHotShift});
             }},
    Scenario{"rolling-restart-and-engine-crash", "a planned stop meets engines that die",
             [](R& r) {
               return overlapping(r, {K::kRollingRestart, K::kEngineCrash, K::kEngineCrash});
             }},
    Scenario{"engine-leave-and-zone-cut", "an engine leaves while its zone is cut off",
             [](R& r) {
               return overlapping(r, {K::kEngineLeave, K::kZoneCut});
             }},
    Scenario{"application-faults-and-zone-cut", "answers are crossed while a zone is cut off",
             [](R& r) {
               return overlapping(r, {K::kApplicationAnswers, K::kZoneCut, K::kNodeCrash});
             }},
    // The same one twice.
    Scenario{"herd-restart-twice", "all nodes restart, and again before they are done",
             [](R& r) {
               return overlapping(r, {K::kHerdRestart, K::kHerdRestart});
             }},
    Scenario{"zone-cut-twice", "two zones are cut off at once",
             [](R& r) {
               return overlapping(r, {K::kZoneCut, K::kZoneCut});
             }},
    Scenario{"chaos", "any of them at any moment", chaos},
};

EnginePlacement engineOf(std::size_t index, const Location& location, std::string_view model) {
  EnginePlacement engine;
  engine.location = location;
  engine.model.name = "engine-" + std::to_string(index);
  engine.model.capacityBlocks = 1024;
  engine.model.weights = {{std::string(model), 1, {"adapter-a"}}};
  return engine;
}
}  // namespace

std::span<const Scenario> scenarios() { return kScenarios; }

const Scenario* findScenario(std::string_view name) {
  const auto* found = std::ranges::find(kScenarios, name, &Scenario::name);
  return found == kScenarios.end() ? nullptr : found;
}

std::vector<WorkloadTenant> scenarioTenants() {
  return {{"tenant-a", "key-a", "rules", {"adapter-a"}},
          {"tenant-b", "key-b", "rules", {"adapter-a"}},
          {"tenant-c", "key-c", "notes", {}}};
}

FleetOptions scenarioFleet(std::uint64_t seed) {
  const std::array<Location, 4> kLocations = {
      {{"south-1", "south"}, {"south-2", "south"}, {"south-3", "south"}, {"north-1", "north"}}};
  constexpr std::size_t kNodes = 8;
  constexpr std::size_t kEngines = 8;
  constexpr std::size_t kReplicas = 4;
  FleetOptions options;
  options.seed = seed;
  for (std::size_t index = 0; index < kNodes; ++index) {
    options.nodes.push_back({"node-" + std::to_string(index), kLocations.at(index / 2)});
  }
  for (std::size_t index = 0; index < kEngines; ++index) {
    const auto* model = index % 2 == 0 ? "rules" : "notes";
    options.engines.push_back(engineOf(index, kLocations.at(index / 2), model));
  }
  for (std::size_t index = 0; index < kReplicas; ++index) {
    ApplicationPlacement replica;
    replica.location = kLocations.at(index);
    replica.model.name = "standings-" + std::to_string(index);
    replica.model.application = "standings";
    options.applications.push_back(std::move(replica));
  }
  std::uint64_t salt = 1000;
  for (const auto& tenant : scenarioTenants()) {
    options.templates.push_back({tenant.name, tenantDocument(tenant, kFirstMark, false), ++salt});
  }
  options.platform.region = "south";
  return options;
}

}  // namespace covewing::sim
