// Guards against requests that begin on older weights after their deadline, by 71 ms in one run. A
// node counted the transition period of a new version from the receipt of its announcement, not
// from the announcement itself. The nodes that read the feed for the others had been killed at the
// moment of the announcement. Node 4 received the version (event 3008) at 2.020 s and stopped using
// version 1 at 8.82 s. Node 2, which had not restarted, reached the feed again after a second,
// received the version at 3.070 s and sent requests to replicas of version 1 until 9.87 s.
#include "node/announcement_time_resolver.h"

#include <boost/test/unit_test.hpp>
#include <charconv>

#include "config/feed_fleet.h"
#include "request/fakes.h"

namespace covewing::node {

using config::feed_fleet::Fleet;
using config::feed_fleet::FleetNode;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::string_view kModel = "m";
const std::string kWeightsRow = "weights/m";

/// The row "weights/m" holds the version announced for the model.
class WeightsReader final : public ConfigurationRowReader {
 public:
  bool isRouteTable(std::string_view /*key*/) const override { return false; }
  bool isAnnouncedWeights(std::string_view key) const override { return key == kWeightsRow; }
  std::optional<config::RouteTableContents> readRouteTable(
      std::string_view /*value*/, base::Reason& /*reason*/) const override {
    return std::nullopt;
  }
  std::optional<AnnouncedWeights> readWeights(std::string_view value,
                                              base::Reason& /*reason*/) const override {
    AnnouncedWeights weights{std::string{kModel}, 0};
    std::from_chars(value.data(), value.data() + value.size(), weights.version);
    return weights;
  }
};

/// The configuration of one node, fed by the fleet's shared feed.
struct WatchingNode {
  WatchingNode(Fleet& fleet, FleetNode& node)
      : configuration(reader, fleet.time, node.log, targets, node.eras),
        watch({"t"}, fleet.time, fleet.time, node.random, node.feed, configuration) {
    configuration.setWatch(watch);
    watch.start();
  }

  WeightsReader reader;
  routing::WeightsTargets targets{{seconds(8), milliseconds(1200)}};
  RouteConfiguration configuration;
  config::TableWatch watch;
};

/// A node that has just started and cannot reach any other node.
struct StartedNode {
  StartedNode(Fleet& fleet, request::FakeTable& table)
      : node(*fleet.nodes.front()),
        time(fleet.time),
        feed({}, {time, time, node.random, node.log, node.wire, node.directory, node.service,
                  node.eras}),
        store(table, time, time, [this] { return watch.serviceTime(); }),
        resolver(time, node.log, targets, store),
        configuration(reader, time, node.log, targets, node.eras),
        watch({"t"}, time, time, node.random, feed, configuration) {
    node.silent = true;
    configuration.setWatch(watch);
    configuration.setWeightsListener(
        [this](const AnnouncedWeights& weights, const AnnouncementTime& announcement) {
          resolver.onVersionAnnounced(weights, announcement);
        });
    watch.start();
  }

  FleetNode& node;
  test_support::VirtualTime& time;
  config::SharedFeed feed;
  WeightsReader reader;
  routing::WeightsTargets targets{{seconds(8), milliseconds(1200)}};
  AnnouncementTimeStore store;
  AnnouncementTimeResolver resolver;
  RouteConfiguration configuration;
  config::TableWatch watch;
};

/// A feed whose replies are sent by the test.
struct PausedFeed final : clients::TableFeedClient {
  void readAll(std::string /*table*/, clients::FeedCallback callback) override {
    pending = std::move(callback);
  }
  void changes(std::string /*table*/, base::Revision /*after*/, base::Duration /*wait*/,
               clients::FeedCallback callback) override {
    pending = std::move(callback);
  }
  void answer(clients::FeedReply reply) { std::exchange(pending, nullptr)(std::move(reply)); }
  clients::FeedCallback pending;
};

struct WatchingFleet {
  WatchingFleet() {
    fleet.service.put(kWeightsRow, "1");
    for (auto& node : fleet.nodes) nodes.push_back(std::make_unique<WatchingNode>(fleet, *node));
    fleet.time.advance(seconds(20));
  }
  /// Announces the version and returns the last moment at which a request may begin on an older
  /// one.
  base::TimePoint announce(const std::string& version) {
    fleet.service.put(kWeightsRow, version);
    return fleet.time.now() + seconds(8);
  }

