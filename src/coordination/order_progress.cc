#include "coordination/order_progress.h"

#include <algorithm>
#include <utility>

namespace covewing::coordination {

namespace {

/// Advances one order once.
class Progress {
 public:
  Progress(Order& order, const ProgressContext& context) : order_(order), context_(context) {}

  void run() {
    if (isFinal(order_.state)) return;
    startCancellation();
    for (OrderStep& step : order_.steps) advanceActive(step);
    for (OrderStep& step : order_.steps) reviewLoaded(step);
    startRollback();
    if (order_.state == OrderState::kRollingBack) {
      for (OrderStep& step : order_.steps) rollBack(step);
    } else {
      for (OrderStep& step : order_.steps) startStep(step);
      startUnloading();
    }
    finishOrder();
  }

 private:
  const StepEvidence& evidenceOf(const OrderStep& step) const {
    static const StepEvidence kNone{};
    const auto found = context_.evidence.find(step.engine);
    return found == context_.evidence.end() ? kNone : found->second;
  }

  static void enter(OrderStep& step, StepState state, std::string detail = {}) {
    step.state = state;
    step.detail = std::move(detail);
  }

  bool any(StepState state) const {
    return std::ranges::any_of(order_.steps,
                               [state](const OrderStep& step) { return step.state == state; });
  }
  std::uint32_t count(StepState state) const {
    return static_cast<std::uint32_t>(std::ranges::count_if(
        order_.steps, [state](const OrderStep& step) { return step.state == state; }));
  }
  bool allStepsFinal() const {
    return std::ranges::all_of(order_.steps,
                               [](const OrderStep& step) { return isFinal(step.state); });
  }

  // --- steps in progress

  void advanceActive(OrderStep& step) {
    if (!isActive(step.state)) return;
    const StepEvidence& evidence = evidenceOf(step);
    if (!evidence.refusal.empty()) return enter(step, StepState::kFailed, evidence.refusal);
    if (evidence.observation) observe(step, *evidence.observation);
    if (!isActive(step.state)) return;
    if (!evidence.listed && evidence.timeInState >= context_.limits.absenceTimeout) {
      return enter(step, StepState::kSkipped, "the engine is gone");
    }
    if (evidence.timeInState >= context_.limits.stepTimeout) {
      enter(step, StepState::kFailed, "the engine did not finish in time");
    }
  }

  void observe(OrderStep& step, const EngineObservation& engine) {
    // A load that continues keeps its slot, also on an engine that is leaving.
    if (engine.leaving && step.state != StepState::kLoading) {
      return enter(step, StepState::kSkipped, "the engine is leaving");
    }
    step.incarnation = engine.incarnation;
    switch (step.state) {
      case StepState::kLoading:
        if (holdsWeights(engine.weights, order_.weights)) {
          enter(step, order_.type == OrderType::kSwap ? StepState::kLoaded : StepState::kDone);
        }
        return;
      case StepState::kUnloading:
        if (!holdsOldVersion(step, engine)) enter(step, StepState::kDone);
        return;
      case StepState::kRollingBack:
        if (!holdsVersion(engine.weights, order_.weights.model, order_.weights.version)) {
          enter(step, StepState::kRolledBack);
        }
        return;
      case StepState::kChanging:
        if (engine.role != order_.role) return;
        enter(step, order_.role == clients::EngineRole::kStandby ? StepState::kDraining
                                                                 : StepState::kDone);
        return;
      case StepState::kDraining:
        if (engine.requests == 0) enter(step, StepState::kDone);
        return;
      default:
        return;
    }
  }

  bool holdsOldVersion(const OrderStep& step, const EngineObservation& engine) const {
    return std::ranges::any_of(step.oldVersions, [&](base::WeightsVersion version) {
      return holdsVersion(engine.weights, order_.weights.model, version);
    });
  }

  /// A step whose engine restarted without the version loads it again; one whose engine is
  /// unresponsive or leaving is skipped.
  void reviewLoaded(OrderStep& step) {
    if (step.state != StepState::kLoaded) return;
    const StepEvidence& evidence = evidenceOf(step);
    if (!evidence.observation) {
      if (evidence.timeInState >= context_.limits.absenceTimeout) {
        enter(step, StepState::kSkipped, "the engine does not answer");
      }
      return;
    }
    if (evidence.observation->leaving) {
      return enter(step, StepState::kSkipped, "the engine is leaving");
    }
    if (holdsWeights(evidence.observation->weights, order_.weights)) return;
    enter(step, StepState::kWaiting, "the engine came back without the version");
  }

  // --- starting steps

  void startStep(OrderStep& step) {
    if (step.state != StepState::kWaiting) return;
    const StepEvidence& evidence = evidenceOf(step);
    if (!evidence.observation) return waitForReport(step, evidence);
    if (evidence.observation->leaving) {
      return enter(step, StepState::kSkipped, "the engine is leaving");
    }
    const auto blocking = context_.blockedEngines.find(step.engine);
    if (blocking != context_.blockedEngines.end()) {
      step.detail = "order " + blocking->second + " works on the engine";
      return;
    }
    if (order_.type == OrderType::kRole) return startRoleChange(step, *evidence.observation);
    startLoad(step, *evidence.observation);
  }

