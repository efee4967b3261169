/// \file
/// Model engines, as decision code sees them: streamed generation, reports (load and cache events)
/// and fenced orders. An engine keeps a cache of prompt blocks in limited memory and evicts within
/// seconds.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/priority.h"
#include "base/time.h"
#include "clients/back_end.h"

namespace covewing::clients {

/// What the cached state of a prompt depends on besides its tokens. Two requests may share cache
/// only when all of it is equal.
struct CacheIdentity {
  /// Secret of the tenant's template, so that tenants never share blocks.
  std::uint64_t tenantSalt = 0;
  std::string model;
  /// Empty for the base model.
  std::string adapter;
  base::WeightsVersion weightsVersion = 0;
  auto operator<=>(const CacheIdentity&) const = default;
};

/// One generation request to one engine.
struct EngineRequest {
  base::RequestId requestId;
  /// Number of the attempt within the request, from 1.
  std::uint32_t attempt = 1;
  CacheIdentity identity;
  /// The engine's incarnation that the choice was based on; the engine refuses any other
  /// (IdentityMismatch, kRefusedNotRun). 0 leaves it unchecked.
  base::Incarnation incarnation = 0;
  base::PriorityClass priority = base::PriorityClass::kStandard;
  /// Canonical prompt bytes (prefix/prompt.h).
  std::shared_ptr<const std::string> prompt;
  /// Output already delivered to the caller; generation goes on behind it at `nextPosition`.
  std::string generated;
  /// Position of the first chunk wanted, from 0.
  std::uint64_t nextPosition = 0;
  /// Longest whole answer in tokens, those before `nextPosition` included, so that a resumed
  /// request repeats it unchanged; 0: no limit of its own.
  std::uint32_t maximumTokens = 0;
  /// Import blocks of the prompt from the store of kept KV cache, up to this many leading blocks;
  /// 0: none.
  std::uint32_t importBlocks = 0;
  /// Ask the engine to export this many leading blocks to the store after prefill; 0: none.
  std::uint32_t exportBlocks = 0;
};

/// One piece of output. Positions count tokens from 0 without gaps over the whole answer, across
/// resumes.
struct StreamChunk {
  std::uint64_t position = 0;
  std::string text;
};

/// Closing facts of a complete stream.
struct StreamEnd {
  std::uint32_t promptTokens = 0;
  /// Prompt tokens taken from the engine's cache, imported ones included.
  std::uint32_t cachedTokens = 0;
  std::uint32_t outputTokens = 0;
  /// "stop" or "length".
  std::string finishReason;
};

/// Receiver of one engine stream. After onEnd or onError nothing follows.
class EngineStreamHandler {
 public:
  virtual ~EngineStreamHandler() = default;
  /// The engine took the request and has it queued or running.
  virtual void onAccepted() = 0;
  virtual void onChunk(StreamChunk chunk) = 0;
  virtual void onEnd(StreamEnd end) = 0;
  virtual void onError(DispatchError error) = 0;
};

/// A stream in flight. Destroying it cancels the engine's work and silences the handler.
class EngineStream {
 public:
  virtual ~EngineStream() = default;
  /// Back-pressure: while paused, no chunk is delivered and none is read from the engine.
  virtual void setPaused(bool paused) = 0;
};

/// Weights that an engine has loaded and can serve.
struct LoadedWeights {
  std::string model;
  base::WeightsVersion version = 0;
  std::vector<std::string> adapters;
  auto operator<=>(const LoadedWeights&) const = default;
};

enum class EngineRole : std::uint8_t { kServing, kStandby };

/// Load as the engine reports it; it lags by up to a second.
struct EngineLoad {
  std::uint32_t running = 0;
  /// Waiting requests by priority class.
  std::array<std::uint32_t, base::kPriorityClassCount> waiting{};
  /// Prompt tokens still to prefill, over waiting and running requests, by priority class.
  std::array<std::uint64_t, base::kPriorityClassCount> queuedPrefillTokens{};
  std::uint32_t cachedBlocks = 0;
  std::uint32_t capacityBlocks = 0;
  bool operator==(const EngineLoad&) const = default;
};

enum class CacheEventKind : std::uint8_t { kStored, kEvicted, kExported };

/// A change of an engine's cache, published late and with losses.
struct CacheEvent {
  CacheEventKind kind = CacheEventKind::kStored;
  base::BlockHash block;
};

/// An engine's answer to a poll.
struct EngineReport {
  base::Incarnation incarnation = 0;
  EngineRole role = EngineRole::kServing;
  bool leaving = false;
  std::vector<LoadedWeights> weights;
  /// Highest fencing token that the engine has obeyed.
  base::FencingToken fencingToken = 0;
  /// Identifier of the last order that it finished, empty if none.
  std::string lastOrder;
  EngineLoad load;
  /// Sequence number of the first event below; a number above the one asked for shows a gap.
  std::uint64_t firstSequence = 0;
  /// Sequence number to ask for next.
  std::uint64_t nextSequence = 0;
  std::vector<CacheEvent> events;
};

enum class OrderKind : std::uint8_t { kLoadWeights, kUnloadWeights, kChangeRole };

/// A fenced order to one engine. Repeating an order with the same identifier is harmless.
struct EngineOrder {
  std::string orderId;
  base::FencingToken fencingToken = 0;
  OrderKind kind = OrderKind::kLoadWeights;
  LoadedWeights weights;
  EngineRole role = EngineRole::kServing;
};

enum class OrderStatus : std::uint8_t { kAccepted, kFencedOff, kInvalid, kUnreachable, kUnknown };

struct OrderReply {
  OrderStatus status = OrderStatus::kUnknown;
  /// The highest token that the engine knows, with kFencedOff.
  base::FencingToken fencingToken = 0;
  std::string detail;
};

/// Client of all engines. Callbacks come later, on the node's thread, exactly once.
class EngineClient {
 public:
  virtual ~EngineClient() = default;
  /// Starts a stream. `handler` must outlive the returned stream.
  virtual std::unique_ptr<EngineStream> start(const BackEndAddress& engine, EngineRequest request,
                                              EngineStreamHandler& handler) = 0;
  /// Asks for the report with events from sequence number `fromSequence`; empty when the engine did
  /// not answer.
  virtual void poll(const BackEndAddress& engine, std::uint64_t fromSequence,
                    std::function<void(std::optional<EngineReport>)> callback) = 0;
  /// Asks for all blocks in the cache (as kStored events), for a resync; empty when it did not
  /// answer.
  virtual void snapshot(const BackEndAddress& engine,
                        std::function<void(std::optional<EngineReport>)> callback) = 0;
  virtual void order(const BackEndAddress& engine, EngineOrder order,
                     std::function<void(OrderReply)> callback) = 0;
};

}  // namespace covewing::clients
