/// \file
/// Expected time to first token of a prompt at an engine: the queue ahead of it, the transfer from
/// the store of kept KV cache where that pays, and the tokens still to compute.
#pragma once

#include <cstdint>

#include "base/time.h"

namespace covewing::routing {

/// Assumed speeds of engines and store.
struct ServiceModel {
  double prefillTokensPerSecond = 8000;
  /// Transfer from the store of kept KV cache.
  base::Duration importLatency = std::chrono::milliseconds(10);
  double importTokensPerSecond = 60'000;
  /// Weight of a computed token against a queued one: computing what is cached elsewhere also
  /// delays those who come after.
  double recomputeWeight = 1.5;
  /// Share of a doubtful match that is counted on.
  double doubtfulShare = 0.5;
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
  std::uint64_t tokensAhead = 0;
  base::Duration distance{};
};

struct ServiceEstimate {
  base::Duration firstToken{};
  /// First token plus the weight of recomputation; engines are ranked by it.
  base::Duration cost{};
  std::uint32_t uncachedTokens = 0;
  /// Importing beats recomputing.
  bool import = false;
};

ServiceEstimate estimateService(const ServiceModel& model, const ServiceInput& input);

}  // namespace covewing::routing
