/// \file
/// Tells other nodes by gossip whether the stores of kept cache answer this one, and hears what
/// they tell: each store lets only a few nodes watch it.
#pragma once

#include <cstdint>
#include <string>

#include "membership/member_directory.h"
#include "routing/cache_stores.h"

namespace covewing::node {

class CacheStoreGossip {
 public:
  /// All must outlive the news.
  CacheStoreGossip(const membership::MemberDirectory& members,
                   membership::RecordDissemination& records, routing::CacheStores& stores);

  /// Begins to hear other nodes; call once.
  void start();

 private:
  void publish(const std::string& store, bool available);
  void onRecord(const membership::GossipRecord& record);

  const membership::MemberDirectory& members_;
  membership::RecordDissemination& records_;
  routing::CacheStores& stores_;
  std::uint32_t recordCounter_ = 0;
};

}  // namespace covewing::node
