/// \file
/// Checkers of back ends that leave, planned stops, orders and restarts.
#include <fmt/core.h>

#include <algorithm>
#include <map>
#include <optional>

#include "sim/checkers.h"
#include "sim/fault_excuses.h"

namespace covewing::sim {

namespace {
std::string nameOf(const History& history, std::size_t node) {
  return node < history.nodes.size() ? history.nodes[node] : std::to_string(node);
}

/// Whether another node of the same zone was ready all the time from `from` to `to`: it has a copy
/// of the configuration, and no cut lies between the two.
bool hasReadyNeighbour(const History& history, std::size_t node, base::TimePoint from,
                       base::TimePoint to) {
  std::map<std::size_t, bool> ready;
  std::map<std::size_t, bool> steady;
  for (const auto& event : history.nodeEvents) {
    if (event.at > to) break;
    const bool comes = event.kind == NodeEventKind::kReady || event.kind == NodeEventKind::kResumed;
    const bool goes = event.kind == NodeEventKind::kCrashed ||
                      event.kind == NodeEventKind::kPaused ||
                      event.kind == NodeEventKind::kDrainBegan;
    if (event.at <= from) {
      if (comes) ready[event.node] = true;
      if (goes) ready[event.node] = false;
      steady[event.node] = ready[event.node];
    } else if (goes) {
      steady[event.node] = false;
    }
  }
  for (const auto& [other, isSteady] : steady) {
    const bool neighbour = other != node && other < history.nodeZones.size() &&
                           history.nodeZones[other] == history.nodeZones.at(node);
    if (neighbour && isSteady) return true;
  }
  return false;
}
}  // namespace

std::vector<Violation> checkDrain(const History& history, const Bounds& bounds) {
  std::vector<Violation> violations;
  for (const auto& leave : history.leaves) {
    std::optional<base::TimePoint> last;
    std::string subject;
    const auto note = [&](base::EngineId backEnd, base::TimePoint at, const std::string& request) {
      if (backEnd != leave.backEnd || at < leave.at || (last && at <= *last)) return;
      last = at;
      subject = request;
    };
    for (const auto& execution : history.executions) {
      note(execution.record.engine, execution.acceptedAt, execution.record.requestId.value);
    }
    for (const auto& refusal : history.engineRefusals) {
      note(refusal.engine, refusal.at, refusal.requestId.value);
    }
    for (const auto& execution : history.replicaExecutions) {
      // A call is executed at half of its service time; it was dispatched before.
      note(execution.execution.replica, execution.at, execution.execution.requestId.value);
    }
    // A paused node has not heard of it, and goes on with what it had decided when it wakes.
    const auto excuses = [&](const FaultRecord& fault) {
      return isCut(fault) || isPauseOf(fault, fault.subject);
    };
    const auto deadline = history.calmAfter(leave.at, bounds.drain, excuses) + bounds.drain;
    if (!last || *last <= deadline) continue;
    violations.push_back({Promise::kDrain, *last,
                          fmt::format("{} got work {:.3f} s after it began to leave", leave.name,
                                      base::toSeconds(*last - leave.at)),
                          subject});
  }
  return violations;
}

std::vector<Violation> checkPlannedStops(const History& history) {
  std::vector<Violation> violations;
  std::map<std::pair<std::size_t, base::Incarnation>, base::TimePoint> drainBegan;
  for (const auto& event : history.nodeEvents) {
    const std::pair run{event.node, event.incarnation};
    if (event.kind == NodeEventKind::kDrainBegan) drainBegan.emplace(run, event.at);
    if (event.kind != NodeEventKind::kDrained || event.openCalls == 0) continue;
    violations.push_back({Promise::kPlannedStop, event.at,
                          fmt::format("{} stopped with {} calls in flight",
                                      nameOf(history, event.node), event.openCalls),
                          nameOf(history, event.node)});
  }
  // A call in flight when the stop began ends as it would have; the stop itself refuses none.
  for (const auto& call : history.calls) {
    const auto began = drainBegan.find({call.node, call.nodeIncarnation});
    if (began == drainBegan.end() || call.submittedAt >= began->second) continue;
    if (call.ending != CallEnding::kRefused || call.endedAt < began->second) continue;
    if (call.refusal.reason.code != base::ResultCode::kNodeDraining) continue;
    violations.push_back(
        {Promise::kPlannedStop, call.endedAt,
         fmt::format("{} refused a call in flight for its own stop", nameOf(history, call.node)),
         call.requestId.value});
  }
  return violations;
}

std::vector<Violation> checkOrders(const History& history) {
  std::vector<Violation> violations;
  std::map<base::EngineId, base::FencingToken> highest;
  for (const auto& order : history.orders) {
    auto& token = highest[order.engine];
    if (order.reply.status == clients::OrderStatus::kAccepted && order.order.fencingToken < token) {
      violations.push_back({Promise::kOrders, order.at,
                            fmt::format("order {} under token {} was obeyed after token {}",
                                        order.order.orderId, order.order.fencingToken, token),
                            order.order.orderId});
    }
    if (order.reply.status == clients::OrderStatus::kAccepted) {
      token = std::max(token, order.order.fencingToken);
    }
  }
  if (history.loadSlots > 0 && history.peakLoads > history.loadSlots) {
    violations.push_back(
        {Promise::kOrders, history.endedAt,
         fmt::format("{} weight loads at once, in {} slots", history.peakLoads, history.loadSlots),
         "weight store"});
  }
  return violations;
}

std::vector<Violation> checkRestarts(const History& history, const Bounds& bounds) {
  std::vector<Violation> violations;
  for (const auto& started : history.nodeEvents) {
    if (started.kind != NodeEventKind::kStarted) continue;
    const auto name = nameOf(history, started.node);
    const auto excuses = [&](const FaultRecord& fault) {
      return isCut(fault) || isPauseOf(fault, name);
    };
    // With a neighbour that has a copy, the stores do not matter; without one, they do.
    const auto soon = started.at + bounds.restart;
    const bool neighbour = hasReadyNeighbour(history, started.node, started.at, soon);
    const bool paused = history.calmAfter(started.at, bounds.restart, [&](const FaultRecord& f) {
      return isPauseOf(f, name);
    }) > started.at;
    const auto deadline =
        neighbour && !paused
            ? soon
            : history.calmAfter(started.at, bounds.herdRestart, [&](const FaultRecord& fault) {
                return excuses(fault) || isHerdRestart(fault) || fault.kind == "object-store-down";
              }) + bounds.herdRestart;
    std::optional<base::TimePoint> ready;
    std::optional<base::TimePoint> ended;
    for (const auto& event : history.nodeEvents) {
      if (event.node != started.node || event.incarnation != started.incarnation) continue;
      if (event.kind == NodeEventKind::kReady) ready = event.at;
      if (event.kind == NodeEventKind::kCrashed || event.kind == NodeEventKind::kDrainBegan) {
        ended = event.at;
      }
    }
    const bool tooShort = deadline > history.endedAt || (ended && *ended <= deadline);
    if (tooShort || (ready && *ready <= deadline)) continue;
    violations.push_back({Promise::kRestart, deadline,
                          fmt::format("{} incarnation {} is not ready {:.1f} s after its start",
                                      nameOf(history, started.node), started.incarnation,
                                      base::toSeconds(deadline - started.at)),
                          nameOf(history, started.node)});
  }
  return violations;
}

}  // namespace covewing::sim
