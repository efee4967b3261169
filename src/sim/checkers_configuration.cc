/// \file
/// Checkers of templates: what nodes had in force, and operators' racing changes.
#include <fmt/core.h>

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

#include "sim/checkers.h"
#include "sim/fault_excuses.h"
#include "sim/linearizability.h"

namespace covewing::sim {

namespace {
/// A commit is seen in the table's rows at most this long after it.
constexpr base::Duration kSamplingDelay = std::chrono::milliseconds(60);

using NodeRun = std::pair<std::size_t, base::Incarnation>;

std::string nameOf(const History& history, std::size_t node) {
  return node < history.nodes.size() ? history.nodes[node] : std::to_string(node);
}

/// Revisions of one run of a node only rise, as a whole and for each template.
void checkMonotonic(const History& history, std::vector<Violation>& violations) {
  std::map<NodeRun, base::Revision> whole;
  for (const auto& sample : history.configurations) {
    auto& last = whole[{sample.node, sample.incarnation}];
    if (sample.revision < last) {
      violations.push_back({Promise::kConfiguration, sample.at,
                            fmt::format("{} went from revision {} back to {}",
                                        nameOf(history, sample.node), last, sample.revision),
                            nameOf(history, sample.node)});
    }
    last = std::max(last, sample.revision);
  }
  std::map<std::tuple<std::size_t, base::Incarnation, std::string>, base::Revision> byTemplate;
  for (const auto& sample : history.templates) {
    auto& last = byTemplate[{sample.node, sample.incarnation, sample.name}];
    if (sample.revision < last) {
      violations.push_back(
          {Promise::kConfiguration, sample.at,
           fmt::format("{} has {} at revision {} after {}", nameOf(history, sample.node),
                       sample.name, sample.revision, last),
           sample.name});
    }
    last = std::max(last, sample.revision);
  }
}

/// What a node has in force under a revision is what was committed under it.
void checkContent(const History& history, std::vector<Violation>& violations) {
  std::map<std::pair<std::string, base::Revision>, const CommittedTemplate*> committed;
  for (const auto& row : history.committed) committed[{row.name, row.revision}] = &row;
  for (const auto& sample : history.templates) {
    if (sample.revision == 0) continue;
    const auto found = committed.find({sample.name, sample.revision});
    std::string fault;
    if (found == committed.end()) {
      fault = "which was never committed";
    } else if (found->second->mark != sample.mark || found->second->retired != sample.retired) {
      fault = "with another content than was committed";
    }
    if (fault.empty()) continue;
    violations.push_back({Promise::kConfiguration, sample.at,
                          fmt::format("{} has {} at revision {}, {}", nameOf(history, sample.node),
                                      sample.name, sample.revision, fault),
                          sample.name});
  }
}

/// First time from which a run of a node had the template at the revision or a later one.
std::map<std::tuple<std::size_t, base::Incarnation, std::string>,
         std::vector<std::pair<base::Revision, base::TimePoint>>>
reachedTimes(const History& history) {
  std::map<std::tuple<std::size_t, base::Incarnation, std::string>,
           std::vector<std::pair<base::Revision, base::TimePoint>>>
      reached;
  for (const auto& sample : history.templates) {
    reached[{sample.node, sample.incarnation, sample.name}].emplace_back(sample.revision,
                                                                         sample.at);
  }
  return reached;
}

/// Runs of nodes that were up through the whole of [from, to].
std::vector<NodeRun> runsUpThrough(const History& history, base::TimePoint from,
                                   base::TimePoint to) {
  std::map<NodeRun, std::pair<base::TimePoint, base::TimePoint>> lives;
  for (const auto& event : history.nodeEvents) {
    const NodeRun run{event.node, event.incarnation};
    if (event.kind == NodeEventKind::kReady) lives[run] = {event.at, history.endedAt};
    const bool ended = event.kind == NodeEventKind::kCrashed ||
                       event.kind == NodeEventKind::kDrained ||
                       event.kind == NodeEventKind::kDrainBegan;
    if (ended && lives.contains(run)) lives[run].second = std::min(lives[run].second, event.at);
  }
  std::vector<NodeRun> runs;
  for (const auto& [run, life] : lives) {
    if (life.first <= from && life.second >= to) runs.push_back(run);
  }
  return runs;
}

/// When what was accepted at `from` must be in force on the node at the latest.
base::TimePoint deadlineOf(const History& history, const Bounds& bounds, const std::string& node,
                           base::TimePoint from) {
  const auto excuses = [&](const FaultRecord& fault) {
    return isCut(fault) || isHerdRestart(fault) || isPauseOf(fault, node);
  };
  return history.calmAfter(from, bounds.configuration, excuses) + bounds.configuration;
}

/// End of a run of a node.
base::TimePoint endOf(const History& history, const NodeRun& run) {
  for (const auto& event : history.nodeEvents) {
    const bool ended = event.kind == NodeEventKind::kCrashed ||
                       event.kind == NodeEventKind::kDrained ||
                       event.kind == NodeEventKind::kDrainBegan;
    if (ended && NodeRun{event.node, event.incarnation} == run) return event.at;
  }
  return history.endedAt;
}

/// Accepted versions are in force on every connected node within the bound, counted from the end
/// of cuts, of restarts of all nodes and of the node's own pauses.
void checkInForce(const History& history, const Bounds& bounds,
                  std::vector<Violation>& violations) {
  const auto reached = reachedTimes(history);
  for (const auto& call : history.operatorCalls) {
    if (call.status != OperatorCallStatus::kAccepted || !call.returnedAt) continue;
    const auto latest = *call.returnedAt + bounds.configuration;
    for (const auto& run : runsUpThrough(history, *call.returnedAt, latest)) {
      const auto deadline =
          deadlineOf(history, bounds, nameOf(history, run.first), *call.returnedAt);
      if (deadline > history.endedAt || endOf(history, run) < deadline) continue;
      const auto found = reached.find({run.first, run.second, call.name});
      const bool inForce =
          found != reached.end() && std::ranges::any_of(found->second, [&](const auto& sample) {
            return sample.first >= call.version && sample.second <= deadline;
          });
      if (inForce) continue;
      violations.push_back({Promise::kConfiguration, deadline,
                            fmt::format("{} lacks revision {} of {}, accepted at {:.3f} s",
                                        nameOf(history, run.first), call.version, call.name,
                                        base::toSeconds(call.returnedAt->time_since_epoch())),
                            call.name});
    }
  }
}

/// A tenant that was accepted long enough ago is known everywhere, and refused for its retirement
/// only when it is retired.
void checkWrongRefusals(const History& history, const Bounds& bounds,
                        std::vector<Violation>& violations) {
  std::map<std::string, std::pair<base::TimePoint, base::TimePoint>> lives;
  for (const auto& row : history.committed) {
    auto& life = lives.try_emplace(row.name, row.seenAt, history.endedAt).first->second;
    if (row.retired) life.second = row.seenAt;
  }
  for (const auto& call : history.calls) {
    const auto life = lives.find(call.tenant);
    if (call.ending != CallEnding::kRefused || life == lives.end()) continue;
    if (call.endedAt >= life->second.second - kSamplingDelay) continue;
    const auto code = call.refusal.reason.code;
    const auto deadline =
        deadlineOf(history, bounds, nameOf(history, call.node), life->second.first);
    const bool unknown = code == base::ResultCode::kUnknownTenant && call.submittedAt > deadline;
    if (!unknown && code != base::ResultCode::kTenantRetired) continue;
    violations.push_back(
        {Promise::kConfiguration, call.endedAt,
         fmt::format("{} told a caller of {} that it is {}", nameOf(history, call.node),
                     call.tenant, unknown ? "unknown" : "retired"),
         call.requestId.value});
  }
}

/// A retired tenant's requests run nowhere once the bound has passed, unless its template says
/// otherwise, which the workloads' templates for this do not.
void checkRetired(const History& history, const Bounds& bounds,
                  std::vector<Violation>& violations) {
  std::map<std::string, base::TimePoint> retiredAt;
  for (const auto& row : history.committed) {
    if (row.retired) {
      retiredAt[row.name] = row.seenAt;
    } else {
      retiredAt.erase(row.name);
    }
  }
  std::set<std::string> ran;
  for (const auto& execution : history.executions) {
    if (execution.startedAt) ran.insert(execution.record.requestId.value);
  }
  for (const auto& execution : history.replicaExecutions) {
    ran.insert(execution.execution.requestId.value);
  }
  for (const auto& call : history.calls) {
    const auto retired = retiredAt.find(call.tenant);
    if (retired == retiredAt.end() || !ran.contains(call.requestId.value)) continue;
    if (call.submittedAt <= retired->second + bounds.configuration) continue;
    violations.push_back(
        {Promise::kConfiguration, call.submittedAt,
         fmt::format("a call of {} ran that was submitted {:.3f} s after its "
                     "retirement",
                     call.tenant, base::toSeconds(call.submittedAt - retired->second)),
         call.requestId.value});
  }
}

// --- linearizability of changes

/// One template as operators see it.
struct TemplateState {
  base::Revision version = 0;
  bool retired = false;
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 misreads a defaulted <=>.
  auto operator<=>(const TemplateState&) const = default;
};

struct TemplateOperation {
  OperatorCallKind kind = OperatorCallKind::kCreate;
  OperatorCallStatus status = OperatorCallStatus::kUnknown;
  base::Revision expectedVersion = 0;
  /// Version that the operation committed, or was answered with on a conflict.
  base::Revision version = 0;
};

struct TemplateModel {
  using State = TemplateState;
  using Operation = TemplateOperation;

