#include "sim/simulation_run.h"

#include <algorithm>
#include <map>
#include <utility>

#include "sim/order_workload.h"

namespace covewing::sim {

namespace {
void keepLongest(std::optional<base::Duration>& longest, base::Duration duration) {
  if (!longest || duration > *longest) longest = duration;
}

std::optional<base::Duration> leaveToLastDispatch(const History& history) {
  std::optional<base::Duration> longest;
  for (const auto& leave : history.leaves) {
    keepLongest(longest, base::Duration::zero());
    const auto note = [&](base::EngineId backEnd, base::TimePoint at) {
      if (backEnd == leave.backEnd && at >= leave.at) keepLongest(longest, at - leave.at);
    };
    for (const auto& execution : history.executions) {
      note(execution.record.engine, execution.acceptedAt);
    }
    for (const auto& refusal : history.engineRefusals) note(refusal.engine, refusal.at);
    for (const auto& execution : history.replicaExecutions) {
      note(execution.execution.replica, execution.at);
    }
  }
  return longest;
}

/// Over accepted changes, until the last node of the first runs had it in force.
void measureAcceptance(const History& history, MeasuredTimes& times) {
  for (const auto& call : history.operatorCalls) {
    if (call.status != OperatorCallStatus::kAccepted || !call.returnedAt) continue;
    std::map<std::pair<std::size_t, base::Incarnation>, base::TimePoint> reached;
    for (const auto& sample : history.templates) {
      if (sample.name != call.name || sample.revision < call.version) continue;
      reached.emplace(std::pair(sample.node, sample.incarnation), sample.at);
    }
    for (const auto& [run, at] : reached) {
      // Runs that began later have it from their start.
      if (run.second != 1 || at <= *call.returnedAt) continue;
      const bool disturbed = history.disturbed(call.invokedAt, at);
      keepLongest(disturbed ? times.acceptToEverywhereDisturbed : times.acceptToEverywhere,
                  at - *call.returnedAt);
    }
  }
}

std::optional<base::Duration> fromStart(const History& history, NodeEventKind kind) {
  std::optional<base::Duration> longest;
  for (const auto& started : history.nodeEvents) {
    if (started.kind != NodeEventKind::kStarted) continue;
    for (const auto& event : history.nodeEvents) {
      const bool same = event.node == started.node && event.incarnation == started.incarnation;
      if (same && event.kind == kind) keepLongest(longest, event.at - started.at);
    }
  }
  return longest;
}

std::optional<base::Duration> failureToDetection(const History& history) {
  std::optional<base::Duration> longest;
  for (const auto& crash : history.nodeEvents) {
    if (crash.kind != NodeEventKind::kCrashed) continue;
    const auto subject = "member=" + history.nodes[crash.node];
    const auto noticed = std::ranges::find_if(history.log, [&](const LoggedEvent& event) {
      const bool dead =
          event.event == base::Event::kMemberDead || event.event == base::Event::kMemberSuspected;
      return dead && event.at >= crash.at && event.detail.starts_with(subject);
    });
    // A node that was back before anybody missed it is not counted.
    const bool back = std::ranges::any_of(history.nodeEvents, [&](const NodeEvent& event) {
      return event.node == crash.node && event.kind == NodeEventKind::kStarted &&
             event.at >= crash.at && (noticed == history.log.end() || event.at < noticed->at);
    });
    if (noticed != history.log.end() && !back) keepLongest(longest, noticed->at - crash.at);
  }
  return longest;
}

/// Calls `measure` with each time at which the holder of the lease died or was paused.
template <class Measure>
void forEachHolderLoss(const History& history, Measure measure) {
  for (const auto& fault : history.faults) {
    if (fault.kind != toString(FaultKind::kHolderPause) &&
        fault.kind != toString(FaultKind::kHolderCrash)) {
      continue;
    }
    measure(fault);
  }
}
}  // namespace

MeasuredTimes measureTimes(const History& history, std::string_view region) {
  MeasuredTimes times;
  times.leaveToLastDispatch = leaveToLastDispatch(history);
  measureAcceptance(history, times);
  times.restartToReady = fromStart(history, NodeEventKind::kReady);
  times.restartToFirstServed = fromStart(history, NodeEventKind::kFirstServed);
  times.nodeFailureToDetection = failureToDetection(history);
  forEachHolderLoss(history, [&](const FaultRecord& fault) {
    const auto acquired = std::ranges::find_if(history.log, [&](const LoggedEvent& event) {
      return event.event == base::Event::kLeaseAcquired && event.at > fault.from &&
             event.node != fault.subject && event.detail.find(region) != std::string::npos;
    });
    if (acquired == history.log.end()) return;
    keepLongest(times.holderLossToNextLease, acquired->at - fault.from);
    const auto obeyed = std::ranges::find_if(history.orders, [&](const OrderRecord& order) {
      return order.at >= acquired->at && order.reply.status == clients::OrderStatus::kAccepted;
    });
    if (obeyed != history.orders.end()) {
      keepLongest(times.holderLossToNextOrder, obeyed->at - fault.from);
    }
  });
  return times;
}

CallCounts countCalls(const History& history) {
  CallCounts counts;
  for (const auto& call : history.calls) {
    ++counts.calls;
    switch (call.ending) {
      case CallEnding::kOpen:
        ++counts.open;
        break;
      case CallEnding::kComplete:
        ++counts.complete;
        break;
      case CallEnding::kRefused:
        ++counts.refusals[call.refusal.reason.code];
        ++(call.refusal.outcome == request::Outcome::kNotRun ? counts.refusedNotRun
                                                             : counts.refusedUnknown);
        break;
      case CallEnding::kNodeLost:
        ++counts.nodeLost;
        break;
      case CallEnding::kDisconnected:
        ++counts.disconnected;
        break;
    }
  }
  return counts;
}

SimulationResult runScenario(const Scenario& scenario, std::uint64_t seed, Mutation mutation) {
  base::SeededRandom seeds(base::mixHash(seed, base::hashName(scenario.name)));
  auto options = scenarioFleet(seeds.next());
  const auto plan = scenario.plan(seeds);
  applyMutation(mutation, options);

  HistoryRecorder recorder;
  options.observer = &recorder;
  options.onEvent = [&recorder](const std::string& node, base::Event event,
                                std::initializer_list<base::EventField> fields) {
    recorder.onEvent(node, event, fields);
  };
  Fleet fleet(std::move(options));
  recorder.attach(fleet);

  auto callerOptions = plan.callers;
  callerOptions.length = plan.length;
  auto operatorOptions = plan.operators;
  operatorOptions.length = plan.length;
  Workload callers(fleet, recorder, callerOptions, scenarioTenants(), seeds.next());
  OperatorWorkload operators(fleet, recorder, callers, operatorOptions, scenarioTenants(),
                             seeds.next());
  OrderWorkload orders(fleet, {plan.orderPeriod, plan.length}, seeds.next());
  FaultInjector faults(fleet, recorder, callers, operators, seeds.next());

  fleet.start();
  constexpr base::Duration kForming = std::chrono::seconds(3);
  fleet.runFor(kForming);
  callers.start();
  operators.start();
  orders.start();
  faults.schedule(plan.faults);
  fleet.runFor(plan.length + plan.settle);
  recorder.finish();

  SimulationResult result;
  result.scenario = scenario.name;
  result.seed = seed;
  result.mutation = mutation;
  result.history = std::move(recorder.history());
  result.digest = base::mixHash(digestOf(result.history), fleet.scheduler().executed());
  result.events = fleet.scheduler().executed();
  result.violations = checkAll(result.history, Bounds{});
  result.faults = faults.counts();
  result.calls = countCalls(result.history);
  result.times = measureTimes(result.history, fleet.options().nodes.front().location.region);
  for (const auto& call : result.history.operatorCalls) {
    ++result.changes;
    if (call.status == OperatorCallStatus::kAccepted) ++result.changesAccepted;
  }
  for (const auto& order : result.history.orders) {
    if (order.reply.status == clients::OrderStatus::kAccepted) ++result.ordersObeyed;
  }
  return result;
}

}  // namespace covewing::sim
