/// \file
/// Membership and configuration together: all nodes start at once and know nothing of each other
/// but their seeds.
#include <boost/test/unit_test.hpp>
#include <cstdlib>

#include "config/configuration_distributor.h"
#include "config/template_fixtures.h"
#include "config/virtual_platform.h"
#include "membership/gossip_membership.h"

namespace covewing::config {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class Fleet {
 public:
  explicit Fleet(std::size_t count) : network(time, 1), platform(network, 1), nodes_(count) {
    commit("common", baseDocument());
    for (int index = 0; index < 200; ++index) {
      const std::string name = "stall-" + std::to_string(index);
      commit(name, tenantDocument(name));
    }
    for (std::size_t index = 0; index < count; ++index) start(index);
  }

  void commit(const std::string& name, const std::string& document) {
    const clients::TableRow row = rowOf(name, document, 0);
    platform.table.commitNow({{}, {{row.key, row.value}}});
  }
  void start(std::size_t index) {
    Node& node = nodes_[index];
    node = Node{};
    membership::GossipMembershipOptions options;
    options.name = "node-" + std::to_string(index);
    options.zone = "zone-" + std::to_string(index % 7);
    options.region = index % 7 < 4 ? "north" : "south";
    options.endpoint = {static_cast<std::uint32_t>(1000 + index), 7000};
    options.incarnation = ++incarnation_;
    options.seeds = {{1000, 7000}, {1001, 7000}, {1002, 7000}};
    test::VirtualProcess& process = network.add(options.name, options.endpoint, incarnation_);
    node.table = std::make_unique<test::VirtualTableClient>(platform, process);
    node.objects = std::make_unique<test::VirtualObjectStoreClient>(platform, process);
    node.members = std::make_unique<membership::GossipMembership>(options, process, process,
                                                                  process.random, log_, process);
    node.store = std::make_unique<ConfigurationStore>(ConfigurationStoreOptions{}, process, log_);
    ConfigurationDistributorOptions distribution;
    distribution.seeds = options.seeds;
    node.distributor = std::make_unique<ConfigurationDistributor>(
        distribution, process, process, process.random, log_, process, *node.members, *node.table,
        *node.objects, *node.store);
    process.handlers[base::Channel::kMembership] = node.members.get();
    process.handlers[base::Channel::kConfiguration] = node.distributor.get();
    node.members->start();
    node.distributor->start();
  }
  std::size_t countLoaded() const {
    return static_cast<std::size_t>(std::count_if(
        nodes_.begin(), nodes_.end(), [](const Node& node) { return node.store->loaded(); }));
  }
  /// Runs and returns the most calls to the table service within a second.
  std::uint64_t busiestSecond(std::size_t secondCount) {
    std::uint64_t busiest = 0;
    for (std::size_t second = 0; second < secondCount; ++second) {
      const std::uint64_t before = platform.calls;
      time.runFor(seconds(1));
      busiest = std::max(busiest, platform.calls - before);
    }
    return busiest;
  }

  test::VirtualTime time;
  test::VirtualNetwork network;
  test::VirtualPlatform platform;

 private:
  struct Node {
    std::unique_ptr<test::VirtualTableClient> table;
    std::unique_ptr<test::VirtualObjectStoreClient> objects;
    std::unique_ptr<membership::GossipMembership> members;
    std::unique_ptr<ConfigurationStore> store;
    std::unique_ptr<ConfigurationDistributor> distributor;
  };
  base::NullEventLog log_;
  std::vector<Node> nodes_;
  base::Incarnation incarnation_ = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(ColdStartTest)

BOOST_AUTO_TEST_CASE(StartOfAllNodesDoesNotStormTheTable) {
  const char* text = std::getenv("COVEWING_TEST_NODES");
  const std::size_t count = text == nullptr ? 120 : std::strtoul(text, nullptr, 10);
  Fleet fleet(count);
  const auto loaded =
      fleet.time.runUntil([&] { return fleet.countLoaded() == count; }, seconds(60));
  const std::uint64_t callsUntilLoaded = fleet.platform.calls;
  const std::uint64_t busiest = fleet.busiestSecond(20);
  BOOST_TEST_MESSAGE(count << " nodes started at once: all loaded after " << base::toSeconds(loaded)
                           << " s with " << callsUntilLoaded << " calls to the table, at most "
                           << busiest << " in a second of the next 20");
  BOOST_TEST(base::toSeconds(loaded) < 10);
  BOOST_TEST(callsUntilLoaded < 100);
  BOOST_TEST(busiest < 50);
  BOOST_TEST(fleet.platform.table.conditions().rateLimited() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::config
