/// \file
/// Questions of a routing policy about engines' caches and queues.
#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "base/ids.h"
#include "base/priority.h"
#include "prefix/checkpoints.h"

namespace covewing::routing {

/// What is known of one engine for one prompt.
struct EngineLookupResult {
  base::EngineId engine;
  /// A home answered; otherwise the fields below are zero.
  bool known = false;
  bool doubtful = false;
  std::uint32_t matchedBlocks = 0;
  /// Prompt tokens computed before a request of the asked priority.
  std::uint64_t tokensAhead = 0;
  std::uint32_t requests = 0;
  base::Incarnation incarnation = 0;
};

struct LookupResult {
  std::uint64_t lookupId = 0;
  /// Leading blocks that other requests asked for lately.
  std::uint32_t recentlyRequestedBlocks = 0;
  /// Leading blocks believed to be in the store of kept KV cache.
  std::uint32_t exportedBlocks = 0;
  /// One element for each engine asked about, in that order.
  std::vector<EngineLookupResult> engines;
};

using LookupCallback = std::function<void(LookupResult)>;

class CacheLookup {
 public:
  virtual ~CacheLookup() = default;
  /// Answers exactly once, within the configured timeout; from inside the call where nothing must
  /// be asked of other nodes.
  virtual void lookup(base::PriorityClass priority, const std::vector<base::EngineId>& engines,
                      const prefix::Checkpoints& checkpoints, LookupCallback callback) = 0;
  /// Announces the dispatch that follows from a lookup.
  virtual void announce(std::uint64_t lookupId, base::EngineId engine, base::PriorityClass priority,
                        std::uint32_t uncachedTokens) = 0;
};

}  // namespace covewing::routing
