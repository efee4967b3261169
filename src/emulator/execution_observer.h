/// \file
/// What emulated back ends really did, for checkers: which requests ran, what each reused, what it
/// put out. Observers see the truth at once, unlike the reports that nodes get.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "clients/application_client.h"
#include "clients/engine_client.h"

namespace covewing::emulator {

/// Identifies an execution within one engine over all its incarnations.
using ExecutionId = std::uint64_t;

/// One accepted attempt of a request on an engine.
struct ExecutionRecord {
  ExecutionId execution = 0;
  base::EngineId engine;
  /// The engine's incarnation that runs it.
  base::Incarnation incarnation = 0;
  base::RequestId requestId;
  std::uint32_t attempt = 0;
  base::PriorityClass priority = base::PriorityClass::kStandard;
  /// Identity that the request asked for.
  clients::CacheIdentity identity;
  /// Incarnation that the request asked for; 0 if it asked for none.
  base::Incarnation requestedIncarnation = 0;
  std::uint64_t promptHash = 0;
  std::uint32_t promptTokens = 0;
  std::uint64_t firstPosition = 0;
  /// Whether the request's `generated` is what the answer's first tokens are.
  bool generatedMatches = true;
};

/// Under which identity a cached block was computed, and where.
struct BlockProvenance {
  clients::CacheIdentity identity;
  base::EngineId engine;
  base::Incarnation incarnation = 0;
  /// Came through the store of kept KV cache, possibly from another engine or incarnation.
  bool imported = false;
  bool operator==(const BlockProvenance&) const = default;
};

/// What an execution took from caches instead of computing it.
struct ExecutionReuse {
  /// The prompt's whole blocks.
  std::span<const base::BlockHash> chain;
  /// Leading blocks found in the engine's memory.
  std::uint32_t localBlocks = 0;
  /// Blocks behind those that came from the store of kept KV cache.
  std::uint32_t importedBlocks = 0;
  /// Each provenance of a reused block once.
  std::span<const BlockProvenance> provenances;
};

enum class ExecutionEnd : std::uint8_t { kComplete, kCancelled, kCrashed };

/// One execution of a call by an application replica.
struct ApplicationExecution {
  base::EngineId replica;
  std::string application;
  base::RequestId requestId;
  std::uint32_t attempt = 0;
  std::string method;
  std::string target;
  /// Value of the Idempotency-Key header, empty if none.
  std::string idempotencyKey;
  std::uint64_t bodyHash = 0;
  /// Number of the execution on its replica, from 1.
  std::uint64_t number = 0;
};

/// Receiver of the truth; every function does nothing by default. Called on the models' thread.
class ExecutionObserver {
 public:
  virtual ~ExecutionObserver() = default;
  /// The engine refused: no part of the request ran.
  virtual void onRefused(base::EngineId /*engine*/, const clients::EngineRequest& /*request*/,
                         const base::Reason& /*reason*/) {}
  /// The request was queued; it may run from now on.
  virtual void onAccepted(const ExecutionRecord& /*record*/) {}
  /// Computation starts with what is reused.
  virtual void onStarted(const ExecutionRecord& /*record*/, const ExecutionReuse& /*reuse*/) {}
  virtual void onChunk(const ExecutionRecord& /*record*/, const clients::StreamChunk& /*chunk*/) {}
  virtual void onFinished(const ExecutionRecord& /*record*/, ExecutionEnd /*end*/) {}
  virtual void onBlockStored(base::EngineId /*engine*/, base::BlockHash /*block*/) {}
  virtual void onBlockEvicted(base::EngineId /*engine*/, base::BlockHash /*block*/) {}
  /// Crash: every block of the engine is gone.
  virtual void onCacheLost(base::EngineId /*engine*/) {}
  /// The engine took an order (first time) or fenced it off.
  virtual void onOrder(base::EngineId /*engine*/, const clients::EngineOrder& /*order*/,
                       const clients::OrderReply& /*reply*/) {}
  virtual void onApplicationExecuted(const ApplicationExecution& /*execution*/) {}
};

}  // namespace covewing::emulator
