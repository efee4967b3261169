#include "live/retry_after.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>

namespace covewing::live {

namespace {

/// Parses a number of seconds; empty if the text is not a valid value.
std::optional<base::Duration> parseDelay(std::string_view text) {
  constexpr double kMicrosecondsPerSecond = 1'000'000;
  double seconds = 0;
  const auto* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, seconds, std::chars_format::fixed);
  const bool tooLarge = error == std::errc::result_out_of_range;
  if (text.empty() || stop != end || (error != std::errc{} && !tooLarge)) return std::nullopt;
  if (std::isnan(seconds) || std::signbit(seconds)) return std::nullopt;
  if (tooLarge || seconds >= base::toSeconds(kMaximumRetryAfter)) return kMaximumRetryAfter;
  return base::Duration{static_cast<base::Duration::rep>(seconds * kMicrosecondsPerSecond)};
}

}  // namespace

RetryAfter readRetryAfter(const std::vector<HeaderField>& headers) {
  RetryAfter result;
  for (const auto& field : headers) {
    if (!equalHeaderNames(field.name, kRetryAfterHeader)) continue;
    const auto delay = parseDelay(field.value);
    result.unreadable = result.unreadable || !delay;
    result.span = std::max(result.span, delay.value_or(base::Duration::zero()));
  }
  return result;
}

}  // namespace covewing::live
