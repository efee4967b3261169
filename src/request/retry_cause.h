/// \file
/// Why a relayed request was sent once more, for logs and metrics.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace covewing::request {

enum class RetryCause : std::uint8_t {
  /// The replica refused the request and did not run it.
  kRefused,
  /// The replica answered with a failure.
  kFailed,
  /// The attempt's connection broke after the request may have arrived.
  kLost,
  kSilent,
  /// The attempt had not begun when its version of the weights went out of date.
  kWeightsOutOfDate,
  /// The request never left for the replica: no retry for the bound on retries.
  kNeverArrived
};

inline constexpr std::size_t kRetryCauses = 6;

/// Retries of one request, by cause.
using RetryCounts = std::array<std::uint32_t, kRetryCauses>;

/// Name in logs and metrics.
std::string_view toString(RetryCause cause);

}  // namespace covewing::request
