/// \file
/// Checkers of what callers were told against what back ends did.
#include <fmt/core.h>

#include <algorithm>
#include <map>
#include <set>

#include "emulator/expected_answer.h"
#include "sim/checkers.h"
#include "sim/fault_excuses.h"

namespace covewing::sim {

namespace {
using CallsById = std::map<std::string, const CallRecord*>;

CallsById callsById(const History& history) {
  CallsById calls;
  for (const auto& call : history.calls) {
    if (!call.requestId.value.empty()) calls.emplace(call.requestId.value, &call);
  }
  return calls;
}

/// What may run at most once: the key within its tenant, or the single request that has none.
std::string onceKey(const CallRecord& call) {
  return call.idempotencyKey.empty() ? "request " + call.requestId.value
                                     : "key " + call.tenant + "/" + call.idempotencyKey;
}

struct Execution {
  base::TimePoint at;
  std::string where;
};

using ExecutionsByRequest = std::map<std::string, std::vector<Execution>>;

/// Everything that really ran, by request.
ExecutionsByRequest executionsByRequest(const History& history) {
  ExecutionsByRequest executions;
  for (const auto& execution : history.replicaExecutions) {
    executions[execution.execution.requestId.value].push_back(
        {execution.at, fmt::format("replica {:x} execution {}", execution.execution.replica.value,
                                   execution.execution.number)});
  }
  for (const auto& execution : history.executions) {
    if (!execution.startedAt) continue;
    executions[execution.record.requestId.value].push_back(
        {*execution.startedAt, fmt::format("engine {:x} attempt {}", execution.record.engine.value,
                                           execution.record.attempt)});
  }
  return executions;
}

double seconds(base::TimePoint time) { return base::toSeconds(time.time_since_epoch()); }

/// First fault in the chunks of a stream; empty when there is none.
std::string chunkFault(const CallRecord& call) {
  std::uint64_t next = 0;
  for (const auto& chunk : call.chunks) {
    if (chunk.position != next) {
      return fmt::format("chunk {} came where {} was due", chunk.position, next);
    }
    if (chunk.text != emulator::expectedToken(call.promptHash, chunk.position)) {
      return fmt::format("chunk {} has another text than the prompt's answer", chunk.position);
    }
    ++next;
  }
  return {};
}

/// Fault in the end of a stream that was told complete; empty when there is none.
std::string endFault(const CallRecord& call) {
  const auto expected = emulator::expectedLength(call.promptHash, call.maximumTokens);
  if (call.chunks.size() != expected) {
    return fmt::format("told complete after {} of {} chunks", call.chunks.size(), expected);
  }
  if (call.end.outputTokens != expected) {
    return fmt::format("the end says {} tokens of {}", call.end.outputTokens, expected);
  }
  return {};
}
}  // namespace

std::vector<Violation> checkAtMostOnce(const History& history) {
  const auto executions = executionsByRequest(history);
  std::map<std::string, std::vector<Execution>> byKey;
  std::map<std::string, const CallRecord*> example;
  for (const auto& call : history.calls) {
    if (!call.notRepeatable || call.requestId.value.empty()) continue;
    const auto found = executions.find(call.requestId.value);
    if (found == executions.end()) continue;
    const auto key = onceKey(call);
    auto& all = byKey[key];
    all.insert(all.end(), found->second.begin(), found->second.end());
    example[key] = &call;
  }
  std::vector<Violation> violations;
  for (const auto& [key, all] : byKey) {
    if (all.size() <= 1) continue;
    std::string where;
    auto last = all.front().at;
    for (const auto& execution : all) {
      where += fmt::format(" [{} at {:.6f} s]", execution.where, seconds(execution.at));
      last = std::max(last, execution.at);
    }
    violations.push_back({Promise::kAtMostOnce, last,
                          fmt::format("{} ran {} times:{}", key, all.size(), where),
                          example.at(key)->requestId.value});
  }
  return violations;
}

std::vector<Violation> checkNotRun(const History& history) {
  const auto executions = executionsByRequest(history);
  std::vector<Violation> violations;
  for (const auto& call : history.calls) {
    if (call.ending != CallEnding::kRefused) continue;
    if (call.refusal.outcome != request::Outcome::kNotRun) continue;
    const auto found = executions.find(call.requestId.value);
    if (call.requestId.value.empty() || found == executions.end()) continue;
    violations.push_back(
        {Promise::kNotRun, call.endedAt,
         fmt::format("refused as not run with code {}, but ran on {} at {:.6f} s",
                     static_cast<unsigned>(call.refusal.reason.code), found->second.front().where,
                     seconds(found->second.front().at)),
         call.requestId.value});
  }
  return violations;
}

std::vector<Violation> checkStreams(const History& history) {
  std::vector<Violation> violations;
  for (const auto& call : history.calls) {
    if (call.proxied) continue;
    auto fault = chunkFault(call);
    if (fault.empty() && call.ending == CallEnding::kComplete) fault = endFault(call);
    if (fault.empty() && call.callsAfterEnd > 0) fault = "the sink heard more after its end";
    if (fault.empty() && call.ending == CallEnding::kRefused && !call.chunks.empty() &&
        call.refusal.outcome == request::Outcome::kNotRun) {
      fault = "told not run after chunks were received";
    }
    if (fault.empty()) continue;
    violations.push_back({Promise::kStreams, call.endedAt, fault, call.requestId.value});
  }
  return violations;
}

std::vector<Violation> checkOwnAnswers(const History& history) {
  std::vector<Violation> violations;
  for (const auto& call : history.calls) {
    if (!call.proxied || call.ending != CallEnding::kComplete) continue;
    std::string fault;
    if (call.answeredRequestId != call.requestId) {
      fault = "the answer names request " + call.answeredRequestId.value;
    } else if (call.answerBody.find(call.target) == std::string::npos) {
      fault = "the answer is not to this target: " + call.answerBody;
    } else if (call.callsAfterEnd > 0) {
      fault = "the sink heard more after its answer";
    }
    if (fault.empty()) continue;
    violations.push_back({Promise::kOwnAnswer, call.endedAt, fault, call.requestId.value});
  }
  return violations;
}

namespace {
/// Blocks that engines took from the store of kept KV cache, by the run of the engine that did.
class ImportedProvenances {
 public:
  void note(const EngineExecution& execution) {
    if (execution.importedBlocks == 0) return;
    auto& known = imported_[runOf(execution)];
    for (const auto& provenance : execution.provenances) known.push_back(provenance);
  }
  bool contains(const EngineExecution& execution,
                const emulator::BlockProvenance& provenance) const {
    const auto known = imported_.find(runOf(execution));
    return known != imported_.end() && std::ranges::count(known->second, provenance) > 0;
  }

