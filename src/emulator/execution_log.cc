#include "emulator/execution_log.h"

#include <algorithm>

namespace covewing::emulator {

bool hasReuseMismatch(const ExecutionRecord& record, const ExecutionReuse& reuse) {
  return std::any_of(reuse.provenances.begin(), reuse.provenances.end(),
                     [&](const BlockProvenance& provenance) {
                       if (provenance.identity != record.identity) return true;
                       return !provenance.imported && provenance.incarnation != record.incarnation;
                     });
}

ExecutionLogEntry& ExecutionLog::append(ExecutionLogKind kind, base::EngineId backEnd) {
  if (entries_.size() >= capacity_) entries_.pop_front();
  ExecutionLogEntry& entry = entries_.emplace_back();
  entry.number = next_++;
  entry.kind = kind;
  entry.at = clock_.now();
  entry.backEnd = backEnd;
  return entry;
}

ExecutionLogEntry& ExecutionLog::append(ExecutionLogKind kind, const ExecutionRecord& record) {
  ExecutionLogEntry& entry = append(kind, record.engine);
  entry.incarnation = record.incarnation;
  entry.requestId = record.requestId.value;
  entry.attempt = record.attempt;
  entry.identity = record.identity;
  entry.promptHash = record.promptHash;
  entry.promptTokens = record.promptTokens;
  entry.firstPosition = record.firstPosition;
  entry.generatedMatches = record.generatedMatches;
  return entry;
}

void ExecutionLog::onRefused(base::EngineId engine, const clients::EngineRequest& request,
                             const base::Reason& reason) {
  ExecutionLogEntry& entry = append(ExecutionLogKind::kRefused, engine);
  entry.requestId = request.requestId.value;
  entry.attempt = request.attempt;
  entry.identity = request.identity;
  entry.detail = reason.detail;
}

void ExecutionLog::onAccepted(const ExecutionRecord& record) {
  append(ExecutionLogKind::kAccepted, record);
}

void ExecutionLog::onStarted(const ExecutionRecord& record, const ExecutionReuse& reuse) {
  ExecutionLogEntry& entry = append(ExecutionLogKind::kStarted, record);
  entry.localBlocks = reuse.localBlocks;
  entry.importedBlocks = reuse.importedBlocks;
  entry.reuseMismatch = hasReuseMismatch(record, reuse);
}

void ExecutionLog::onFinished(const ExecutionRecord& record, ExecutionEnd end) {
  switch (end) {
    case ExecutionEnd::kComplete:
      append(ExecutionLogKind::kCompleted, record);
      return;
    case ExecutionEnd::kCancelled:
      append(ExecutionLogKind::kCancelled, record);
      return;
    case ExecutionEnd::kCrashed:
      append(ExecutionLogKind::kCrashed, record);
      return;
  }
}

void ExecutionLog::onOrder(base::EngineId engine, const clients::EngineOrder& order,
                           const clients::OrderReply& reply) {
  ExecutionLogEntry& entry = append(ExecutionLogKind::kOrder, engine);
  entry.requestId = order.orderId;
  entry.fencingToken = order.fencingToken;
  entry.detail = "invalid";
  if (reply.status == clients::OrderStatus::kAccepted) entry.detail = "accepted";
  if (reply.status == clients::OrderStatus::kFencedOff) entry.detail = "fenced_off";
}

void ExecutionLog::onApplicationExecuted(const ApplicationExecution& execution) {
  ExecutionLogEntry& entry = append(ExecutionLogKind::kApplication, execution.replica);
  entry.requestId = execution.requestId.value;
  entry.attempt = execution.attempt;
  entry.application = execution.application;
  entry.method = execution.method;
  entry.target = execution.target;
  entry.idempotencyKey = execution.idempotencyKey;
  entry.bodyHash = execution.bodyHash;
}

}  // namespace covewing::emulator
