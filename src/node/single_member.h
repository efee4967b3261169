/// \file
/// Membership of a node that knows no other: the directory holds the node itself, records stay
/// here.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "membership/member_directory.h"

namespace covewing::node {

class SingleMember final : public membership::MemberDirectory,
                           public membership::RecordDissemination {
 public:
  explicit SingleMember(membership::Member self) : members_{std::move(self)} {}

  const membership::Member& self() const override { return members_.front(); }
  const std::vector<membership::Member>& liveMembers() const override { return members_; }
  const membership::Member* find(base::NodeId id) const override {
    return id == self().id ? &self() : nullptr;
  }
  std::uint64_t version() const override { return 1; }

  void publish(membership::GossipRecord record) override {
    membership::GossipRecord& known = records_[record.key];
    if (known.version >= record.version && !known.key.empty()) return;
    known = record;
    for (const auto& [prefix, listener] : listeners_) {
      if (record.key.starts_with(prefix)) listener(record);
    }
  }
  std::optional<membership::GossipRecord> find(std::string_view key) const override {
    const auto found = records_.find(key);
    if (found == records_.end()) return std::nullopt;
    return found->second;
  }
  void subscribe(std::string keyPrefix, Listener listener) override {
    listeners_.emplace_back(std::move(keyPrefix), std::move(listener));
  }

 private:
  std::vector<membership::Member> members_;
  std::map<std::string, membership::GossipRecord, std::less<>> records_;
  std::vector<std::pair<std::string, Listener>> listeners_;
};

}  // namespace covewing::node
