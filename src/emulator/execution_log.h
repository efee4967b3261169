/// \file
/// Keeps what back ends did as a numbered log of bounded length, for checkers that join it with
/// what callers saw.
#pragma once

#include <cstdint>
#include <deque>
#include <string>

#include "emulator/execution_observer.h"

namespace covewing::emulator {

enum class ExecutionLogKind : std::uint8_t {
  kRefused,
  kAccepted,
  kStarted,
  kCompleted,
  kCancelled,
  kCrashed,
  kApplication,
  kOrder,
};

/// One entry; fields that its kind does not have are left empty.
struct ExecutionLogEntry {
  std::uint64_t number = 0;
  ExecutionLogKind kind = ExecutionLogKind::kAccepted;
  base::TimePoint at;
  base::EngineId backEnd;
  base::Incarnation incarnation = 0;
  /// Of an order: its fencing token and, as `requestId`, its identifier.
  base::FencingToken fencingToken = 0;
  std::string requestId;
  std::uint32_t attempt = 0;
  clients::CacheIdentity identity;
  std::uint64_t promptHash = 0;
  std::uint32_t promptTokens = 0;
  std::uint64_t firstPosition = 0;
  bool generatedMatches = true;
  std::uint32_t localBlocks = 0;
  std::uint32_t importedBlocks = 0;
  /// Reused blocks came from another identity, or from an earlier incarnation of the same engine.
  bool reuseMismatch = false;
  /// Of an application call.
  std::string application;
  std::string method;
  std::string target;
  std::string idempotencyKey;
  std::uint64_t bodyHash = 0;
  /// Why a request was refused; the answer to an order.
  std::string detail;
};

/// Whether any reused block belongs to another identity than the request's, or was computed by an
/// earlier incarnation of the engine and did not come through the store of kept KV cache.
bool hasReuseMismatch(const ExecutionRecord& record, const ExecutionReuse& reuse);

class ExecutionLog final : public ExecutionObserver {
 public:
  /// Keeps the last `capacity` entries.
  ExecutionLog(const base::Clock& clock, std::size_t capacity)
      : clock_(clock), capacity_(capacity) {}

  const std::deque<ExecutionLogEntry>& entries() const { return entries_; }
  /// Number that the next entry gets; the first is 0.
  std::uint64_t nextNumber() const { return next_; }

  void onRefused(base::EngineId engine, const clients::EngineRequest& request,
                 const base::Reason& reason) override;
  void onAccepted(const ExecutionRecord& record) override;
  void onStarted(const ExecutionRecord& record, const ExecutionReuse& reuse) override;
  void onFinished(const ExecutionRecord& record, ExecutionEnd end) override;
  void onOrder(base::EngineId engine, const clients::EngineOrder& order,
               const clients::OrderReply& reply) override;
  void onApplicationExecuted(const ApplicationExecution& execution) override;

 private:
  ExecutionLogEntry& append(ExecutionLogKind kind, base::EngineId backEnd);
  ExecutionLogEntry& append(ExecutionLogKind kind, const ExecutionRecord& record);

  const base::Clock& clock_;
  std::size_t capacity_;
  std::deque<ExecutionLogEntry> entries_;
  std::uint64_t next_ = 0;
};

}  // namespace covewing::emulator
