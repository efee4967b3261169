#include "membership/record_table.h"

namespace covewing::membership {

namespace {
std::uint32_t digestOf(std::uint64_t keyHash, std::uint64_t version) {
  return static_cast<std::uint32_t>(base::mixHash(keyHash, version));
}
}  // namespace

bool RecordTable::apply(const GossipRecord& record) {
  if (record.key.size() > kMaximumKey || record.value.size() > RecordDissemination::kMaximumValue)
    return false;
  const std::uint64_t keyHash = base::hashName(record.key);
  auto position = records_.find(record.key);
  if (position == records_.end()) {
    if (records_.size() >= kMaximumRecords) return false;
    position = records_.emplace(record.key, Value{}).first;
    byHash_.insert_or_assign(keyHash, &*position);
  } else {
    if (record.version <= position->second.version) return false;
    digests_.at(bucketOf(keyHash)) -= digestOf(keyHash, position->second.version);
  }
  position->second = {record.version, record.value};
  digests_.at(bucketOf(keyHash)) += digestOf(keyHash, record.version);
  // A listener may subscribe again or publish another record: it is called from a copy of the list.
  std::vector<RecordDissemination::Listener> listeners;
  for (const Subscription& subscription : subscriptions_) {
    if (record.key.starts_with(subscription.keyPrefix)) listeners.push_back(subscription.listener);
  }
  for (const RecordDissemination::Listener& listener : listeners) listener(record);
  return true;
}

std::optional<GossipRecord> RecordTable::find(std::string_view key) const {
  const auto found = records_.find(key);
  if (found == records_.end()) return std::nullopt;
  return GossipRecord{found->first, found->second.version, found->second.value};
}

std::optional<GossipRecord> RecordTable::findByHash(std::uint64_t keyHash) const {
  const auto found = byHash_.find(keyHash);
  return found == byHash_.end() ? std::nullopt : find(found->second->first);
}

void RecordTable::subscribe(std::string keyPrefix, const RecordDissemination::Listener& listener) {
  std::vector<GossipRecord> known;
  for (auto position = records_.lower_bound(keyPrefix);
       position != records_.end() && position->first.starts_with(keyPrefix); ++position) {
    known.push_back({position->first, position->second.version, position->second.value});
  }
  subscriptions_.push_back({std::move(keyPrefix), listener});
  for (const GossipRecord& record : known) listener(record);
}

std::vector<RecordSummary> RecordTable::summary(std::uint32_t bucketMask) const {
  std::vector<RecordSummary> summary;
  for (const auto& [key, value] : records_) {
    const std::uint64_t keyHash = base::hashName(key);
    if ((bucketMask >> bucketOf(keyHash) & 1U) != 0) summary.push_back({keyHash, value.version});
  }
  return summary;
}

void encode(const GossipRecord& record, PackedWriter& writer) {
  writer.text(record.key);
  writer.variable(record.version);
  writer.text(record.value);
}

std::vector<GossipRecord> decodeRecords(std::string_view bytes) {
  std::vector<GossipRecord> records;
  PackedReader reader(bytes);
  while (reader.more()) {
    GossipRecord record;
    record.key = reader.text();
    record.version = reader.variable();
    record.value = reader.text();
    if (!reader.ok()) break;
    records.push_back(std::move(record));
  }
  return records;
}

}  // namespace covewing::membership
