/// \file
/// Interface for choosing an engine for one request. Each policy has its own file. The shipped
/// policy and the baselines share this interface and are compared on the bench.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/priority.h"
#include "base/result_code.h"
#include "base/time.h"
#include "clients/engine_client.h"
#include "engine_routing/fleet_view.h"
#include "prefix/block_chain.h"

namespace covewing::engine_routing {

/// The properties of a request that a policy may use.
struct RouteQuery {
  base::RequestId requestId;
  clients::CacheIdentity identity;
  std::shared_ptr<const prefix::BlockChain> chain;
  std::uint32_t promptTokens = 0;
  base::PriorityClass priority = base::PriorityClass::kStandard;
  /// Remaining time until the first token is due.
  base::Duration deadline{};
  /// Engines that were already tried and must not be chosen again.
  std::vector<base::EngineId> excluded;
};

/// One engine that was considered, for the output of `explain`.
struct RouteCandidate {
  base::EngineId engine;
  std::string name;
  /// Number of leading blocks of the prompt that are estimated to be cached.
  std::uint32_t matchedBlocks = 0;
  /// True if the match is based on entries that may be out of date.
  bool doubtful = false;
  /// Expected time to first token.
  base::Duration expectedTimeToFirstToken{};
  std::string note;
};

struct RouteDecision {
  /// Empty if no engine qualifies; `reason` then contains the cause.
  std::optional<base::EngineId> engine;
  base::Incarnation incarnation = 0;
  std::uint32_t matchedBlocks = 0;
  /// Number of leading blocks to import from, or export to, the external KV cache store.
  std::uint32_t importBlocks = 0;
  std::uint32_t exportBlocks = 0;
  base::Duration expectedTimeToFirstToken{};
  /// Prompt tokens that the engine is expected to compute.
  std::uint32_t uncachedTokens = 0;
  /// Prompt tokens that the engine is expected to import.
  std::uint32_t importedTokens = 0;
  /// Id of the lookup on which the choice is based; 0 if there was none.
  std::uint64_t lookupId = 0;
  std::vector<RouteCandidate> candidates;
  base::Reason reason;
};

/// Called exactly once, possibly before `choose` returns.
using RouteCallback = std::function<void(RouteDecision)>;

class RoutingPolicy {
 public:
  virtual ~RoutingPolicy() = default;
  virtual std::string_view name() const = 0;
  virtual void choose(RouteQuery query, RouteCallback callback) = 0;
  /// Feedback: the request was dispatched to the engine, and later finished there.
  virtual void onDispatched(const RouteQuery& query, const RouteDecision& decision) = 0;
  virtual void onFinished(base::EngineId engine, std::uint32_t promptTokens,
                          std::uint32_t cachedTokens, base::Duration timeToFirstToken) = 0;
};

/// Whether the engine may serve the query: it has the requested weights, is serving, is reachable,
/// is not leaving and is not excluded.
bool qualifies(const EngineState& engine, const RouteQuery& query);

}  // namespace covewing::engine_routing
