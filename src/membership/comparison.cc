#include "membership/comparison.h"

#include <map>

namespace covewing::membership {

namespace {

/// The part of all buckets that is compared with a node that was cut off.
constexpr std::size_t kPartOfCutOff = 4;
constexpr std::uint32_t kAllBuckets = ~0U;

/// Bits of up to `most` buckets whose digests differ, from a random one on.
template <std::size_t size>
std::uint32_t differingBuckets(const std::array<std::uint32_t, size>& left,
                               const std::array<std::uint32_t, size>& right, std::size_t most,
                               base::RandomSource& random) {
  std::uint32_t mask = 0;
  std::size_t chosen = 0;
  const std::size_t first = random.below(size);
  for (std::size_t step = 0; step < size && chosen < most; ++step) {
    const std::size_t bucket = (first + step) % size;
    if (left.at(bucket) == right.at(bucket)) continue;
    mask |= 1U << bucket;
    ++chosen;
  }
  return mask;
}

bool isLive(MemberState state) {
  return state == MemberState::kAlive || state == MemberState::kSuspect;
}

}  // namespace

SyncRequest Comparison::request() const {
  const bool alone = members_.live().size() <= 1;
  return {alone, packedSelf(), members_.digests(), records_.digests()};
}

SyncSummary Comparison::summarize(const SyncRequest& request, bool cutOff) const {
  const std::size_t part = cutOff ? kPartOfCutOff : 1;
  SyncSummary summary;
  summary.self = packedSelf();
  summary.memberBuckets = differingBuckets(members_.digests(), request.members,
                                           MemberTable::kBucketCount / part, random_);
  summary.members = members_.summary(summary.memberBuckets);
  summary.recordBuckets = differingBuckets(records_.digests(), request.records,
                                           RecordTable::kBucketCount / part, random_);
  summary.records = records_.summary(summary.recordBuckets);
  return summary;
}

SyncItems Comparison::itemsFor(const SyncSummary& summary) const {
  SyncItems items;
  compareMembers(summary, items);
  compareRecords(summary, items);
  return items;
}

void Comparison::compareMembers(const SyncSummary& summary, SyncItems& items) const {
  PackedWriter updates;
  std::map<base::NodeId, MemberVersion> theirs;
  for (const MemberSummary& their : summary.members) {
    const MemberVersion version{their.incarnation, their.sequence, MemberState::kAlive};
    theirs[their.id] = version;
    const Member* member = members_.find(their.id);
    if (member == nullptr || members_.versionOf(their.id) < version) {
      items.wantedMembers.push_back(their.id);
    } else if (!isLive(member->state)) {
      encode(compactUpdate(*member, members_.sequenceOf(member->id)), updates);
    }
  }
  for (const Member& member : members_.live()) {
    if ((summary.memberBuckets >> MemberTable::bucketOf(member.id) & 1U) == 0) continue;
    const auto known = theirs.find(member.id);
    const MemberVersion version{member.incarnation, members_.sequenceOf(member.id),
                                MemberState::kAlive};
    if (known == theirs.end() || known->second < version)
      encode(fullUpdate(member, version.sequence), updates);
  }
  items.updates.members = updates.take();
}

void Comparison::compareRecords(const SyncSummary& summary, SyncItems& items) const {
  PackedWriter records;
  std::map<std::uint64_t, std::uint64_t> theirs;
  for (const RecordSummary& their : summary.records) {
    theirs[their.keyHash] = their.version;
    const std::optional<GossipRecord> record = records_.findByHash(their.keyHash);
    if (!record || record->version < their.version) items.wantedRecords.push_back(their.keyHash);
  }
  for (const RecordSummary& own : records_.summary(summary.recordBuckets)) {
    const auto known = theirs.find(own.keyHash);
    if (known == theirs.end() || known->second < own.version)
      encode(*records_.findByHash(own.keyHash), records);
  }
  items.updates.records = records.take();
}

SyncItems Comparison::wantedItems(const SyncItems& items) const {
  PackedWriter updates;
  for (const base::NodeId id : items.wantedMembers) {
    const Member* member = members_.find(id);
    if (member != nullptr) encode(fullUpdate(*member, members_.sequenceOf(id)), updates);
  }
  PackedWriter records;
  for (const std::uint64_t keyHash : items.wantedRecords) {
    const std::optional<GossipRecord> record = records_.findByHash(keyHash);
    if (record) encode(*record, records);
  }
  return {{updates.take(), records.take()}, {}, {}};
}

SyncItems Comparison::everything() const {
  PackedWriter updates;
  for (const Member& member : members_.live())
    encode(fullUpdate(member, members_.sequenceOf(member.id)), updates);
  PackedWriter records;
  for (const RecordSummary& summary : records_.summary(kAllBuckets))
    encode(*records_.findByHash(summary.keyHash), records);
  return {{updates.take(), records.take()}, {}, {}};
}

std::string Comparison::packedSelf() const {
  PackedWriter writer;
  const Member& self = members_.self();
  encode(fullUpdate(self, members_.sequenceOf(self.id)), writer);
  return writer.take();
}

}  // namespace covewing::membership
