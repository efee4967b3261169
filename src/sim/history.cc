#include "sim/history.h"

#include <algorithm>

namespace covewing::sim {

namespace {
class Digest {
 public:
  Digest& number(std::uint64_t value) {
    value_ = base::mixHash(value_, value);
    return *this;
  }
  Digest& text(std::string_view value) { return number(base::hashName(value)); }
  Digest& time(base::TimePoint value) {
    return number(static_cast<std::uint64_t>(value.time_since_epoch().count()));
  }
  std::uint64_t value() const { return value_; }

 private:
  std::uint64_t value_ = 0;
};

void add(Digest& digest, const CallRecord& call) {
  digest.text(call.requestId.value).time(call.submittedAt).time(call.endedAt);
  digest.number(static_cast<std::uint64_t>(call.ending));
  digest.number(static_cast<std::uint64_t>(call.refusal.reason.code));
  digest.number(static_cast<std::uint64_t>(call.refusal.outcome));
  for (const auto& chunk : call.chunks) digest.number(chunk.position).text(chunk.text);
  digest.text(call.answerBody);
}

void add(Digest& digest, const EngineExecution& execution) {
  digest.number(execution.record.engine.value).text(execution.record.requestId.value);
  digest.time(execution.acceptedAt).number(execution.localBlocks).number(execution.importedBlocks);
  if (execution.startedAt) digest.time(*execution.startedAt);
}

void add(Digest& digest, const OperatorCall& call) {
  digest.text(call.operationId).time(call.invokedAt).number(call.version);
  digest.number(static_cast<std::uint64_t>(call.status));
}
}  // namespace

bool History::disturbed(base::TimePoint from, base::TimePoint to) const {
  return std::ranges::any_of(faults, [from, to](const FaultRecord& fault) {
    return fault.from <= to && fault.to >= from;
  });
}

base::TimePoint History::calmAfter(base::TimePoint from, base::Duration quiet,
                                   const std::function<bool(const FaultRecord&)>& excuses) const {
  auto calm = from;
  for (bool moved = true; moved;) {
    moved = false;
    for (const auto& fault : faults) {
      if (fault.from > calm + quiet || fault.to <= calm || !excuses(fault)) continue;
      calm = fault.to;
      moved = true;
    }
  }
  return calm;
}

std::uint64_t digestOf(const History& history) {
  Digest digest;
  for (const auto& call : history.calls) add(digest, call);
  for (const auto& execution : history.executions) add(digest, execution);
  for (const auto& refusal : history.engineRefusals) {
    digest.number(refusal.engine.value).time(refusal.at);
  }
  for (const auto& execution : history.replicaExecutions) {
    digest.text(execution.execution.requestId.value).time(execution.at);
  }
  for (const auto& sample : history.configurations) {
    digest.number(sample.node).time(sample.at).number(sample.revision);
  }
  for (const auto& sample : history.templates) {
    digest.number(sample.node).time(sample.at).text(sample.name).number(sample.revision);
  }
  for (const auto& call : history.operatorCalls) add(digest, call);
  for (const auto& order : history.orders) {
    digest.text(order.order.orderId).number(order.order.fencingToken).time(order.at);
  }
  for (const auto& event : history.nodeEvents) {
    digest.number(event.node).number(static_cast<std::uint64_t>(event.kind)).time(event.at);
  }
  for (const auto& event : history.log) {
    digest.text(event.node).number(static_cast<std::uint64_t>(event.event)).time(event.at);
    digest.text(event.detail);
  }
  return digest.value();
}

}  // namespace covewing::sim