  static State initial() { return {}; }

  static bool mayApply(const State& state, const Operation& operation) {
    const bool absent = state.version == 0 || state.retired;
    if (operation.kind == OperatorCallKind::kCreate) return absent;
    return !absent && state.version == operation.expectedVersion;
  }

  static std::optional<State> apply(const State& state, const Operation& operation) {
    if (operation.status == OperatorCallStatus::kConflict) {
      if (mayApply(state, operation)) return std::nullopt;
      return operation.version == state.version ? std::optional(state) : std::nullopt;
    }
    if (operation.status == OperatorCallStatus::kNotDone) return state;
    if (!mayApply(state, operation) || operation.version <= state.version) return std::nullopt;
    return State{operation.version, operation.kind == OperatorCallKind::kRetire};
  }
};

using OperationsByTemplate = std::map<std::string, std::vector<TimedOperation<TemplateOperation>>>;
using RevisionByOperation = std::map<std::string, base::Revision>;

RevisionByOperation committedOperations(const History& history) {
  RevisionByOperation committed;
  for (const auto& row : history.committed) committed[row.operationId] = row.revision;
  return committed;
}

/// All calls of one operation as one: from the first invocation to the certain answer, if any.
struct OperationCalls {
  const OperatorCall* first = nullptr;
  /// The last call with a certain answer; null when there is none.
  const OperatorCall* answered = nullptr;
};

std::map<std::string, OperationCalls> groupCalls(const History& history) {
  std::map<std::string, OperationCalls> grouped;
  for (const auto& call : history.operatorCalls) {
    auto& calls = grouped[call.operationId];
    if (calls.first == nullptr) calls.first = &call;
    if (call.status != OperatorCallStatus::kUnknown) calls.answered = &call;
  }
  return grouped;
}

/// The operators' calls by template, led by operations that put in what was there at the start.
OperationsByTemplate operationsOf(const History& history) {
  const auto grouped = groupCalls(history);
  OperationsByTemplate operations;
  for (const auto& row : history.committed) {
    if (grouped.contains(row.operationId)) continue;
    const TemplateOperation initial{OperatorCallKind::kCreate, OperatorCallStatus::kAccepted, 0,
                                    row.revision};
    operations[row.name].push_back({initial, base::TimePoint{}, base::TimePoint{}});
  }
  const auto committed = committedOperations(history);
  for (const auto& [id, calls] : grouped) {
    const auto& call = calls.answered != nullptr ? *calls.answered : *calls.first;
    TemplateOperation operation{call.kind, call.status, call.expectedVersion, call.version};
    auto invokedAt = calls.first->invokedAt;
    std::optional<base::TimePoint> returnedAt;
    if (calls.answered != nullptr) {
      returnedAt = call.returnedAt;
      if (call.status != OperatorCallStatus::kAccepted) invokedAt = call.invokedAt;
    } else {
      // The table's rows tell: it took effect under this version, or never.
      const auto row = committed.find(id);
      if (row == committed.end()) continue;
      operation.version = row->second;
    }
    operations[call.name].push_back({operation, invokedAt, returnedAt});
  }
  return operations;
}

/// Certain answers agree with what the table holds.
void checkAnswersAgainstRows(const History& history, std::vector<Violation>& violations) {
  const auto committed = committedOperations(history);
  for (const auto& [id, calls] : groupCalls(history)) {
    if (calls.answered == nullptr) continue;
    const auto& call = *calls.answered;
    const auto row = committed.find(id);
    std::string fault;
    if (call.status == OperatorCallStatus::kAccepted) {
      if (row == committed.end() || row->second != call.version) {
        fault = fmt::format("was told accepted as version {}, which the table does not hold",
                            call.version);
      }
    } else if (row != committed.end()) {
      fault = fmt::format("was told not done, but is in the table as version {}", row->second);
    }
    if (fault.empty()) continue;
    violations.push_back({Promise::kTemplateChanges, call.returnedAt.value_or(call.invokedAt),
                          fmt::format("operation {} on {} {}", id, call.name, fault), call.name});
  }
}
}  // namespace

std::vector<Violation> checkConfiguration(const History& history, const Bounds& bounds) {
  std::vector<Violation> violations;
  checkMonotonic(history, violations);
  checkContent(history, violations);
  checkInForce(history, bounds, violations);
  checkWrongRefusals(history, bounds, violations);
  checkRetired(history, bounds, violations);
  return violations;
}

std::vector<Violation> checkTemplateChanges(const History& history) {
  std::vector<Violation> violations;
  checkAnswersAgainstRows(history, violations);
  for (const auto& [name, operations] : operationsOf(history)) {
    LinearizabilityChecker<TemplateModel> checker(operations);
    if (checker.check()) continue;
    violations.push_back({Promise::kTemplateChanges, history.endedAt,
                          fmt::format("no order of the {} changes of {} explains their answers",
                                      operations.size(), name),
                          name});
  }
  return violations;
}

}  // namespace covewing::sim
