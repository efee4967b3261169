/// \file
/// Messages of the membership channel. Lists inside them are packed (membership/packed_bytes.h).
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "membership/member_table.h"
#include "membership/record_table.h"

namespace covewing::membership {

/// Packed member updates and records, piggybacked on most messages.
struct UpdateBatch {
  std::string members;
  std::string records;
};

/// "Are you there?" Answered by Ack only by the member that is meant.
struct Ping {
  std::uint64_t sequence = 0;
  base::NodeId target;
  UpdateBatch updates;
};

/// Answer to a ping, or relayed answer to a ping request.
struct Ack {
  std::uint64_t sequence = 0;
  UpdateBatch updates;
};

/// "Ping this member for me."
struct PingRequest {
  std::uint64_t sequence = 0;
  base::NodeId target;
};

struct Gossip {
  UpdateBatch updates;
};

/// Opens a comparison of all that both sides know.
struct SyncRequest {
  /// The sender knows nobody: everything is wanted, without comparison.
  bool joining = false;
  /// Packed full update of the sender.
  std::string self;
  MemberTable::BucketDigests members{};
  RecordTable::BucketDigests records{};
};

/// Versions in the buckets that differ.
struct SyncSummary {
  std::string self;
  std::uint32_t memberBuckets = 0;
  std::vector<MemberSummary> members;
  std::uint32_t recordBuckets = 0;
  std::vector<RecordSummary> records;
};

/// Items that the other side lacks, and identifiers of those wanted from it.
struct SyncItems {
  UpdateBatch updates;
  std::vector<base::NodeId> wantedMembers;
  std::vector<std::uint64_t> wantedRecords;
};

using MembershipMessage =
    std::variant<Ping, Ack, PingRequest, Gossip, SyncRequest, SyncSummary, SyncItems>;

std::string encode(const MembershipMessage& message);
/// Empty when the payload is malformed.
std::optional<MembershipMessage> decodeMembershipMessage(std::string_view payload);

}  // namespace covewing::membership
