/// \file
/// Reasons why a relayed request was retried, for logs and metrics.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace covewing::request {

enum class RetryCause : std::uint8_t {
  /// The replica refused the request without executing it.
  kRefused,
  /// The replica responded with an error status.
  kFailed,
  /// The connection broke at a time when the request may already have arrived at the replica.
  kLost,
  /// The replica sent no data before the receive timeout.
  kSilent,
  /// The replica had not started the request when the version of the weights became outdated.
  kWeightsOutOfDate,
  /// The request was not sent to the replica. Such an attempt does not count against the retry
  /// budget.
  kNeverArrived
};

inline constexpr std::size_t kRetryCauses = 6;

/// Number of retries of one request by cause.
using RetryCounts = std::array<std::uint32_t, kRetryCauses>;

/// Name in logs and metrics.
std::string_view toString(RetryCause cause);

}  // namespace covewing::request
