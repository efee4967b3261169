/// \file
/// The demand of a request on its tenant's limits.
///
/// Limits are counted in tokens. The configuration determines the unit: one token per request, or
/// the tokens of the prompt and of the maximum output. Nothing here depends on the unit.
#pragma once

#include <cstdint>

#include "base/ids.h"

namespace covewing::admission {

/// Limits of one tenant, shared by all nodes.
struct QuotaLimits {
  /// Tokens per second; 0 means unlimited.
  double ratePerSecond = 0;
  /// Tokens that may be used at once in excess of the rate.
  double burst = 0;
  /// Maximum number of requests in flight; 0 means unlimited.
  std::uint32_t concurrency = 0;

  bool any() const { return ratePerSecond > 0 || concurrency > 0; }
  /// Maximum number of tokens that the tenant can accumulate.
  double bucketSize() const { return burst < 1.0 ? 1.0 : burst; }
};

/// The demand of one request.
struct QuotaDemand {
  base::TenantId tenant;
  /// Revision of the configuration that `limits` are from; the highest known revision applies.
  base::Revision revision = 0;
  QuotaLimits limits;
  std::uint32_t tokens = 1;
};

}  // namespace covewing::admission
