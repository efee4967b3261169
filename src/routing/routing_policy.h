/// \file
/// Choice of an engine for one request. One policy a file; the shipped one and the baselines share
/// this interface and are compared on the bench.
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
#include "prefix/block_chain.h"
#include "routing/fleet_view.h"

namespace covewing::routing {

/// What a policy may know of a request.
struct RouteQuery {
  base::RequestId requestId;
  clients::CacheIdentity identity;
  std::shared_ptr<const prefix::BlockChain> chain;
  std::uint32_t promptTokens = 0;
  base::PriorityClass priority = base::PriorityClass::kStandard;
  /// Time left until the first token is due.
  base::Duration deadline{};
  /// Engines tried before, not to be chosen again.
  std::vector<base::EngineId> excluded;
};

/// One engine that was considered, for `explain`.
struct RouteCandidate {
  base::EngineId engine;
  std::string name;
  /// Leading blocks of the prompt believed cached.
  std::uint32_t matchedBlocks = 0;
  /// The match comes from entries that may be outdated.
  bool doubtful = false;
  /// Expected time to first token.
  base::Duration expectedTimeToFirstToken{};
  std::string note;
};

struct RouteDecision {
  /// Empty when no engine qualifies; `reason` then says why.
  std::optional<base::EngineId> engine;
  base::Incarnation incarnation = 0;
  std::uint32_t matchedBlocks = 0;
  /// Leading blocks to import from, or export to, the store of kept KV cache.
  std::uint32_t importBlocks = 0;
  std::uint32_t exportBlocks = 0;
  base::Duration expectedTimeToFirstToken{};
  /// Prompt tokens that the engine is expected to compute.
  std::uint32_t uncachedTokens = 0;
  /// Prompt tokens that the engine is expected to import.
  std::uint32_t importedTokens = 0;
  /// The lookup that the choice rests on; 0 if none.
  std::uint64_t lookupId = 0;
  std::vector<RouteCandidate> candidates;
  base::Reason reason;
};

/// Called exactly once; may be called from inside `choose`.
using RouteCallback = std::function<void(RouteDecision)>;

class RoutingPolicy {
 public:
  virtual ~RoutingPolicy() = default;
  virtual std::string_view name() const = 0;
  virtual void choose(RouteQuery query, RouteCallback callback) = 0;
  /// Feedback: the request went to the engine, and later ended there.
  virtual void onDispatched(const RouteQuery& query, const RouteDecision& decision) = 0;
  virtual void onFinished(base::EngineId engine, std::uint32_t promptTokens,
                          std::uint32_t cachedTokens, base::Duration timeToFirstToken) = 0;
};

/// True for engines that may take the query: right weights, serving, live, not leaving, not
/// excluded.
bool qualifies(const EngineState& engine, const RouteQuery& query);

}  // namespace covewing::routing
