/// \file
/// The gossip records that one node knows, their subscribers, and digests for repair. No I/O.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "membership/member_directory.h"
#include "membership/packed_bytes.h"

namespace covewing::membership {

/// A record's version as digest exchange compares it.
struct RecordSummary {
  std::uint64_t keyHash = 0;
  std::uint64_t version = 0;
};

class RecordTable {
 public:
  static constexpr std::size_t kBucketCount = 32;
  using BucketDigests = std::array<std::uint32_t, kBucketCount>;
  /// Bound of what one node keeps; a record with a new key beyond it is refused.
  static constexpr std::size_t kMaximumRecords = 16'384;
  static constexpr std::size_t kMaximumKey = 128;

  /// Stores the record and tells subscribers; false when it is not newer or exceeds a bound.
  bool apply(const GossipRecord& record);
  std::optional<GossipRecord> find(std::string_view key) const;
  std::optional<GossipRecord> findByHash(std::uint64_t keyHash) const;
  void subscribe(std::string keyPrefix, const RecordDissemination::Listener& listener);
  std::size_t size() const { return records_.size(); }

  const BucketDigests& digests() const { return digests_; }
  static std::size_t bucketOf(std::uint64_t keyHash) { return keyHash % kBucketCount; }
  std::vector<RecordSummary> summary(std::uint32_t bucketMask) const;

 private:
  struct Subscription {
    std::string keyPrefix;
    RecordDissemination::Listener listener;
  };
  struct Value {
    std::uint64_t version = 0;
    std::string value;
  };
  using Records = std::map<std::string, Value, std::less<>>;

  Records records_;
  std::unordered_map<std::uint64_t, const Records::value_type*> byHash_;
  std::vector<Subscription> subscriptions_;
  BucketDigests digests_{};
};

void encode(const GossipRecord& record, PackedWriter& writer);
/// All records of a packed list; those before a malformed one are kept.
std::vector<GossipRecord> decodeRecords(std::string_view bytes);

}  // namespace covewing::membership
