// The table service was restored from an older backup without the operators' newest version, until
// they had rewritten it. A node that had not received that version, or had just started, took the
// older one as the newest, confirmed it every 0.8 s, and accepted the keys that the newest version
// had revoked.
#include <boost/test/unit_test.hpp>
#include <charconv>

#include "config/feed_fleet.h"
#include "node/configuration_gossip.h"
#include "node/route_configuration.h"
#include "support/shared_records.h"

namespace covewing::node {

using config::feed_fleet::Fleet;
using config::feed_fleet::FleetNode;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr const char* kTableRow = "table";
constexpr const char* kWeightsRow = "weights/m";
constexpr const char* kModel = "m";

std::uint64_t numberOf(std::string_view value) {
  std::uint64_t number = 0;
  std::from_chars(value.data(), value.data() + value.size(), number);
  return number;
}

/// Rows hold version numbers.
class NumberReader final : public ConfigurationRowReader {
 public:
  bool isRouteTable(std::string_view key) const override { return key == kTableRow; }
  bool isAnnouncedWeights(std::string_view key) const override { return key == kWeightsRow; }
  std::optional<config::RouteTableContents> readRouteTable(
      std::string_view value, base::Reason& /*reason*/) const override {
    config::RouteTableContents contents;
    contents.version = numberOf(value);
    return contents;
  }
  std::optional<AnnouncedWeights> readWeights(std::string_view value,
                                              base::Reason& /*reason*/) const override {
    return AnnouncedWeights{kModel, numberOf(value)};
  }
};

/// One incarnation of a node, with its feed, its configuration and its gossip records.
struct RunningNode {
  RunningNode(Fleet& fleet, FleetNode& host)
      : node(host),
        eras(fleet.time, log),
        service(fleet.service, node.timers, eras),
        feed({},
             {fleet.time, node.timers, node.random, log, node.wire, node.directory, service, eras}),
        configuration(reader, fleet.time, log, targets, eras),
        watch({"t"}, fleet.time, node.timers, node.random, feed, configuration),
        configurationGossip(
            {records, eras, configuration, [this] { return watch.serviceTime(); }}) {
    configuration.setWatch(watch);
    configuration.setFeedCurrentListener([this] { configurationGossip.onFeedCurrent(); });
    configuration.setTableListener([this](const config::RouteTable& table) {
      configurationGossip.publishTableVersion(table.version());
    });
    configuration.setWeightsListener(
        [this](const AnnouncedWeights& weights, const AnnouncementTime&) {
          configurationGossip.publishWeightsVersion(weights);
        });
    eras.onReturn([this](const config::StoreReturn&) {
      watch.onStoreReturned();
      configurationGossip.onStoreReturned();
      configuration.onStoreReturned();
    });
  }
  void start() {
    configurationGossip.start();
    watch.start();
  }
  std::uint64_t version() const {
    return configuration.table() ? configuration.table()->version() : 0;
  }

  FleetNode& node;
  test_support::RecordingLog log;
  config::StoreEras eras;
  config::feed_fleet::ServiceClient service;
  config::SharedFeed feed;
  NumberReader reader;
  routing::WeightsTargets targets{{seconds(8), milliseconds(1200)}};
  RouteConfiguration configuration;
  config::TableWatch watch;
  test_support::SharedRecords records;
  ConfigurationGossip configurationGossip;
};

/// Two nodes that reach the service directly, and each other only by gossip.
struct RestoreFixture {
  RestoreFixture() {
    for (auto& node : fleet.nodes) node->silent = true;
    first.records.connect(second.records);
    fleet.service.put(kTableRow, "5");
    fleet.service.put(kWeightsRow, "1");
    backup = fleet.service.copy();
    first.start();
    second.start();
    fleet.time.advance(seconds(2));
  }
  base::Duration ageAt(const RunningNode& running) const {
    return fleet.time.now() - *running.configuration.confirmedAt();
  }