 private:
  using EngineRun = std::pair<base::EngineId, base::Incarnation>;
  static EngineRun runOf(const EngineExecution& execution) {
    return {execution.record.engine, execution.record.incarnation};
  }
  std::map<EngineRun, std::vector<emulator::BlockProvenance>> imported_;
};

/// Why a reused block must not have been; empty when it may.
std::string reuseFault(const EngineExecution& execution,
                       const emulator::BlockProvenance& provenance,
                       const ImportedProvenances& imported) {
  const auto& record = execution.record;
  if (provenance.identity.tenantSalt != record.identity.tenantSalt) {
    return "reuses blocks of another tenant";
  }
  if (provenance.identity != record.identity) {
    return fmt::format("reuses blocks of {}/{} version {} for {}/{} version {}",
                       provenance.identity.model, provenance.identity.adapter,
                       provenance.identity.weightsVersion, record.identity.model,
                       record.identity.adapter, record.identity.weightsVersion);
  }
  const bool own =
      provenance.engine == record.engine && provenance.incarnation == record.incarnation;
  // Memory does not outlive its process: other runs' blocks come through the store alone.
  if (own || imported.contains(execution, provenance)) return {};
  return fmt::format("reuses blocks of engine {:x} incarnation {} in its own memory",
                     provenance.engine.value, provenance.incarnation);
}
}  // namespace

std::vector<Violation> checkCacheIdentity(const History& history) {
  const auto calls = callsById(history);
  std::map<std::string, std::set<std::uint64_t>> salts;
  for (const auto& row : history.committed) salts[row.name].insert(row.cacheSalt);
  std::vector<const EngineExecution*> started;
  for (const auto& execution : history.executions) {
    if (execution.startedAt) started.push_back(&execution);
  }
  std::ranges::stable_sort(started, {},
                           [](const auto* execution) { return *execution->startedAt; });

  std::vector<Violation> violations;
  ImportedProvenances imported;
  for (const auto* execution : started) {
    const auto& record = execution->record;
    const auto fail = [&](std::string detail) {
      violations.push_back({Promise::kCacheIdentity, *execution->startedAt, std::move(detail),
                            record.requestId.value});
    };
    if (record.requestedIncarnation != 0 && record.requestedIncarnation != record.incarnation) {
      fail(fmt::format("accepted for incarnation {} by incarnation {}", record.requestedIncarnation,
                       record.incarnation));
    }
    const auto call = calls.find(record.requestId.value);
    if (call != calls.end() && !salts[call->second->tenant].contains(record.identity.tenantSalt)) {
      fail("runs under a salt that tenant " + call->second->tenant + " never had");
    }
    if (call != calls.end() && record.identity.model != call->second->model) {
      fail("runs on model " + record.identity.model);
    }
    imported.note(*execution);
    for (const auto& provenance : execution->provenances) {
      auto fault = reuseFault(*execution, provenance, imported);
      if (!fault.empty()) fail(std::move(fault));
    }
  }
  return violations;
}

std::vector<Violation> checkAnswered(const History& history, const Bounds& bounds) {
  std::vector<Violation> violations;
  for (const auto& call : history.calls) {
    if (call.ending != CallEnding::kOpen) continue;
    const auto paused = [&](const FaultRecord& fault) {
      return isPauseOf(fault, history.nodes.at(call.node));
    };
    const auto since = history.calmAfter(call.submittedAt, bounds.answer, paused);
    if (history.endedAt - since < bounds.answer) continue;
    violations.push_back({Promise::kAnswered, history.endedAt,
                          fmt::format("no final answer {:.1f} s after submission",
                                      base::toSeconds(history.endedAt - call.submittedAt)),
                          call.requestId.value});
  }
  return violations;
}

}  // namespace covewing::sim
