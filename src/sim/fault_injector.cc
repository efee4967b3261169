#include "sim/fault_injector.h"

#include <algorithm>
#include <utility>

namespace covewing::sim {

namespace {
constexpr base::Duration kEmptyReturn = std::chrono::milliseconds(40);
constexpr base::Duration kDrainBound = std::chrono::seconds(30);
/// Between the end of one node's restart and the stop of the next.
constexpr base::Duration kRollingPause = std::chrono::milliseconds(500);
constexpr base::Duration kNodeDown = std::chrono::milliseconds(300);
constexpr base::Duration kOrderDelay = std::chrono::seconds(6);
constexpr double kEventLossRate = 0.2;
constexpr double kAnswerLossRate = 0.5;
constexpr double kPacketFaultRate = 0.05;
constexpr double kApplicationFaultRate = 0.15;
}  // namespace

std::string_view toString(FaultKind kind) {
  constexpr std::array<std::string_view, kFaultKindCount> kNames = {
      "engine-crash",      "engine-empty-return", "engine-pause",       "event-loss",
      "herd-restart",      "hot-shift",           "table-down",         "table-slow",
      "object-store-down", "machine-list-down",   "kept-cache-down",    "weight-store-down",
      "answer-lost",       "holder-pause",        "holder-crash",       "node-pause",
      "node-crash",        "operator-race",       "zone-cut",           "regions-apart",
      "packet-loss",       "orders-held-up",      "rolling-restart",    "engine-leave",
      "application-leave", "application-crash",   "application-answers"};
  return kNames.at(static_cast<std::size_t>(kind));
}

FaultInjector::FaultInjector(Fleet& fleet, HistoryRecorder& recorder, Workload& callers,
                             OperatorWorkload& operators, std::uint64_t seed)
    : fleet_(fleet),
      recorder_(recorder),
      callers_(callers),
      operators_(operators),
      random_(seed),
      calmSameZone_(fleet.network().options().sameZone),
      calmSameRegion_(fleet.network().options().sameRegion),
      calmAcrossRegions_(fleet.network().options().acrossRegions) {}

void FaultInjector::schedule(const std::vector<PlannedFault>& plan) {
  for (const auto& fault : plan) later(fault.at, [this, fault] { bringAbout(fault); });
}

void FaultInjector::later(base::Duration delay, std::function<void()> action) {
  fleet_.scheduler().after(delay, std::move(action));
}

void FaultInjector::note(const PlannedFault& fault, std::string subject) {
  note(fault, std::move(subject), fault.duration);
}

void FaultInjector::note(const PlannedFault& fault, std::string subject, base::Duration duration) {
  ++counts_.at(static_cast<std::size_t>(fault.kind));
  recorder_.noteFault(std::string(toString(fault.kind)), std::move(subject), duration);
}

void FaultInjector::bringAbout(const PlannedFault& fault) {
  bringAboutOnBackEnds(fault);
  bringAboutOnNodes(fault);
  bringAboutOnPlatform(fault);
  bringAboutOnNetwork(fault);
}

void FaultInjector::bringAboutOnBackEnds(const PlannedFault& fault) {
  switch (fault.kind) {
    case FaultKind::kEngineCrash:
      return crashEngine(fault, fault.duration);
    case FaultKind::kEngineEmptyReturn:
      return crashEngine(fault, kEmptyReturn);
    case FaultKind::kEnginePause:
      return pauseEngine(fault);
    case FaultKind::kEngineLeave:
      return leaveEngine(fault);
    case FaultKind::kEventLoss:
      return loseEvents(fault);
    case FaultKind::kApplicationLeave:
      return leaveApplication(fault);
    case FaultKind::kApplicationCrash:
      return crashApplication(fault);
    case FaultKind::kApplicationAnswers:
      return disturbApplicationAnswers(fault);
    case FaultKind::kHotShift:
      note(fault, "document", base::Duration::zero());
      callers_.shiftHotDocument();
      return;
    default:
      return;
  }
}

void FaultInjector::bringAboutOnNodes(const PlannedFault& fault) {
  switch (fault.kind) {
    case FaultKind::kHerdRestart:
      return crashAllNodes(fault);
    case FaultKind::kHolderPause:
      return pauseNode(fault, holder());
    case FaultKind::kHolderCrash:
      return crashNode(fault, holder());
    case FaultKind::kNodePause:
      return pauseNode(fault, pickNode());
    case FaultKind::kNodeCrash:
      return crashNode(fault, pickNode());
    case FaultKind::kRollingRestart:
      return restartNodesInTurn(fault);
    case FaultKind::kOperatorRace:
      note(fault, "template", base::Duration::zero());
      operators_.race();
      return;
    default:
      return;
  }
}

void FaultInjector::bringAboutOnPlatform(const PlannedFault& fault) {
  using emulator::ServiceMode;
  switch (fault.kind) {
    case FaultKind::kTableDown:
      return setService(fault, fleet_.table().conditions(), ServiceMode::kDown);
    case FaultKind::kTableSlow:
      return setService(fault, fleet_.table().conditions(), ServiceMode::kSlow);
    case FaultKind::kObjectStoreDown:
      return setService(fault, fleet_.objects().conditions(), ServiceMode::kDown);
    case FaultKind::kMachineListDown:
      return setService(fault, fleet_.machines().conditions(), ServiceMode::kDown);
    case FaultKind::kKeptCacheDown:
      if (fleet_.keptCacheStore() == nullptr) return;
      note(fault, "kept-cache-store");
      fleet_.keptCacheStore()->setDown(true);
      later(fault.duration, [this] { fleet_.keptCacheStore()->setDown(false); });
      return;
    case FaultKind::kWeightStoreDown:
      note(fault, "weight-store");
      fleet_.weightStore().setSpeed(0.0);
      later(fault.duration, [this] { fleet_.weightStore().setSpeed(1.0); });
      return;
    case FaultKind::kAnswerLost:
      return loseAnswers(fault);
    default:
      return;
  }
}

void FaultInjector::bringAboutOnNetwork(const PlannedFault& fault) {
  switch (fault.kind) {
    case FaultKind::kZoneCut:
      return cutZone(fault);
    case FaultKind::kRegionsApart:
      return cutRegions(fault);
    case FaultKind::kPacketLoss:
      return disturbPackets(fault);
    case FaultKind::kOrdersHeldUp:
      return holdUpOrders(fault);
    default:
      return;
  }
}

// --- back ends

std::size_t FaultInjector::liveEngines() const {
  std::size_t live = 0;
  for (std::size_t index = 0; index < fleet_.engineCount(); ++index) {
    auto& engine = fleet_.engine(index);
    if (!engine.process().crashed() && !engine.model().isLeaving()) ++live;
  }
  return live;
}

void FaultInjector::crashEngine(const PlannedFault& fault, base::Duration down) {
  const auto index = random_.below(fleet_.engineCount());
  auto& engine = fleet_.engine(index);
  if (engine.process().crashed() || engine.model().isLeaving()) return;
  note(fault, engine.model().name(), down);
  engine.crash();
  later(down, [this, &engine] {
    recorder_.noteEngineRestart();
    engine.restart();
  });
}

void FaultInjector::pauseEngine(const PlannedFault& fault) {
  auto& engine = fleet_.engine(random_.below(fleet_.engineCount()));
  if (!engine.process().running()) return;
  note(fault, engine.model().name());
  engine.pause();
  later(fault.duration, [&engine] { engine.resume(); });
}

void FaultInjector::leaveEngine(const PlannedFault& fault) {
  constexpr std::size_t kFewestEngines = 3;
  const auto index = random_.below(fleet_.engineCount());
  auto& engine = fleet_.engine(index);
  if (engine.process().crashed() || engine.model().isLeaving()) return;
  if (liveEngines() <= kFewestEngines) return;
  note(fault, engine.model().name(), base::Duration::zero());
  recorder_.noteLeave(engine.model().id(), engine.model().name());
  fleet_.leaveEngine(index);
}

void FaultInjector::loseEvents(const PlannedFault& fault) {
  note(fault, "cache-events");
  const auto set = [this](double rate) {
    for (std::size_t index = 0; index < fleet_.engineCount(); ++index) {
      fleet_.engine(index).model().journal().options().lossRate = rate;
    }
  };
  set(kEventLossRate);
  later(fault.duration, [set] { set(0.0); });
}

void FaultInjector::crashApplication(const PlannedFault& fault) {
  auto& replica = fleet_.application(random_.below(fleet_.applicationCount()));
  if (replica.process().crashed()) return;
  note(fault, replica.model().name());
  replica.crash();
  later(fault.duration, [&replica] { replica.restart(); });
}

void FaultInjector::leaveApplication(const PlannedFault& fault) {
  std::size_t staying = 0;
  for (std::size_t index = 0; index < fleet_.applicationCount(); ++index) {
    if (!fleet_.application(index).model().isLeaving()) ++staying;
  }
  const auto index = random_.below(fleet_.applicationCount());
  auto& replica = fleet_.application(index);
  if (staying <= 1 || replica.process().crashed() || replica.model().isLeaving()) return;
  note(fault, replica.model().name(), base::Duration::zero());
  recorder_.noteLeave(replica.model().id(), replica.model().name());
  fleet_.leaveApplication(index);
}

void FaultInjector::disturbApplicationAnswers(const PlannedFault& fault) {
  note(fault, "application-answers");
  const auto set = [this](double rate) {
    for (std::size_t index = 0; index < fleet_.applicationCount(); ++index) {
      auto& faults = fleet_.application(index).model().faults();
      faults.delayAnswer = rate;
      faults.crossAnswer = rate;
      faults.repeatAnswer = rate;
      faults.loseAnswer = rate;
      faults.refuse = rate;
    }
  };
  set(kApplicationFaultRate);
  later(fault.duration, [set] { set(0.0); });
}

// --- nodes

std::size_t FaultInjector::pickNode() {
  return static_cast<std::size_t>(random_.below(fleet_.nodeCount()));
}

std::size_t FaultInjector::holder() const {
  // Orders of these scenarios are for the first region; each region has a lease of its own.
  const auto& region = fleet_.options().nodes.front().location.region;
  const auto& log = recorder_.history().log;
  const auto acquired = std::find_if(log.rbegin(), log.rend(), [&](const LoggedEvent& event) {
    return event.event == base::Event::kLeaseAcquired &&
           event.detail.find(region) != std::string::npos;
  });
  if (acquired == log.rend()) return fleet_.nodeCount();
  const auto& nodes = recorder_.history().nodes;
  return static_cast<std::size_t>(std::ranges::find(nodes, acquired->node) - nodes.begin());
}

void FaultInjector::startNode(std::size_t index) {
  if (!fleet_.node(index).process().crashed()) return;
  fleet_.node(index).start();
  recorder_.noteNode(index, NodeEventKind::kStarted);
}

void FaultInjector::crashNode(const PlannedFault& fault, std::size_t index) {
  if (index >= fleet_.nodeCount() || fleet_.node(index).process().crashed()) return;
  note(fault, fleet_.node(index).name());
  recorder_.noteNode(index, NodeEventKind::kCrashed);
  fleet_.node(index).crash();
  later(fault.duration, [this, index] { startNode(index); });
}

void FaultInjector::pauseNode(const PlannedFault& fault, std::size_t index) {
  if (index >= fleet_.nodeCount() || !fleet_.node(index).process().running()) return;
  note(fault, fleet_.node(index).name());
  recorder_.noteNode(index, NodeEventKind::kPaused);
  fleet_.node(index).pause();
  later(fault.duration, [this, index] {
    if (fleet_.node(index).process().state() != Process::State::kPaused) return;
    recorder_.noteNode(index, NodeEventKind::kResumed);
    fleet_.node(index).resume();
  });
}

void FaultInjector::crashAllNodes(const PlannedFault& fault) {
  note(fault, "all nodes");
  for (std::size_t index = 0; index < fleet_.nodeCount(); ++index) {
    if (fleet_.node(index).process().crashed()) continue;
    recorder_.noteNode(index, NodeEventKind::kCrashed);
    fleet_.node(index).crash();
  }
  later(fault.duration, [this] {
    for (std::size_t index = 0; index < fleet_.nodeCount(); ++index) startNode(index);
  });
}

void FaultInjector::restartNodesInTurn(const PlannedFault& fault) {
  if (std::exchange(rolling_, true)) return;
  note(fault, "all nodes", base::Duration::zero());
  restartNextNode(0);
}

void FaultInjector::restartNextNode(std::size_t index) {
  if (index >= fleet_.nodeCount()) {
    rolling_ = false;
    return;
  }
  auto& node = fleet_.node(index);
  const auto next = [this, index] { restartNextNode(index + 1); };
  if (!node.process().running()) {
    later(kRollingPause, next);
    return;
  }
  const auto incarnation = node.process().incarnation();
  recorder_.noteNode(index, NodeEventKind::kDrainBegan);
  node.stop(kDrainBound, [this, index, next](std::size_t openCalls) {
    recorder_.noteNode(index, NodeEventKind::kDrained, openCalls);
    later(kNodeDown, [this, index, next] {
      startNode(index);
      later(kRollingPause, next);
    });
  });
  // Should the node die while it drains, the next one is not kept waiting.
  later(kDrainBound + kRollingPause, [this, &node, incarnation, next] {
    const bool stillDraining = rolling_ && node.process().incarnation() == incarnation;
    if (stillDraining && node.process().crashed()) next();
  });
}

// --- platform

void FaultInjector::setService(const PlannedFault& fault, emulator::ServiceConditions& conditions,
                               emulator::ServiceMode mode) {
  if (conditions.mode() != emulator::ServiceMode::kNormal) return;
  note(fault, std::string(toString(fault.kind)));
  conditions.setMode(mode);
  later(fault.duration, [&conditions] { conditions.setMode(emulator::ServiceMode::kNormal); });
}

void FaultInjector::loseAnswers(const PlannedFault& fault) {
  note(fault, "table");
  fleet_.table().conditions().setAnswerLoss(kAnswerLossRate);
  later(fault.duration, [this] { fleet_.table().conditions().setAnswerLoss(0.0); });
}

// --- network

void FaultInjector::cutZone(const PlannedFault& fault) {
  const auto& zone = fleet_.options().nodes[pickNode()].location.zone;
  note(fault, zone);
  fleet_.network().cutZone(zone, true);
  later(fault.duration, [this, &zone] { fleet_.network().cutZone(zone, false); });
}

void FaultInjector::cutRegions(const PlannedFault& fault) {
  const auto& first = fleet_.options().nodes.front().location.region;
  const auto& last = fleet_.options().nodes.back().location.region;
  if (first == last) return;
  note(fault, first + "/" + last);
  fleet_.network().cutRegions(first, last, true);
  later(fault.duration, [this, &first, &last] { fleet_.network().cutRegions(first, last, false); });
}

void FaultInjector::holdUpOrders(const PlannedFault& fault) {
  note(fault, "orders", fault.duration + kOrderDelay);
  fleet_.network().options().orderDelay = kOrderDelay;
  later(fault.duration, [this] { fleet_.network().options().orderDelay = base::Duration::zero(); });
}

void FaultInjector::disturbPackets(const PlannedFault& fault) {
  note(fault, "network");
  auto& options = fleet_.network().options();
  for (auto* path : {&options.sameZone, &options.sameRegion, &options.acrossRegions}) {
    path->loss = kPacketFaultRate;
    path->duplicate = kPacketFaultRate;
    path->reorder = kPacketFaultRate;
  }
  later(fault.duration, [this] {
    auto& calm = fleet_.network().options();
    calm.sameZone = calmSameZone_;
    calm.sameRegion = calmSameRegion_;
    calm.acrossRegions = calmAcrossRegions_;
  });
}

}  // namespace covewing::sim
