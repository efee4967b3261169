/// \file
/// Messages of the quarantine channel, and the entry that gossip and the table service carry.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "base/ids.h"
#include "base/time.h"
#include "quarantine/crash_evidence.h"

namespace covewing::quarantine {

/// Runs of the sender that ended with a replica.
struct RunsEnded {
  base::EngineId replica;
  Fingerprints runs;
};

/// Requests whose runs came to their ends at the sender lately.
struct RequestsServed {
  Fingerprints requests;
};

using QuarantineMessage = std::variant<RunsEnded, RequestsServed>;

std::string encode(const RunsEnded& message);
std::string encode(const RequestsServed& message);
/// Empty when the payload is malformed.
std::optional<QuarantineMessage> decodeQuarantineMessage(std::string_view payload);

/// A decision on one request.
struct QuarantineEntry {
  base::RequestFingerprint request;
  /// Replicas that had ended under it.
  std::uint64_t crashes = 0;
  /// By the table service's clock.
  base::Duration decidedAt{};
  /// The request was served after all, and may be sent again.
  bool lifted = false;

  /// Grows with each decision on the request, so that all nodes keep the latest.
  std::uint64_t version() const;
};

/// Key of an entry in the table service and in gossip.
std::string keyOf(base::RequestFingerprint request);
inline constexpr std::string_view kQuarantineKeyPrefix = "quarantine/";

std::string encode(const QuarantineEntry& entry);
/// Empty when the value is malformed.
std::optional<QuarantineEntry> decodeQuarantineEntry(std::string_view value);

}  // namespace covewing::quarantine
