/// \file
/// Rules that decide whether a failed attempt may be retried. They uphold two promises to callers:
/// a request reported as "not run" was not executed, and a not-repeatable request is executed at
/// most once.
#pragma once

#include <cstdint>

#include "base/random.h"
#include "base/time.h"
#include "clients/back_end.h"

namespace covewing::request {

/// State of a request at the time one of its attempts failed.
struct AttemptFailure {
  clients::DispatchFailure failure = clients::DispatchFailure::kOutcomeUnknown;
  /// Executing the request twice does no harm.
  bool repeatable = true;
  /// Part of the response has reached the caller, so that another attempt has to resume the stream.
  bool responseStarted = false;
  /// The tenant's template allows a broken stream to be resumed on another engine.
  bool resumeAllowed = true;
};

/// Whether the promises to the caller allow another attempt. Limits on the number of attempts and
/// the retry budget are checked by the caller of this function.
bool mayRetry(const AttemptFailure& attempt);

/// Delay before attempt number `attempt` (2 for the first retry). Doubles with each retry up to a
/// maximum, with random jitter.
base::Duration retryDelay(std::uint32_t attempt, base::RandomSource& random);

}  // namespace covewing::request
