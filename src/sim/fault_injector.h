/// \file
/// Brings faults about in a simulated fleet, and counts those that really occurred.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "base/random.h"
#include "sim/fleet.h"
#include "sim/history_recorder.h"
#include "sim/operator_workload.h"
#include "sim/workload.h"

namespace covewing::sim {

enum class FaultKind : std::uint8_t {
  /// An engine dies and comes back after the duration, empty.
  kEngineCrash,
  /// An engine dies and is back, empty, before anybody has noticed.
  kEngineEmptyReturn,
  /// An engine stands still.
  kEnginePause,
  /// Cache events are lost while they are published.
  kEventLoss,
  /// All nodes die at once, and come back together.
  kHerdRestart,
  /// The popular document changes at once.
  kHotShift,
  kTableDown,
  kTableSlow,
  kObjectStoreDown,
  kMachineListDown,
  kKeptCacheDown,
  kWeightStoreDown,
  /// Answers of the table service are lost after the change took effect.
  kAnswerLost,
  /// The coordinator's process is paused for longer than its lease, unaware.
  kHolderPause,
  /// The coordinator dies.
  kHolderCrash,
  /// Any node is paused.
  kNodePause,
  /// Any node dies, with its callers.
  kNodeCrash,
  /// Operators race for one template.
  kOperatorRace,
  kZoneCut,
  kRegionsApart,
  /// Packets are lost, repeated and reordered.
  kPacketLoss,
  /// Nodes are slow between the decision to send an order and its first byte.
  kOrdersHeldUp,
  /// Every node is stopped as planned and started again, one after another.
  kRollingRestart,
  /// An engine leaves as planned, and another run of it comes back after the duration.
  kEngineLeave,
  /// An application replica leaves as planned.
  kApplicationLeave,
  kApplicationCrash,
  /// Application answers are late, crossed, repeated or lost after the execution.
  kApplicationAnswers,
};
inline constexpr std::size_t kFaultKindCount = 27;

/// Name in reports, such as "engine-crash".
std::string_view toString(FaultKind kind);

/// One fault of a scenario's plan.
struct PlannedFault {
  FaultKind kind = FaultKind::kEngineCrash;
  /// From the start of the run.
  base::Duration at{};
  /// How long it lasts, where that applies.
  base::Duration duration{};
};

using FaultCounts = std::array<std::uint64_t, kFaultKindCount>;

class FaultInjector {
 public:
  FaultInjector(Fleet& fleet, HistoryRecorder& recorder, Workload& callers,
                OperatorWorkload& operators, std::uint64_t seed);
  /// Schedules all faults of the plan, from now.
  void schedule(const std::vector<PlannedFault>& plan);
  /// Faults that occurred, by kind: a fault without a victim does not count.
  const FaultCounts& counts() const { return counts_; }

 private:
  void bringAbout(const PlannedFault& fault);
  void bringAboutOnBackEnds(const PlannedFault& fault);
  void bringAboutOnNodes(const PlannedFault& fault);
  void bringAboutOnPlatform(const PlannedFault& fault);
  void bringAboutOnNetwork(const PlannedFault& fault);
  /// Counts the fault and records it for its duration.
  void note(const PlannedFault& fault, std::string subject);
  void note(const PlannedFault& fault, std::string subject, base::Duration duration);
  void later(base::Duration delay, std::function<void()> action);

  void crashEngine(const PlannedFault& fault, base::Duration down);
  void pauseEngine(const PlannedFault& fault);
  void leaveEngine(const PlannedFault& fault);
  void loseEvents(const PlannedFault& fault);
  void crashApplication(const PlannedFault& fault);
  void leaveApplication(const PlannedFault& fault);
  void disturbApplicationAnswers(const PlannedFault& fault);
  void crashNode(const PlannedFault& fault, std::size_t index);
  void pauseNode(const PlannedFault& fault, std::size_t index);
  void crashAllNodes(const PlannedFault& fault);
  void restartNodesInTurn(const PlannedFault& fault);
  void restartNextNode(std::size_t index);
  void startNode(std::size_t index);
  void cutZone(const PlannedFault& fault);
  void cutRegions(const PlannedFault& fault);
  void disturbPackets(const PlannedFault& fault);
  void holdUpOrders(const PlannedFault& fault);
  void loseAnswers(const PlannedFault& fault);
  /// Sets a service down or slow, and back. A second fault of the service prolongs the first.
  void setService(const PlannedFault& fault, emulator::ServiceConditions& conditions,
                  emulator::ServiceMode mode);

  std::size_t pickNode();
  /// The node that was last heard to acquire a lease; the count of nodes when there is none.
  std::size_t holder() const;
  std::size_t liveEngines() const;

  Fleet& fleet_;
  HistoryRecorder& recorder_;
  Workload& callers_;
  OperatorWorkload& operators_;
  base::SeededRandom random_;
  FaultCounts counts_{};
  PathOptions calmSameZone_;
  PathOptions calmSameRegion_;
  PathOptions calmAcrossRegions_;
  bool rolling_ = false;
};

}  // namespace covewing::sim
