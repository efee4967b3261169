#include "sim/report.h"

#include <fmt/core.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace covewing::sim {

namespace {
using Json = nlohmann::ordered_json;

/// Records of nodes and faults are shown from this long before the violation's first own record.
constexpr base::Duration kContext = std::chrono::seconds(2);
constexpr std::size_t kMostLines = 200;

Json millisecondsOf(const std::optional<base::Duration>& duration) {
  return duration ? Json(base::toMilliseconds(*duration)) : Json(nullptr);
}

Json timesOf(const MeasuredTimes& times) {
  return {{"leave_to_last_dispatch_ms", millisecondsOf(times.leaveToLastDispatch)},
          {"accept_to_everywhere_ms", millisecondsOf(times.acceptToEverywhere)},
          {"accept_to_everywhere_disturbed_ms", millisecondsOf(times.acceptToEverywhereDisturbed)},
          {"restart_to_ready_ms", millisecondsOf(times.restartToReady)},
          {"restart_to_first_served_ms", millisecondsOf(times.restartToFirstServed)},
          {"node_failure_to_detection_ms", millisecondsOf(times.nodeFailureToDetection)},
          {"holder_loss_to_next_lease_ms", millisecondsOf(times.holderLossToNextLease)},
          {"holder_loss_to_next_order_ms", millisecondsOf(times.holderLossToNextOrder)}};
}

Json violationsOf(const std::vector<Violation>& violations) {
  Json counts = Json::object();
  for (const auto& violation : violations) {
    const std::string name(toString(violation.promise));
    counts[name] = counts.value(name, 0) + 1;
  }
  return counts;
}

Json faultsOf(const FaultCounts& faults) {
  Json counts = Json::object();
  for (std::size_t index = 0; index < kFaultKindCount; ++index) {
    if (faults.at(index) == 0) continue;
    counts[std::string(toString(static_cast<FaultKind>(index)))] = faults.at(index);
  }
  return counts;
}

Json refusalsOf(const CallCounts& calls) {
  Json counts = Json::object();
  for (const auto& [code, count] : calls.refusals) {
    counts[std::string(base::describe(code).name)] = count;
  }
  return counts;
}

/// Collects lines with their times.
class Lines {
 public:
  void add(base::TimePoint at, std::string text) { lines_.emplace_back(at, std::move(text)); }

  bool empty() const { return lines_.empty(); }
  base::TimePoint first() const {
    return std::ranges::min_element(lines_, {}, &Line::first)->first;
  }

  std::string text() {
    std::ranges::stable_sort(lines_, {}, &Line::first);
    if (lines_.size() > kMostLines) lines_.erase(lines_.begin(), lines_.end() - kMostLines);
    std::string result;
    for (const auto& [at, line] : lines_) {
      result += fmt::format("{:12.6f} s  {}\n", base::toSeconds(at.time_since_epoch()), line);
    }
    return result;
  }

