/// \file
/// Messages of the quarantine channel, and the entry stored in gossip records and in the table
/// service.
///
/// Builds that know requests only read the first fields of a message and ignore the others. What
/// concerns parts of prompts is therefore in further fields, and the first ones then say nothing: a
/// report without requests, a suspicion without crashes, a verdict that was lifted long ago.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "base/ids.h"
#include "base/request_feature.h"
#include "base/time.h"
#include "quarantine/crash_evidence.h"

namespace covewing::quarantine {

/// Maximum number of parts of prompts that a message names beside its first one, so that it fits
/// into a datagram.
inline constexpr std::size_t kMaximumFurtherParts = 96;

/// Sent to the home nodes of the requests: requests of the sender that were running at a replica
/// when it crashed.
struct CrashReport {
  base::EngineId replica;
  base::RequestFeatures runs;
  /// Those parts of prompts among `runs` for which a response had just begun.
  base::RequestFeatures begun{};
  /// How long ago the crash was noticed, if there are parts of prompts: reports are repeated later
  /// to nodes that become home nodes.
  base::Duration age{};
};

/// Sent by a home node to all nodes, and also stored as a gossip record and as a row of the table
/// service: more than one crash counts against the request.
struct RequestSuspected {
  base::RequestFeature feature;
  /// Replicas whose crashes count; empty in a record if the request was served since.
  std::vector<base::EngineId> replicas;
  /// By the clock of the table service; zero if that is unknown.
  base::Duration announcedAt{};
  /// For a part of a prompt: how long before the announcement each of these crashes was reported,
  /// and those at which a response had just begun.
  std::vector<base::Duration> ages{};
  std::vector<base::EngineId> begun{};
  /// Further parts with the same crashes, at most kMaximumFurtherParts. Builds that do not know
  /// this field learn of them by gossip records, of which each concerns one feature.
  base::RequestFeatures furtherParts{};
};

/// Sent to the home nodes of a request, and by them to all nodes if it was suspected: the request
/// completed.
struct RequestServed {
  base::RequestFeature feature;
  /// For a part of a prompt: further parts that were served, at most kMaximumFurtherParts.
  base::RequestFeatures furtherParts{};
};

/// Sent by a home node to all nodes: a verdict on one request or part of a prompt.
struct QuarantineEntry {
  base::RequestFeature feature;
  /// Number of replicas that crashed while running it.
  std::uint64_t crashes = 0;
  /// By the clock of the table service.
  base::Duration decidedAt{};
  /// The request was served after all and may be sent again.
  bool lifted = false;

  /// Increases with each verdict on the request, so that all nodes keep the latest one.
  std::uint64_t version() const;
};

using QuarantineMessage =
    std::variant<CrashReport, RequestSuspected, RequestServed, QuarantineEntry>;

std::string encode(const CrashReport& message);
std::string encode(const RequestSuspected& message);
std::string encode(const RequestServed& message);
/// Also the value of an entry in gossip and in the table service.
std::string encode(const QuarantineEntry& entry);
/// Empty if the payload is malformed.
std::optional<QuarantineMessage> decodeQuarantineMessage(std::string_view payload);

/// Key of an entry in the table service and in gossip.
std::string keyOf(base::RequestFeature feature);
inline constexpr std::string_view kQuarantineKeyPrefix = "quarantine/";
/// Key of a suspect in the table service and in gossip.
std::string suspectKeyOf(base::RequestFeature feature);
inline constexpr std::string_view kSuspectKeyPrefix = "quarantine-suspect/";
/// Common prefix of the keys of all rows in the table service.
inline constexpr std::string_view kQuarantineRowsPrefix = "quarantine";

/// Empty if the value is malformed.
std::optional<QuarantineEntry> decodeQuarantineEntry(std::string_view value);

}  // namespace covewing::quarantine
