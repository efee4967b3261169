// Execution of orders under random faults that are derived from a seed: invariants of every run.
#include <boost/test/unit_test.hpp>

#include "coordination/order_request.h"
#include "coordination_world.h"

namespace covewing::coordination {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::uint64_t kSeeds = 60;
constexpr std::size_t kLoadSlots = 2;
constexpr std::size_t kEngines = 6;

/// A fleet whose nodes are paused, cut off and restarted, and lose replies of the table service.
class FaultyFleet {
 public:
  explicit FaultyFleet(std::uint64_t seed) : random_(seed) {
    world.addNodes();
    world.addEngines(kEngines);
    world.engines.weightStore.setSpeed(0.3);
    world.start();
    world.run(seconds(5));
  }

  /// Injects one fault, or ends one.
  void injectFault() {
    TestNode& node = randomNode();
    switch (random_.below(8)) {
      case 0:
        node.time.pause();
        ++faults;
        break;
      case 1:
      case 2:
        node.time.resume();
        break;
      case 3:
        node.table.cutOff = !node.table.cutOff;
        ++faults;
        break;
      case 4:
        world.table.conditions().setAnswerLoss(static_cast<double>(random_.below(5)) * 0.2);
        ++faults;
        break;
      case 5:
        node.engines.delayNextOrderBy = seconds(random_.below(20));
        break;
      case 6:
        node.table.delayNextOrderWriteBy = seconds(random_.below(20));
        break;
      default:
        restart(node.members.self());
        ++faults;
        break;
    }
  }

  void clearFaults() {
    world.table.conditions().setAnswerLoss(0);
    for (auto& [name, node] : world.nodes) {
      node->time.resume();
      node->table.cutOff = false;
      node->engines.delayNextOrderBy = base::Duration::zero();
      node->table.delayNextOrderWriteBy = base::Duration::zero();
    }
  }

  base::Duration randomTime() { return milliseconds(random_.below(4000)); }

  World world;
  std::size_t faults = 0;

 private:
  TestNode& randomNode() {
    auto node = world.nodes.begin();
    std::advance(node, static_cast<std::ptrdiff_t>(random_.below(world.nodes.size())));
    return *node->second;
  }

  void restart(membership::Member self) {
    world.crash(self.name);
    world.addNode(self.name, self.zone, base::Duration::zero(), self.incarnation + 1)
        .coordinator.start();
  }

  base::SeededRandom random_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(FaultScheduleTest)

BOOST_AUTO_TEST_CASE(OneHolderBoundedLoadsAndEveryOrderFinishes) {
  std::size_t faults = 0;
  std::size_t fencedOff = 0;
  base::FencingToken highestToken = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      FaultyFleet fleet(seed);
      fleet.world.dropPeerMessages = seed % 3 == 0;
      OrderRequest request;
      request.type = seed % 2 == 0 ? OrderType::kSwap : OrderType::kLoad;
      request.model = "rules";
      request.version = 2;
      if (request.type == OrderType::kLoad) request.count = kEngines;
      const std::string id = fleet.world.createOrder(fleet.world.nonHolder(), request);
      for (int round = 0; round < 20; ++round) {
        fleet.injectFault();
        fleet.world.runUntil(
            fleet.randomTime(), [] { return false; }, [&] { fleet.world.holder(); });
      }
      fleet.clearFaults();
      BOOST_TEST(fleet.world.runUntilFinished(id, [&] { fleet.world.holder(); }));
      const Order order = fleet.world.order(id);
      BOOST_TEST((order.state == OrderState::kDone));
      BOOST_TEST(fleet.world.engines.enginesWith(2) == kEngines);
      BOOST_TEST(fleet.world.engines.weightStore.peakLoads() <= kLoadSlots);
      faults += fleet.faults;
      fencedOff += fleet.world.engines.fencedOff;
      highestToken = std::max(highestToken, order.token);
    }
  }
  // Checks that faults did occur.
  BOOST_TEST(faults > 8 * kSeeds);
  BOOST_TEST(fencedOff > 0U);
  BOOST_TEST(highestToken > 3U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::coordination
