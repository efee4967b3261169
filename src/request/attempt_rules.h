/// \file
/// When a failed attempt may be followed by another: the rules behind "not run" and "at most once".
#pragma once

#include <cstdint>

#include "base/random.h"
#include "base/time.h"
#include "clients/back_end.h"

namespace covewing::request {

/// What is known about a request when one of its attempts failed.
struct AttemptFailure {
  clients::DispatchFailure failure = clients::DispatchFailure::kOutcomeUnknown;
  /// Running the request twice does no harm.
  bool repeatable = true;
  /// Part of the answer has reached the caller, so that another attempt is a resume.
  bool responseStarted = false;
  /// The template lets a broken stream go on from another engine.
  bool resumeAllowed = true;
};

/// True where the promises allow another attempt; budgets are counted elsewhere.
bool mayRetry(const AttemptFailure& attempt);

/// Delay before attempt number `attempt` (2 for the first retry): doubles each time, with jitter.
base::Duration retryDelay(std::uint32_t attempt, base::RandomSource& random);

}  // namespace covewing::request
