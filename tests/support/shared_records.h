// Gossip records that reach every node of a test at once, or those that are not cut off.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "membership/member_directory.h"

namespace covewing::test_support {

/// One node's view of the records; `connect` joins the views of several nodes.
class SharedRecords final : public membership::RecordDissemination {
 public:
  void connect(SharedRecords& other) {
    others_.push_back(&other);
    other.others_.push_back(this);
    for (const auto& [key, record] : records_) other.take(record);
    for (const auto& [key, record] : other.records_) take(record);
  }

  /// The other node is gone, and may be destroyed.
  void disconnect(SharedRecords& other) {
    std::erase(others_, &other);
    std::erase(other.others_, this);
  }

  void publish(membership::GossipRecord record) override {
    if (!take(record)) return;
    for (SharedRecords* other : others_) other->publish(record);
  }
  std::optional<membership::GossipRecord> find(std::string_view key) const override {
    const auto found = records_.find(key);
    return found == records_.end() ? std::nullopt : std::optional(found->second);
  }
  void subscribe(std::string keyPrefix, Listener listener) override {
    for (const auto& [key, record] : records_) {
      if (key.starts_with(keyPrefix)) listener(record);
    }
    listeners_.emplace_back(std::move(keyPrefix), std::move(listener));
  }

 private:
  bool take(const membership::GossipRecord& record) {
    const auto known = records_.find(record.key);
    if (known != records_.end() && known->second.version >= record.version) return false;
    records_[record.key] = record;
    for (const auto& [keyPrefix, listener] : listeners_) {
      if (record.key.starts_with(keyPrefix)) listener(record);
    }
    return true;
  }

  std::map<std::string, membership::GossipRecord, std::less<>> records_;
  std::vector<std::pair<std::string, Listener>> listeners_;
  std::vector<SharedRecords*> others_;
};

}  // namespace covewing::test_support
