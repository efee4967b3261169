/// \file
/// Checkers of back ends that leave, planned stops, orders and restarts.
#include <fmt/core.h>

#include <algorithm>
#include <map>
#include <optional>

#include "sim/checkers.h"

namespace covewing::sim {

namespace {
std::string nameOf(const History& history, std::size_t node) {
  return node < history.nodes.size() ? history.nodes[node] : std::to_string(node);
}

/// Longest possible quiet stretch that counts as the same disturbance, for drains and restarts.
constexpr base::Duration kQuiet = std::chrono::seconds(2);
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
    const auto deadline = history.calmAfter(leave.at, kQuiet) + bounds.drain;
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
    if (order.reply.status == platform::OrderStatus::kAccepted &&
        order.order.fencingToken < token) {
      violations.push_back({Promise::kOrders, order.at,
                            fmt::format("order {} under token {} was obeyed after token {}",
                                        order.order.orderId, order.order.fencingToken, token),
                            order.order.orderId});
    }
    if (order.reply.status == platform::OrderStatus::kAccepted) {
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
    const auto deadline = history.calmAfter(started.at, kQuiet) + bounds.restart;
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