 private:
  using Line = std::pair<base::TimePoint, std::string>;
  std::vector<Line> lines_;
};

std::string_view endingName(CallEnding ending) {
  switch (ending) {
    case CallEnding::kOpen:
      return "open";
    case CallEnding::kComplete:
      return "complete";
    case CallEnding::kRefused:
      return "refused";
    case CallEnding::kNodeLost:
      return "node lost";
    case CallEnding::kDisconnected:
      return "disconnected";
  }
  return "";
}

void addCall(const CallRecord& call, const History& history, Lines& lines) {
  const auto& node = history.nodes.at(call.node);
  lines.add(call.submittedAt,
            fmt::format("call {} at {} incarnation {}: {} {} tenant {} key '{}' {} request {}",
                        call.number, node, call.nodeIncarnation,
                        call.proxied ? call.method : "completion", call.target, call.tenant,
                        call.idempotencyKey, call.notRepeatable ? "not repeatable" : "",
                        call.requestId.value));
  if (call.ending == CallEnding::kOpen) return;
  lines.add(call.endedAt,
            fmt::format("call {} ended: {} code {} {} after {} chunks {} {}", call.number,
                        endingName(call.ending), static_cast<unsigned>(call.refusal.reason.code),
                        call.refusal.reason.detail, call.chunks.size(),
                        call.ending == CallEnding::kRefused &&
                                call.refusal.outcome == request::Outcome::kNotRun
                            ? "not run"
                            : "",
                        call.answerBody));
}

void addExecutions(const History& history, const std::string& request, Lines& lines) {
  for (const auto& execution : history.executions) {
    if (execution.record.requestId.value != request) continue;
    const auto what = fmt::format("engine {:x} incarnation {} attempt {} from position {}",
                                  execution.record.engine.value, execution.record.incarnation,
                                  execution.record.attempt, execution.record.firstPosition);
    lines.add(execution.acceptedAt, what + " accepted");
    if (execution.startedAt) {
      lines.add(*execution.startedAt,
                fmt::format("{} started, {} local and {} imported blocks", what,
                            execution.localBlocks, execution.importedBlocks));
    }
  }
  for (const auto& refusal : history.engineRefusals) {
    if (refusal.requestId.value != request) continue;
    lines.add(refusal.at, fmt::format("engine {:x} refused", refusal.engine.value));
  }
  for (const auto& execution : history.replicaExecutions) {
    if (execution.execution.requestId.value != request) continue;
    lines.add(
        execution.at,
        fmt::format("replica {:x} executed attempt {} key '{}'", execution.execution.replica.value,
                    execution.execution.attempt, execution.execution.idempotencyKey));
  }
}

/// The request, and all others with the same key.
void addRequests(const History& history, const std::string& subject, Lines& lines) {
  std::string key;
  for (const auto& call : history.calls) {
    if (call.requestId.value == subject) key = call.idempotencyKey;
  }
  for (const auto& call : history.calls) {
    const bool same =
        call.requestId.value == subject || (!key.empty() && call.idempotencyKey == key);
    if (!same) continue;
    addCall(call, history, lines);
    addExecutions(history, call.requestId.value, lines);
  }
}

void addTemplate(const History& history, const std::string& subject, Lines& lines) {
  for (const auto& row : history.committed) {
    if (row.name != subject) continue;
    lines.add(row.seenAt,
              fmt::format("committed {} version {} by {}{} mark {}", row.name, row.revision,
                          row.operationId, row.retired ? " retired" : "", row.mark));
  }
  for (const auto& call : history.operatorCalls) {
    if (call.name != subject) continue;
    const auto& node = history.nodes.at(call.node);
    lines.add(call.invokedAt,
              fmt::format("{} kind {} on version {} through {}", call.operationId,
                          static_cast<unsigned>(call.kind), call.expectedVersion, node));
    if (call.returnedAt) {
      lines.add(*call.returnedAt, fmt::format("{} answered status {} version {}", call.operationId,
                                              static_cast<unsigned>(call.status), call.version));
    }
  }
  for (const auto& sample : history.templates) {
    if (sample.name != subject) continue;
    lines.add(sample.at,
              fmt::format("{} incarnation {} has version {} mark {}", history.nodes.at(sample.node),
                          sample.incarnation, sample.revision, sample.mark));
  }
}

std::string_view nodeEventName(NodeEventKind kind) {
  switch (kind) {
    case NodeEventKind::kStarted:
      return "started";
    case NodeEventKind::kReady:
      return "ready";
    case NodeEventKind::kFirstServed:
      return "served its first call";
    case NodeEventKind::kCrashed:
      return "crashed";
    case NodeEventKind::kPaused:
      return "paused";
    case NodeEventKind::kResumed:
      return "resumed";
    case NodeEventKind::kDrainBegan:
      return "began to drain";
    case NodeEventKind::kDrained:
      return "drained";
  }
  return "";
}

void addFaultsAndNodes(const History& history, base::TimePoint from, base::TimePoint to,
                       Lines& lines) {
  for (const auto& fault : history.faults) {
    if (fault.from > to || fault.to < from) continue;
    lines.add(fault.from, fmt::format("FAULT {} {} until {:.3f} s", fault.kind, fault.subject,
                                      base::toSeconds(fault.to.time_since_epoch())));
  }
  for (const auto& leave : history.leaves) {
    if (leave.at >= from && leave.at <= to) lines.add(leave.at, leave.name + " began to leave");
  }
  for (const auto& event : history.nodeEvents) {
    if (event.at < from || event.at > to) continue;
    lines.add(event.at, fmt::format("{} incarnation {} {}", history.nodes.at(event.node),
                                    event.incarnation, nodeEventName(event.kind)));
  }
}

void addSurroundings(const History& history, base::TimePoint from, base::TimePoint to,
                     const std::string& subject, Lines& lines) {
  addFaultsAndNodes(history, from, to, lines);
  for (const auto& event : history.log) {
    if (event.at < from || event.at > to) continue;
    const bool concerned = event.node == subject || event.detail.find(subject) != std::string::npos;
    if (!concerned) continue;
    lines.add(event.at, fmt::format("{} logs {} {}", event.node, base::describe(event.event).name,
                                    event.detail));
  }
}
}  // namespace

std::string toJsonLine(const SimulationResult& result) {
  const auto& calls = result.calls;
  Json line = {{"scenario", result.scenario}, {"seed", result.seed}};
  if (result.mutation != Mutation::kNone) line["mutation"] = toString(result.mutation);
  line["violations"] = violationsOf(result.violations);
  line["faults"] = faultsOf(result.faults);
  line["requests"] = {{"calls", calls.calls},
                      {"complete", calls.complete},
                      {"refused_not_run", calls.refusedNotRun},
                      {"refused_unknown", calls.refusedUnknown},
                      {"node_lost", calls.nodeLost},
                      {"disconnected", calls.disconnected},
                      {"open", calls.open}};
  line["refusals"] = refusalsOf(calls);
  line["changes"] = {{"calls", result.changes}, {"accepted", result.changesAccepted}};
  line["orders_obeyed"] = result.ordersObeyed;
  line["times"] = timesOf(result.times);
  line["events"] = result.events;
  line["digest"] = fmt::format("{:016x}", result.digest);
  return line.dump();
}

std::string timeline(const History& history) {
  Lines lines;
  addFaultsAndNodes(history, base::TimePoint{}, history.endedAt, lines);
  return lines.text();
}

std::string historyAround(const History& history, const Violation& violation) {
  Lines lines;
  addRequests(history, violation.subject, lines);
  addTemplate(history, violation.subject, lines);
  const auto from =
      (lines.empty() ? violation.at : std::min(lines.first(), violation.at)) - kContext;
  addSurroundings(history, from, violation.at + kContext, violation.subject, lines);
  return lines.text();
}

}  // namespace covewing::sim
