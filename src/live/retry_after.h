/// \file
/// The header `Retry-After` of an answer, as a span of time.
#pragma once

#include <chrono>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "live/http_message.h"

namespace covewing::live {

inline constexpr std::string_view kRetryAfterHeader = "Retry-After";

/// Longer spans count as this: what they would keep away has mostly been replaced by then, and a
/// mistyped number must not keep it away for good.
inline constexpr base::Duration kMaximumRetryAfter = std::chrono::hours(24);

/// What the header fields of an answer ask for.
struct RetryAfter {
  /// The longest of the spans that can be read; zero where there is none.
  base::Duration span{};
  /// A field is there that cannot be read.
  bool unreadable = false;
};

/// Seconds, fractions too. Negative numbers, dates and other texts cannot be read: a date would
/// rest on a wall clock that agrees with the sender's.
RetryAfter readRetryAfter(const std::vector<HeaderField>& headers);

}  // namespace covewing::live
