/// \file
/// Interface through which a routing policy queries the caches and queues of engines.
#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "base/ids.h"
#include "base/priority.h"
#include "prefix/checkpoints.h"

namespace covewing::engine_routing {

/// Cache and queue state of one engine with respect to one prompt.
struct EngineLookupResult {
  base::EngineId engine;
  /// True if a home replied for this engine; otherwise the fields below are zero.
  bool known = false;
  bool doubtful = false;
  std::uint32_t matchedBlocks = 0;
  /// Prompt tokens that the engine will compute before a request of the given priority.
  std::uint64_t tokensAhead = 0;
  std::uint32_t requests = 0;
  base::Incarnation incarnation = 0;
};

struct LookupResult {
  std::uint64_t lookupId = 0;
  /// Number of leading blocks of the prompt that other requests contained recently.
  std::uint32_t recentlyRequestedBlocks = 0;
  /// Number of leading blocks that are estimated to be in the external KV cache store.
  std::uint32_t exportedBlocks = 0;
  /// One element for each requested engine, in the order of the request.
  std::vector<EngineLookupResult> engines;
};

using LookupCallback = std::function<void(LookupResult)>;

class CacheLookup {
 public:
  virtual ~CacheLookup() = default;
  /// Invokes `callback` exactly once, within the configured timeout. The call is made before this
  /// function returns if no other node has to be queried.
  virtual void lookup(base::PriorityClass priority, const std::vector<base::EngineId>& engines,
                      const prefix::Checkpoints& checkpoints, LookupCallback callback) = 0;
  /// Announces to the engine's home that the request of the lookup was dispatched to `engine`.
  virtual void announce(std::uint64_t lookupId, base::EngineId engine, base::PriorityClass priority,
                        std::uint32_t uncachedTokens) = 0;
};

}  // namespace covewing::engine_routing