  void waitForReport(OrderStep& step, const StepEvidence& evidence) {
    if (evidence.timeInState >= context_.limits.absenceTimeout) {
      return enter(step, StepState::kSkipped, "the engine does not answer");
    }
    // The engine of a step that is not among the next ones is not polled, so that there is no
    // report.
    if (step.detail.empty()) step.detail = "waits for its turn";
  }

  void startLoad(OrderStep& step, const EngineObservation& engine) {
    if (holdsWeights(engine.weights, order_.weights)) {
      step.hadVersion = true;
      recordStart(step, engine);
      return enter(step, order_.type == OrderType::kSwap ? StepState::kLoaded : StepState::kDone,
                   "was loaded before");
    }
    step.detail = reasonToWait(step);
    if (!step.detail.empty()) return;
    step.hadVersion = holdsVersion(engine.weights, order_.weights.model, order_.weights.version);
    recordStart(step, engine);
    enter(step, StepState::kLoading);
  }

  void recordStart(OrderStep& step, const EngineObservation& engine) {
    step.incarnation = engine.incarnation;
    addOldVersions(step, engine);
  }

  /// Adds to the versions already recorded: an engine that is restarting reports fewer versions for
  /// a while than it will have.
  void addOldVersions(OrderStep& step, const EngineObservation& engine) const {
    for (const clients::LoadedWeights& loaded : engine.weights) {
      const bool isOld =
          loaded.model == order_.weights.model && loaded.version != order_.weights.version;
      const bool known =
          std::ranges::find(step.oldVersions, loaded.version) != step.oldVersions.end();
      if (isOld && !known) step.oldVersions.push_back(loaded.version);
    }
  }

  /// Reason why the engine's load may not start now; empty if it may.
  std::string reasonToWait(const OrderStep& step) const {
    const std::uint32_t own = count(StepState::kLoading);
    if (isCanaryPending()) return "waits for the first engine to finish";
    if (context_.slotsInUse + own >= context_.limits.loadSlots) {
      return "all " + std::to_string(context_.limits.loadSlots) + " load slots are in use";
    }
    if (order_.parallel > 0 && own >= order_.parallel) {
      return "the order may load on " + std::to_string(order_.parallel) + " engines at once";
    }
    if (order_.minimumServing > 0 && servingWithout(step) < order_.minimumServing) {
      return "fewer than " + std::to_string(order_.minimumServing) + " engines would serve";
    }
    return {};
  }

  /// The first engine of a swap must have loaded before the second starts.
  bool isCanaryPending() const {
    if (order_.type != OrderType::kSwap) return false;
    return any(StepState::kLoading) && !any(StepState::kLoaded);
  }

  bool isLoading(const std::string& engine) const {
    return std::ranges::any_of(order_.steps, [&engine](const OrderStep& step) {
      return step.engine == engine && usesLoadSlot(step.state);
    });
  }

  /// Number of engines that serve the model while this step and those in progress load.
  std::uint32_t servingWithout(const OrderStep& step) const {
    return static_cast<std::uint32_t>(
        std::ranges::count_if(context_.servingEngines, [&](const CatalogueEngine& engine) {
          const std::string& name = engine.address.name;
          return name != step.engine && !isLoading(name) &&
                 holdsModel(engine.weights, order_.weights.model);
        }));
  }

  void startRoleChange(OrderStep& step, const EngineObservation& engine) {
    if (engine.role == order_.role) {
      return enter(step, StepState::kDone, "had the role before");
    }
    if (order_.role == clients::EngineRole::kStandby) {
      step.detail = reasonToKeepServing(step, engine);
      if (!step.detail.empty()) return;
    }
    step.incarnation = engine.incarnation;
    enter(step, StepState::kChanging);
  }

  std::string reasonToKeepServing(const OrderStep& step, const EngineObservation& engine) const {
    for (const clients::LoadedWeights& loaded : engine.weights) {
      const auto others = static_cast<std::uint32_t>(
          std::ranges::count_if(context_.servingEngines, [&](const CatalogueEngine& other) {
            return other.address.name != step.engine && !isLeavingService(other.address.name) &&
                   holdsModel(other.weights, loaded.model);
          }));
      if (others < order_.minimumServing) {
        return "fewer than " + std::to_string(order_.minimumServing) + " engines would serve " +
               loaded.model;
      }
    }
    return {};
  }

  /// Whether the order has begun to take the engine out of service.
  bool isLeavingService(const std::string& engine) const {
    return std::ranges::any_of(order_.steps, [&](const OrderStep& step) {
      return step.engine == engine && step.state != StepState::kWaiting;
    });
  }

  // --- second half of a swap

