#include "emulator/observer_digest.h"

namespace covewing::emulator {

enum class ObserverDigest::Kind : std::uint64_t {
  kRefused = 1,
  kAccepted,
  kStarted,
  kChunk,
  kFinished,
  kStored,
  kEvicted,
  kCacheLost,
  kOrder,
  kApplication,
};

void ObserverDigest::begin(Kind kind) {
  ++events_;
  add(static_cast<std::uint64_t>(kind));
}

void ObserverDigest::add(std::uint64_t value) { digest_ = base::mixHash(digest_, value); }

void ObserverDigest::add(std::string_view text) { add(base::hashName(text)); }

void ObserverDigest::onRefused(base::EngineId engine, const clients::EngineRequest& request,
                               const base::Reason& reason) {
  begin(Kind::kRefused);
  add(engine.value);
  add(request.requestId.value);
  add(static_cast<std::uint64_t>(reason.code));
}

void ObserverDigest::onAccepted(const ExecutionRecord& record) {
  begin(Kind::kAccepted);
  add(record.engine.value);
  add(record.incarnation);
  add(record.requestId.value);
  add(record.attempt);
  add(record.promptHash);
  add(record.firstPosition);
}

void ObserverDigest::onStarted(const ExecutionRecord& record, const ExecutionReuse& reuse) {
  begin(Kind::kStarted);
  add(record.execution);
  add(reuse.localBlocks);
  add(reuse.importedBlocks);
}

void ObserverDigest::onChunk(const ExecutionRecord& record, const clients::StreamChunk& chunk) {
  begin(Kind::kChunk);
  add(record.execution);
  add(chunk.position);
}

void ObserverDigest::onFinished(const ExecutionRecord& record, ExecutionEnd end) {
  begin(Kind::kFinished);
  add(record.execution);
  add(static_cast<std::uint64_t>(end));
}

void ObserverDigest::onBlockStored(base::EngineId engine, base::BlockHash block) {
  begin(Kind::kStored);
  add(engine.value);
  add(block.value);
}

void ObserverDigest::onBlockEvicted(base::EngineId engine, base::BlockHash block) {
  begin(Kind::kEvicted);
  add(engine.value);
  add(block.value);
}

void ObserverDigest::onCacheLost(base::EngineId engine) {
  begin(Kind::kCacheLost);
  add(engine.value);
}

void ObserverDigest::onOrder(base::EngineId engine, const clients::EngineOrder& order,
                             const clients::OrderReply& reply) {
  begin(Kind::kOrder);
  add(engine.value);
  add(order.orderId);
  add(order.fencingToken);
  add(static_cast<std::uint64_t>(reply.status));
}

void ObserverDigest::onApplicationExecuted(const ApplicationExecution& execution) {
  begin(Kind::kApplication);
  add(execution.replica.value);
  add(execution.requestId.value);
  add(execution.number);
}

}  // namespace covewing::emulator
