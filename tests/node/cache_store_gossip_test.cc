// Availability of cache stores, published to other nodes by gossip.
#include "node/cache_store_gossip.h"

#include <boost/test/unit_test.hpp>

namespace covewing::node {

namespace {

/// Gossip that delivers each record to every subscriber at once.
class Gossip final : public membership::RecordDissemination {
 public:
  void publish(membership::GossipRecord record) override {
    records.push_back(record);
    for (const auto& listener : listeners) listener(record);
  }
  std::optional<membership::GossipRecord> find(std::string_view /*key*/) const override {
    return std::nullopt;
  }
  void subscribe(std::string /*keyPrefix*/, Listener listener) override {
    listeners.push_back(std::move(listener));
  }
  std::vector<membership::GossipRecord> records;
  std::vector<Listener> listeners;
};

class Directory final : public membership::MemberDirectory {
 public:
  explicit Directory(std::string name) {
    self_.name = std::move(name);
    // Wall-clock time in microseconds, which nodes use as incarnation.
    self_.incarnation = 1'780'000'000'000'000;
  }
  const membership::Member& self() const override { return self_; }
  const std::vector<membership::Member>& liveMembers() const override { return none_; }
  const membership::Member* find(base::NodeId /*id*/) const override { return nullptr; }
  std::size_t lostMembers() const override { return 0; }
  std::size_t missingSeeds() const override { return 0; }
  std::uint64_t version() const override { return 1; }

 private:
  membership::Member self_;
  std::vector<membership::Member> none_;
};

struct GossipNode {
  GossipNode(const std::string& name, Gossip& gossip)
      : directory(name), storeGossip(directory, gossip, stores) {
    config::RouteTableContents contents;
    config::Service service;
    service.name = "kept";
    service.cacheStore = config::CacheStore{{9, 9}, "z", 2};
    contents.services.push_back(service);
    stores.update(config::RouteTable{contents});
    storeGossip.start();
  }
  Directory directory;
  routing::CacheStores stores;
  CacheStoreGossip storeGossip;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(CacheStoreNewsTest)

BOOST_AUTO_TEST_CASE(AvailabilitySeenByOneNodeReachesTheOthers) {
  Gossip gossip;
  GossipNode watcher("a", gossip);
  const GossipNode other("b", gossip);
  watcher.stores.setLocalAvailability("store/0.0.0.9:9", true);
  BOOST_REQUIRE(other.stores.choose(1) != nullptr);
  BOOST_TEST(!other.stores.choose(1)->localAvailability.has_value());
  watcher.stores.setLocalAvailability("store/0.0.0.9:9", false);
  BOOST_TEST((other.stores.choose(1) == nullptr));
}

BOOST_AUTO_TEST_CASE(LaterRecordHasAHigherVersionUnderAKeyOfItsNode) {
  Gossip gossip;
  GossipNode first("a", gossip);
  GossipNode second("b", gossip);
  first.stores.setLocalAvailability("store/0.0.0.9:9", true);
  first.stores.setLocalAvailability("store/0.0.0.9:9", false);
  second.stores.setLocalAvailability("store/0.0.0.9:9", true);
  BOOST_TEST(gossip.records[1].version > gossip.records[0].version);
  BOOST_TEST(gossip.records[1].key == gossip.records[0].key);
  BOOST_TEST(gossip.records[2].key != gossip.records[0].key);
  // Records after a later start have a higher version: the counter leaves room for the incarnation.
  BOOST_TEST(gossip.records[0].version / first.directory.self().incarnation > 1000U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::node