  void startUnloading() {
    if (!isSettling(order_)) return;
    if (context_.settledFor < context_.limits.settleTime || !allLoadedConfirmed()) return;
    for (OrderStep& step : order_.steps) {
      if (step.state != StepState::kLoaded) continue;
      addOldVersions(step, *evidenceOf(step).observation);
      const bool nothingToUnload = order_.keepOld || step.oldVersions.empty();
      enter(step, nothingToUnload ? StepState::kDone : StepState::kUnloading);
    }
  }

  /// Whether every engine has recently reported the new version.
  bool allLoadedConfirmed() const {
    return std::ranges::all_of(order_.steps, [this](const OrderStep& step) {
      return step.state != StepState::kLoaded || evidenceOf(step).observation.has_value();
    });
  }

  // --- failure and cancellation

  void startCancellation() {
    if (!order_.cancelRequested) return;
    for (OrderStep& step : order_.steps) {
      if (step.state == StepState::kWaiting) enter(step, StepState::kCancelled);
    }
    const bool canRollBack = order_.type == OrderType::kSwap && !isUnloadingOrDone();
    if (!canRollBack) return;
    order_.state = OrderState::kRollingBack;
    order_.detail = "cancelled";
  }

  bool isUnloadingOrDone() const { return any(StepState::kUnloading) || any(StepState::kDone); }

  void startRollback() {
    if (order_.type != OrderType::kSwap || order_.state == OrderState::kRollingBack) return;
    if (isUnloadingOrDone()) return;
    const auto failed = std::ranges::find_if(
        order_.steps, [](const OrderStep& step) { return step.state == StepState::kFailed; });
    if (failed == order_.steps.end()) return;
    order_.state = OrderState::kRollingBack;
    order_.detail = failed->engine + " failed: " + failed->detail;
  }

  void rollBack(OrderStep& step) {
    if (step.state == StepState::kWaiting) return enter(step, StepState::kCancelled);
    if (step.state != StepState::kLoaded) return;
    if (step.hadVersion) return enter(step, StepState::kCancelled, "had the version before");
    enter(step, StepState::kRollingBack);
  }

  void finishOrder() {
    const bool started = std::ranges::any_of(
        order_.steps, [](const OrderStep& step) { return step.state != StepState::kWaiting; });
    if (order_.state == OrderState::kPending && started) order_.state = OrderState::kRunning;
    if (!allStepsFinal()) return;
    if (any(StepState::kFailed)) {
      if (order_.detail.empty()) {
        order_.detail = std::to_string(count(StepState::kFailed)) + " engines failed";
      }
      order_.state = OrderState::kFailed;
    } else if (order_.state == OrderState::kRollingBack || any(StepState::kCancelled)) {
      order_.state = OrderState::kCancelled;
    } else if (!any(StepState::kDone)) {
      order_.state = OrderState::kFailed;
      order_.detail = "no engine was left";
    } else {
      order_.state = OrderState::kDone;
      if (any(StepState::kSkipped)) {
        order_.detail = std::to_string(count(StepState::kSkipped)) + " engines were skipped";
      }
    }
  }

  Order& order_;
  const ProgressContext& context_;
};

/// Identifier of an engine order: the same in repetitions, a new one after a restart of the engine.
std::string engineOrderId(const Order& order, const OrderStep& step, std::string_view operation) {
  return order.id + "/" + step.engine + "/" + std::string(operation) + "/" +
         std::to_string(step.incarnation);
}

}  // namespace

void advanceOrder(Order& order, const ProgressContext& context) { Progress(order, context).run(); }

bool isSettling(const Order& order) {
  if (order.type != OrderType::kSwap || order.state != OrderState::kRunning) return false;
  bool loaded = false;
  for (const OrderStep& step : order.steps) {
    loaded = loaded || step.state == StepState::kLoaded;
    if (step.state != StepState::kLoaded && !isFinal(step.state)) return false;
  }
  return loaded;
}

std::vector<clients::EngineOrder> engineOrdersFor(const Order& order, const OrderStep& step,
                                                  base::FencingToken token) {
  std::vector<clients::EngineOrder> result;
  clients::EngineOrder one;
  one.fencingToken = token;
  one.weights = order.weights;
  one.role = order.role;
  switch (step.state) {
    case StepState::kLoading:
      one.orderId = engineOrderId(order, step, "load");
      one.kind = clients::OrderKind::kLoadWeights;
      result.push_back(std::move(one));
      break;
    case StepState::kRollingBack:
      one.orderId = engineOrderId(order, step, "unload");
      one.kind = clients::OrderKind::kUnloadWeights;
      result.push_back(std::move(one));
      break;
    case StepState::kChanging:
      one.orderId = engineOrderId(order, step, "role");
      one.kind = clients::OrderKind::kChangeRole;
      result.push_back(std::move(one));
      break;
    case StepState::kUnloading:
      for (const base::WeightsVersion version : step.oldVersions) {
        one.orderId = engineOrderId(order, step, "unload-" + std::to_string(version));
        one.kind = clients::OrderKind::kUnloadWeights;
        one.weights = {order.weights.model, version, {}};
        result.push_back(one);
      }
      break;
    default:
      break;
  }
  return result;
}

}  // namespace covewing::coordination