  Fleet fleet{6, 3};
  std::vector<std::unique_ptr<WatchingNode>> nodes;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(WeightsDatingTest, WatchingFleet)

BOOST_AUTO_TEST_CASE(NodeInformedLateGivesTheOlderVersionNoMoreTime) {
  for (auto* reader : fleet.with({config::FeedWatchers::Role::kReader})) reader->silent = true;
  const auto deadline = announce("2");
  fleet.time.advance(seconds(4));
  for (std::size_t index = 0; index < nodes.size(); ++index) {
    BOOST_TEST_CONTEXT("node " << index) {
      const auto& targets = nodes[index]->targets;
      BOOST_REQUIRE(targets.newest(kModel) == 2U);
      const auto startDeadlineOfOlder = targets.startDeadline(kModel, 1);
      BOOST_REQUIRE(startDeadlineOfOlder.has_value());
      BOOST_TEST((*startDeadlineOfOlder <= deadline));
      BOOST_TEST(targets.oldestAllowed(kModel, deadline - milliseconds(600)) == 2U);
    }
  }
}

// The margin for late reports shortens the transition period of the older version, but only by a
// small part.
BOOST_AUTO_TEST_CASE(OlderVersionKeepsMostOfItsTime) {
  for (int step = 0; step < 20; ++step) {
    fleet.time.advance(milliseconds(570));
    const auto deadline = announce(std::to_string(step + 2));
    fleet.time.advance(seconds(2));
    for (const auto& node : nodes) {
      const auto startDeadlineOfOlder =
          node->targets.startDeadline(kModel, static_cast<unsigned>(step) + 1);
      BOOST_REQUIRE(startDeadlineOfOlder.has_value());
      BOOST_TEST((*startDeadlineOfOlder > deadline - milliseconds(1300)));
    }
  }
}

// The announcement time of version 3 does not apply to version 2, which this node never received.
BOOST_AUTO_TEST_CASE(NodeThatMissedAVersionGivesTheOldestNoMoreTime) {
  auto* follower = fleet.with({config::FeedWatchers::Role::kFollower}).front();
  const auto index = std::ranges::find(fleet.nodes, follower, &std::unique_ptr<FleetNode>::get) -
                     fleet.nodes.begin();
  follower->silent = true;
  follower->service.refused = true;
  fleet.time.advance(milliseconds(500));
  const auto deadline = announce("2");
  fleet.time.advance(seconds(2));
  const auto nextDue = announce("3");
  fleet.time.advance(milliseconds(500));
  follower->silent = false;
  fleet.time.advance(seconds(10));
  const auto& targets = nodes[static_cast<std::size_t>(index)]->targets;
  BOOST_REQUIRE(targets.newest(kModel) == 3U);
  BOOST_TEST((targets.startDeadline(kModel, 1) <= deadline));
  BOOST_TEST((targets.startDeadline(kModel, 2) <= nextDue));
}

// A version announced shortly before the newest one may be required already, which the newest
// version alone does not show.
BOOST_AUTO_TEST_CASE(StartedNodeAllowsNoOlderVersionUntilTheTimesAreKnown) {
  announce("2");
  fleet.time.advance(seconds(4));
  announce("3");
  fleet.time.advance(seconds(1));
  WatchingNode started(fleet, *fleet.nodes.front());
  bool timeKnown = true;
  started.configuration.setWeightsListener(
      [&](const AnnouncedWeights& /*weights*/, const AnnouncementTime& announcement) {
        timeKnown = announcement.announcedAfter.has_value();
      });
  fleet.time.advance(milliseconds(100));
  BOOST_TEST(!timeKnown);
  const auto now = fleet.time.now();
  BOOST_TEST(started.targets.oldestAllowed(kModel, now) == 3U);
  started.targets.onDated(std::string{kModel}, 2, now - seconds(5));
  started.targets.onDated(std::string{kModel}, 3, now - seconds(1));
  BOOST_TEST(started.targets.oldestAllowed(kModel, now) == 0U);
  BOOST_TEST(started.targets.oldestAllowed(kModel, now + seconds(3)) == 2U);
  BOOST_TEST(started.targets.oldestAllowed(kModel, now + seconds(7)) == 3U);
}

// All nodes were killed during an outage of the table service, and a version was announced in the
// outage. No node received it as a change, and no announcement time was ever written. With the
// older version forbidden from the start, the fleet refused 831 requests (event 5000,
// "no replica has the version in force") until replicas had loaded the new version, some 6 s later.
// The transition period counts from the moment at which nodes could receive the version.
BOOST_AUTO_TEST_CASE(VersionAnnouncedDuringAnOutageCountsFromItsEnd) {
  request::FakeTable table{fleet.time};
  fleet.nodes.front()->service.refused = true;
  announce("2");
  StartedNode started(fleet, table);
  fleet.time.advance(seconds(3));
  fleet.nodes.front()->service.refused = false;
  const auto deadline = fleet.time.now() + seconds(8);
  fleet.time.advance(seconds(3));
  const auto& targets = started.targets;
  BOOST_REQUIRE(targets.newest(kModel) == 2U);
  BOOST_TEST(targets.oldestAllowed(kModel, fleet.time.now()) == 0U);
  BOOST_TEST((targets.startDeadline(kModel, 1) <= deadline));
  // The announcement time is stored for nodes that start later.
  BOOST_TEST(!table.commits.empty());
}

BOOST_AUTO_TEST_CASE(TimeWrittenBeforeTheOutagePrevails) {
  request::FakeTable table{fleet.time};
  AnnouncementTimeStore observer{table, fleet.time, fleet.time,
                                 [this] { return nodes.back()->watch.serviceTime(); }};
  const auto deadline = announce("2");
  observer.write(std::string{kModel}, 2);
  fleet.time.advance(milliseconds(100));
  fleet.nodes.front()->service.refused = true;
  StartedNode started(fleet, table);
  fleet.time.advance(seconds(3));
  fleet.nodes.front()->service.refused = false;
  fleet.time.advance(seconds(3));
  BOOST_REQUIRE(started.targets.newest(kModel) == 2U);
  BOOST_TEST((started.targets.startDeadline(kModel, 1) <= deadline));
}

// The service refused the calls of some nodes and served others, which received the version in time
// and wrote its announcement time. A refused node received the version (event 3008) at 6.581 s
// with age_at_most_ms="1658", took the time from its own failed calls, and was 2.9 s late.
BOOST_AUTO_TEST_CASE(TimeWrittenByObserversPrevailsOverTheOwnOutage) {
  request::FakeTable table{fleet.time};
  AnnouncementTimeStore observer{table, fleet.time, fleet.time,
                                 [this] { return nodes.back()->watch.serviceTime(); }};
  StartedNode running(fleet, table);
  fleet.time.advance(seconds(30));
  BOOST_REQUIRE(running.targets.newest(kModel) == 1U);
  fleet.nodes.front()->service.refused = true;
  fleet.time.advance(seconds(1));
  const auto deadline = announce("2");
  observer.write(std::string{kModel}, 2);
  fleet.time.advance(seconds(4));
  fleet.nodes.front()->service.refused = false;
  fleet.time.advance(seconds(3));
  BOOST_REQUIRE(running.targets.newest(kModel) == 2U);
  BOOST_TEST((running.targets.startDeadline(kModel, 1) <= deadline));
}

// After an outage, nodes received a version from others and had only their confirmations from
// before the outage to determine its announcement time.
BOOST_AUTO_TEST_CASE(NodeInformedLateUsesTheStoredTime) {
  request::FakeTable table{fleet.time};
  const auto serviceTime = [this] { return nodes.back()->watch.serviceTime(); };
  AnnouncementTimeStore recoveredFirst{table, fleet.time, fleet.time, serviceTime};
  PausedFeed feed;
  WeightsReader reader;
  test_support::RecordingLog log;
  routing::WeightsTargets targets{{seconds(8), milliseconds(1200)}};
  AnnouncementTimeStore store{table, fleet.time, fleet.time, serviceTime};
  AnnouncementTimeResolver resolver(fleet.time, log, targets, store);
  const config::StoreEras eras{fleet.time, log};
  RouteConfiguration configuration(reader, fleet.time, log, targets, eras);
  configuration.setWeightsListener(
      [&resolver](const AnnouncedWeights& weights, const AnnouncementTime& announcement) {
        resolver.onVersionAnnounced(weights, announcement);
      });
  base::SeededRandom random{1};
  config::TableWatch watch({"t"}, fleet.time, fleet.time, random, feed, configuration);
  configuration.setWatch(watch);
  watch.start();
  feed.answer({clients::FeedStatus::kOk, {{kWeightsRow, "1", 3}}, 5});
  fleet.time.advance(seconds(30));
  feed.answer({clients::FeedStatus::kOk, {}, 5});
  fleet.time.advance(seconds(5));
  recoveredFirst.write(std::string{kModel}, 2, milliseconds(300));
  const auto deadline = fleet.time.now() + seconds(8);
  fleet.time.advance(milliseconds(50));
  feed.answer({clients::FeedStatus::kOk, {{kWeightsRow, "2", 9}}, 9});
  fleet.time.advance(milliseconds(50));
  BOOST_REQUIRE(targets.newest(kModel) == 2U);
  BOOST_TEST((targets.startDeadline(kModel, 1) <= deadline));
  BOOST_TEST((targets.startDeadline(kModel, 1) > deadline - seconds(1)));
}

// A node that had used the replies of other nodes since an outage queried the service again, and
// determined the announcement time of a version from that old outage, so that the version was
// required at once.
BOOST_AUTO_TEST_CASE(EarlierOutageDoesNotAffectALaterVersion) {
  request::FakeTable table{fleet.time};
  StartedNode running(fleet, table);
  fleet.time.advance(seconds(30));
  const auto now = fleet.time.now();
  const AnnouncedWeights weights{std::string{kModel}, 2};
  running.targets.onNamed(weights.model, weights.version, now, true);
  running.resolver.onVersionAnnounced(weights, {now, now - seconds(60), true});
  fleet.time.advance(milliseconds(100));
  BOOST_TEST(running.targets.oldestAllowed(kModel, now + seconds(6)) == 1U);
}

// An unresponsive connection does not show that the service is unreachable.
BOOST_AUTO_TEST_CASE(OneFailedCallIsNotAnOutage) {
  request::FakeTable table{fleet.time};
  fleet.nodes.front()->service.refuseNext = 1;
  announce("2");
  StartedNode started(fleet, table);
  fleet.time.advance(seconds(4));
  BOOST_REQUIRE(started.targets.newest(kModel) == 2U);
  BOOST_TEST(started.targets.oldestAllowed(kModel, fleet.time.now()) == 2U);
}

BOOST_AUTO_TEST_CASE(NodeWithoutFeedHistoryUsesItsLastConfirmation) {
  PausedFeed feed;
  WeightsReader reader;
  test_support::RecordingLog log;
  routing::WeightsTargets targets{{seconds(8), milliseconds(1000)}};
  const config::StoreEras eras{fleet.time, log};
  RouteConfiguration configuration(reader, fleet.time, log, targets, eras);
  base::SeededRandom random{1};
  config::TableWatch watch({"t"}, fleet.time, fleet.time, random, feed, configuration);
  watch.start();
  feed.answer({clients::FeedStatus::kOk, {{kWeightsRow, "1", 3}}, 5});
  const auto confirmedAt = fleet.time.now();
  fleet.time.advance(seconds(3));
  feed.answer({clients::FeedStatus::kHistoryGone, {}, 0});
  feed.answer({clients::FeedStatus::kOk, {{kWeightsRow, "2", 9}}, 9});
  BOOST_TEST((targets.startDeadline(kModel, 1) <= confirmedAt + seconds(8)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::node
