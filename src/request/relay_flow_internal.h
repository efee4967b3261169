/// \file
/// Constants and texts shared by the files of RelayFlow.
#pragma once

#include <string>

#include "base/time.h"
#include "clients/relay_client.h"

namespace covewing::request {

inline constexpr unsigned kBadRequest = 400;
inline constexpr unsigned kMisdirected = 421;
inline constexpr unsigned kServiceUnavailable = 503;
/// Not worth an attempt any more.
inline constexpr base::Duration kMinimumAttemptTime = std::chrono::milliseconds(5);
/// A request that a restarting node or a full service refused may come back this soon.
inline constexpr base::Duration kRetryAfterRefusals = std::chrono::milliseconds(200);

/// The replica answered that it did not run the request.
inline bool wasNotRun(const clients::RelayedAnswer& response) {
  return response.notExecuted || response.status == kMisdirected;
}

/// Whether a final answer with the status says that the request has not run and never will.
inline bool promisesNotRun(unsigned status) {
  constexpr unsigned kRequestTimeout = 408;
  constexpr unsigned kTooManyRequests = 429;
  return status == kRequestTimeout || status == kMisdirected || status == kTooManyRequests ||
         status == kServiceUnavailable;
}

using base::millisecondsText;

}  // namespace covewing::request
