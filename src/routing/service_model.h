/// \file
/// Expected time to first token of a prompt at an engine: the queue ahead of it, the transfer from
/// the store of kept KV cache where that pays, and the tokens still to compute.
#pragma once

#include <cstdint>

#include "base/time.h"

namespace covewing::routing {

/// Assumed speeds of engines and store.
struct ServiceModel {
  double prefillTokensPerSecond = 6500;
  /// Transfer from the store of kept KV cache.
  base::Duration importLatency = std::chrono::milliseconds(10);
  double importTokensPerSecond = 60'000;
  /// Longest wait for the store that an import may have; beyond it the engine computes instead.
  base::Duration importWaitLimit = std::chrono::milliseconds(300);
  /// Weight, beside the expected time itself, of the time to compute all tokens that the prompt
  /// adds to the engine's cache, imported ones too: computing delays those who come after, and what
  /// is added pushes as much out, which is computed again elsewhere.
  double insertionWeight = 1.0;
  /// Delay by each request that runs or waits at the engine: its share of every step, and memory
  /// that it holds until its answer is complete.
  base::Duration perRequest = std::chrono::milliseconds(20);
  /// Share of a doubtful match that is counted on.
  double doubtfulMatchWeight = 0.5;
  /// One round trip to another zone, and to another region.
  base::Duration otherZone = std::chrono::milliseconds(3);
  base::Duration otherRegion = std::chrono::milliseconds(60);
};

/// One prompt at one engine.
struct ServiceInput {
  std::uint32_t promptTokens = 0;
  std::uint32_t cachedTokens = 0;
  bool doubtful = false;
  /// Leading tokens in the store of kept KV cache.
  std::uint32_t storedTokens = 0;
  /// Wait until the store starts a transfer.
  base::Duration importWait{};
  std::uint64_t tokensAhead = 0;
  /// Requests running or waiting at the engine.
  std::uint32_t requests = 0;
  base::Duration distance{};
};

struct ServiceEstimate {
  base::Duration timeToFirstToken{};
  /// First token plus the weight of insertion; engines are ranked by it.
  base::Duration cost{};
  std::uint32_t uncachedTokens = 0;
  /// Tokens to import, where that beats recomputing.
  std::uint32_t importedTokens = 0;
};

ServiceEstimate estimateService(const ServiceModel& model, const ServiceInput& input);

}  // namespace covewing::routing
