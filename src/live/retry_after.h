/// \file
/// Parses the `Retry-After` header of a response.
#pragma once

#include <chrono>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "live/http_message.h"

namespace covewing::live {

inline constexpr std::string_view kRetryAfterHeader = "Retry-After";

/// Longer values are reduced to this: the replica or service they would keep unused has mostly been
/// replaced by then, and a mistyped number must not keep it unused forever.
inline constexpr base::Duration kMaximumRetryAfter = std::chrono::hours(24);

/// Result of parsing all `Retry-After` fields of a response.
struct RetryAfter {
  /// The longest of the valid values; zero if there is none.
  base::Duration span{};
  /// Whether at least one field is invalid.
  bool unreadable = false;
};

/// Values are in seconds, fractions allowed. Negative numbers, dates and other texts are invalid: a
/// date would require a wall clock that agrees with the sender's.
RetryAfter readRetryAfter(const std::vector<HeaderField>& headers);

}  // namespace covewing::live
