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

/// To the homes of the runs' requests: runs of the sender that ended with a replica.
struct CrashReport {
  base::EngineId replica;
  Fingerprints runs;
};

/// From a home to all, also as a gossip record and as a row of the table service: more than one
/// crash counts against a request.
struct RequestSuspected {
  base::RequestFingerprint request;
  /// Empty in a record where it was served since.
  std::vector<base::EngineId> replicas;
  /// By the table service's clock; zero where that is not known.
  base::Duration announcedAt{};
};

/// To the homes of a request, and from them to all where it was suspected: a run of it came to its
/// end.
struct RequestServed {
  base::RequestFingerprint request;
};

/// From a home to all: a decision on one request.
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

using QuarantineMessage =
    std::variant<CrashReport, RequestSuspected, RequestServed, QuarantineEntry>;

std::string encode(const CrashReport& message);
std::string encode(const RequestSuspected& message);
std::string encode(const RequestServed& message);
/// Also the value of an entry in gossip and in the table service.
std::string encode(const QuarantineEntry& entry);
/// Empty when the payload is malformed.
std::optional<QuarantineMessage> decodeQuarantineMessage(std::string_view payload);

/// Key of an entry in the table service and in gossip.
std::string keyOf(base::RequestFingerprint request);
inline constexpr std::string_view kQuarantineKeyPrefix = "quarantine/";
/// Key of a suspect in the table service and in gossip.
std::string suspectKeyOf(base::RequestFingerprint request);
inline constexpr std::string_view kSuspectKeyPrefix = "quarantine-suspect/";
/// Keys of all rows in the table service begin with this.
inline constexpr std::string_view kQuarantineRowsPrefix = "quarantine";

/// Empty when the value is malformed.
std::optional<QuarantineEntry> decodeQuarantineEntry(std::string_view value);

}  // namespace covewing::quarantine
