/// \file
/// Publishes by gossip whether the cache stores respond to this node, and applies the availability
/// that other nodes publish. Only a few nodes may poll each store, so the others depend on gossip.
#pragma once

#include <cstdint>
#include <string>

#include "membership/member_directory.h"
#include "routing/cache_stores.h"

namespace covewing::node {

class CacheStoreGossip {
 public:
  /// All arguments must outlive this object.
  CacheStoreGossip(const membership::MemberDirectory& members,
                   membership::RecordDissemination& records, routing::CacheStores& stores);

  /// Subscribes to the records of other nodes; call once.
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
