#include "capacity/hollow_fleet.h"

#include <boost/test/unit_test.hpp>

#include "capacity/slopes.h"

namespace covewing::capacity {

namespace {

FleetSize smallFleet() {
  FleetSize size;
  size.nodes = 7;
  size.engines = 14;
  size.blocksPerEngine = 256;
  size.models = 2;
  size.tenants = 20;
  size.eventsPerSecond = 300;
  size.requestsPerSecond = 10;
  return size;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(HollowFleetTest)

BOOST_AUTO_TEST_CASE(NodesSeeAllNodesAndServeRequests) {
  HollowFleet fleet(smallFleet());
  fleet.start();
  fleet.runFor(std::chrono::seconds(6));
  fleet.resetOutcome();
  fleet.runFor(std::chrono::seconds(10));
  BOOST_TEST(fleet.nodesThatSeeAll() == 7U);
  BOOST_TEST(fleet.nodesReady() == 7U);
  BOOST_TEST(fleet.outcome().answered > 80U);
  BOOST_TEST(fleet.outcome().refused == 0U);
  BOOST_TEST(fleet.outcome().reusedBlocks > 0U);
  BOOST_TEST(fleet.outcome().reusedBlocks <= fleet.outcome().reusableBlocks);
}

BOOST_AUTO_TEST_CASE(DistributesAChangeAndDetectsACrash) {
  HollowFleet fleet(smallFleet());
  fleet.start();
  fleet.runFor(std::chrono::seconds(6));
  BOOST_TEST(fleet.timeOfChange(3, std::chrono::seconds(7)).has_value());
  const auto detected = fleet.timeOfDetection(2, std::chrono::seconds(30));
  BOOST_REQUIRE(detected.has_value());
  BOOST_TEST((*detected > std::chrono::seconds(1)));
}

BOOST_AUTO_TEST_CASE(CountsEveryControlByteOnce) {
  HollowFleet fleet(smallFleet());
  fleet.start();
  fleet.runFor(std::chrono::seconds(8));
  for (const Usage& usage : fleet.usage()) {
    BOOST_TEST(usage.totalBytes() == usage.sentBytes + usage.receivedBytes,
               boost::test_tools::tolerance(1e-6));
    BOOST_TEST(usage.bytes[static_cast<std::size_t>(Traffic::kEngineReports)] > 0);
  }
}

BOOST_AUTO_TEST_CASE(SpreadHasMeanNinetyNinthPercentileAndMaximum) {
  std::vector<double> values;
  for (int value = 200; value >= 1; --value) values.push_back(value);
  const Spread spread = spreadOf(values);
  BOOST_TEST(spread.mean == 100.5);
  BOOST_TEST(spread.p99 == 198);
  BOOST_TEST(spread.worst == 200);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::capacity
