/// \file
/// Estimates the time to first token of a prompt at an engine: the queue ahead of it, the transfer
/// from the store of kept KV cache if that pays off, and the tokens that remain to be computed.
#pragma once

#include <cstdint>

#include "base/time.h"

namespace covewing::engine_routing {

/// Assumed speeds of engines and store.
struct ServiceModel {
  double prefillTokensPerSecond = 6500;
  /// Transfer from the store of kept KV cache: latency, and rate in tokens per second.
  base::Duration importLatency = std::chrono::milliseconds(10);
  double importTokensPerSecond = 60'000;
  /// Maximum time that an import may wait for the store; beyond it the engine computes the tokens
  /// instead.
  base::Duration importWaitLimit = std::chrono::milliseconds(300);
  /// Weight, relative to the expected time itself, of the time to compute all tokens that the
  /// prompt adds to the engine's cache, including imported ones. The computation delays the
  /// requests that follow, and each added token evicts another one that has to be computed again
  /// elsewhere.
  double insertionWeight = 1.0;
  /// Delay caused by each request that runs or waits at the engine: its share of every step, and
  /// the memory that it occupies until its response is complete.
  base::Duration perRequest = std::chrono::milliseconds(20);
  /// Share of an uncertain match that is assumed to be cached.
  double doubtfulMatchWeight = 0.5;
  /// Round-trip times to another zone and to another region.
  base::Duration otherZone = std::chrono::milliseconds(3);
  base::Duration otherRegion = std::chrono::milliseconds(60);
};

/// One prompt at one engine.
struct ServiceInput {
  std::uint32_t promptTokens = 0;
  std::uint32_t cachedTokens = 0;
  bool doubtful = false;
  /// Number of leading tokens in the store of kept KV cache.
  std::uint32_t storedTokens = 0;
  /// Time until the store starts a transfer.
  base::Duration importWait{};
  std::uint64_t tokensAhead = 0;
  /// Requests running or waiting at the engine.
  std::uint32_t requests = 0;
  base::Duration distance{};
};

struct ServiceEstimate {
  base::Duration timeToFirstToken{};
  /// Time to first token plus the weighted cost of insertion; engines are ranked by it.
  base::Duration cost{};
  std::uint32_t uncachedTokens = 0;
  /// Tokens to import, if that is faster than recomputing them.
  std::uint32_t importedTokens = 0;
};

ServiceEstimate estimateService(const ServiceModel& model, const ServiceInput& input);

}  // namespace covewing::engine_routing