  Fleet fleet{2};
  RunningNode first{fleet, *fleet.nodes[0]};
  RunningNode second{fleet, *fleet.nodes[1]};
  config::feed_fleet::FakeService::Copy backup;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(ConfigurationReturnTest, RestoreFixture)

BOOST_AUTO_TEST_CASE(BackupWithAnOlderVersionConfirmsNothing) {
  fleet.service.put(kTableRow, "8");
  fleet.time.advance(seconds(1));
  BOOST_TEST(first.version() == 8U);
  const auto restoredAt = fleet.time.now();
  fleet.service.returnFrom(backup, 20);
  fleet.time.advance(seconds(6));
  BOOST_TEST(first.version() == 8U);
  BOOST_REQUIRE(first.configuration.confirmedAt().has_value());
  BOOST_TEST((*first.configuration.confirmedAt() <= restoredAt));
  fleet.service.put(kTableRow, "8");
  fleet.time.advance(seconds(1));
  BOOST_TEST((ageAt(first) < seconds(1)));
}

// The first node has received version 8; the second has not, since the service refused its calls.
BOOST_AUTO_TEST_CASE(NodeThatMissedTheNewestVersionIsNotConfirmedByAnOlderOne) {
  second.service.refused = true;
  // By then the service has replied to the call that it was holding.
  fleet.time.advance(seconds(1));
  fleet.service.put(kTableRow, "8");
  fleet.time.advance(milliseconds(500));
  fleet.service.returnFrom(backup, 20);
  second.service.refused = false;
  const auto restoredAt = fleet.time.now();
  fleet.time.advance(seconds(8));
  BOOST_TEST(second.version() == 5U);
  BOOST_TEST((*second.configuration.confirmedAt() <= restoredAt));
  fleet.service.put(kTableRow, "8");
  fleet.time.advance(seconds(1));
  BOOST_TEST(second.version() == 8U);
  BOOST_TEST((ageAt(second) < seconds(1)));
}

// No node received version 8 before the service lost it. The time that operators have to rewrite it
// must pass before an older version counts as confirmed.
BOOST_AUTO_TEST_CASE(NoVersionIsConfirmedBeforeOperatorsHadTimeToRewrite) {
  fleet.service.put(kTableRow, "8");
  fleet.service.returnFrom(backup, 20);
  const auto restoredAt = fleet.time.now();
  while (fleet.time.now() < restoredAt + config::kWrittenAgainWithin - milliseconds(100)) {
    fleet.time.advance(milliseconds(50));
    for (const auto* running : {&first, &second})
      BOOST_TEST((*running->configuration.confirmedAt() <= restoredAt));
  }
  fleet.service.put(kTableRow, "8");
  fleet.time.advance(seconds(2));
  for (const auto* running : {&first, &second}) {
    BOOST_TEST(running->version() == 8U);
    BOOST_TEST((ageAt(*running) < seconds(1)));
  }
}

BOOST_AUTO_TEST_CASE(StartedNodeIsNotConfirmedByAVersionOlderThanPeersHave) {
  fleet.service.put(kTableRow, "8");
  fleet.time.advance(seconds(1));
  fleet.service.returnFrom(backup, 20);
  fleet.time.advance(milliseconds(500));
  RunningNode started(fleet, *fleet.nodes[1]);
  started.records.connect(first.records);
  started.start();
  fleet.time.advance(seconds(5));
  BOOST_TEST(started.version() == 5U);
  BOOST_TEST(!started.configuration.confirmedAt().has_value());
  fleet.service.put(kTableRow, "8");
  fleet.time.advance(seconds(1));
  BOOST_TEST(started.version() == 8U);
  BOOST_REQUIRE(started.configuration.confirmedAt().has_value());
  BOOST_TEST((ageAt(started) < seconds(1)));
}

// The first reply that the node receives is of the new era. Until it receives gossip from the other
// nodes, it cannot detect that there was an earlier era.
BOOST_AUTO_TEST_CASE(ConfirmationFromBeforeTheRestoreWasReportedIsDiscarded) {
  fleet.service.put(kTableRow, "8");
  fleet.service.returnFrom(backup, 20);
  RunningNode started(fleet, *fleet.nodes[1]);
  started.start();
  fleet.time.advance(milliseconds(200));
  BOOST_TEST(started.configuration.confirmedAt().has_value());
  started.records.connect(first.records);
  fleet.time.advance(milliseconds(900));
  BOOST_TEST(!started.configuration.confirmedAt().has_value());
  fleet.service.put(kTableRow, "8");
  fleet.time.advance(seconds(2));
  BOOST_REQUIRE(started.configuration.confirmedAt().has_value());
  BOOST_TEST(started.version() == 8U);
}

BOOST_AUTO_TEST_CASE(NodeThatStartsLongAfterTheRestoreIsConfirmedAtOnce) {
  fleet.service.returnFrom(backup, 20);
  fleet.time.advance(seconds(30));
  RunningNode started(fleet, *fleet.nodes[1]);
  started.records.connect(first.records);
  started.start();
  fleet.time.advance(milliseconds(200));
  BOOST_TEST(started.configuration.confirmedAt().has_value());
}

BOOST_AUTO_TEST_CASE(ServiceWithoutTheRowConfirmsNothing) {
  fleet.service.returnFrom({{}, 1}, 50);
  const auto restoredAt = fleet.time.now();
  fleet.time.advance(seconds(6));
  BOOST_TEST(first.version() == 5U);
  BOOST_TEST((*first.configuration.confirmedAt() <= restoredAt));
  fleet.service.put(kTableRow, "5");
  fleet.time.advance(seconds(1));
  BOOST_TEST((ageAt(first) < seconds(1)));
}

// A version that other nodes received applies although the service has lost it. Its transition
// period counts from this node's last confirmation without it.
BOOST_AUTO_TEST_CASE(WeightsAnnouncedToAPeerApplyWhileTheServiceLacksThem) {
  second.service.refused = true;
  fleet.time.advance(seconds(1));
  const auto announcedAt = fleet.time.now();
  fleet.service.put(kWeightsRow, "2");
  fleet.time.advance(milliseconds(500));
  fleet.service.returnFrom(backup, 20);
  second.service.refused = false;
  fleet.time.advance(seconds(1));
  BOOST_REQUIRE(second.targets.newest(kModel) == 2U);
  BOOST_TEST((*second.targets.startDeadline(kModel, 1) <= announcedAt + seconds(8)));
}

// Rewriting a version after the restore does not move its announcement time.
BOOST_AUTO_TEST_CASE(RewrittenWeightsKeepTheirAnnouncementTime) {
  const auto announcedAt = fleet.time.now();
  fleet.service.put(kWeightsRow, "2");
  fleet.service.returnFrom(backup, 20);
  fleet.time.advance(milliseconds(1500));
  fleet.service.put(kWeightsRow, "2");
  fleet.time.advance(seconds(1));
  for (const auto* running : {&first, &second}) {
    BOOST_REQUIRE(running->targets.newest(kModel) == 2U);
    BOOST_TEST((*running->targets.startDeadline(kModel, 1) <= announcedAt + seconds(8)));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::node
