/// \file
/// Constants and functions shared by the source files of RelayFlow.
#pragma once

#include <string>

#include "base/event_log.h"
#include "base/time.h"

namespace covewing::request {

inline constexpr unsigned kBadRequest = 400;
inline constexpr unsigned kMisdirected = 421;
inline constexpr unsigned kServiceUnavailable = 503;
/// If less time than this is left, no further attempt is made.
inline constexpr base::Duration kMinimumAttemptTime = std::chrono::milliseconds(5);
/// Retry-After time of requests that were refused because replicas are restarting or at capacity.
inline constexpr base::Duration kRetryAfterRefusals = std::chrono::milliseconds(200);

/// Whether a final response with this status promises that the request was not executed and never
/// will be.
inline bool promisesNotRun(unsigned status) {
  constexpr unsigned kRequestTimeout = 408;
  constexpr unsigned kTooManyRequests = 429;
  return status == kRequestTimeout || status == kMisdirected || status == kTooManyRequests ||
         status == kServiceUnavailable;
}

/// Why a request is not tried at another replica although it may run again.
inline constexpr std::string_view kRunMayGoOn = "its run may go on";

using base::millisecondsText;

}  // namespace covewing::request
