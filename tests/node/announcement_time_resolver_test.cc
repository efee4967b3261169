// A request began on older weights 71 ms after the last moment at which it might. The node that had
// sent it gave the older version its whole time from when it heard of the newer one, not from when
// that was named. Nodes that read the feeds for the others had been killed at that moment, and the
// others found another way to the feed only after a second:
//
//     2.020 s  node 4  event=3008 name=WeightsNamed version="2" from="feed"
//     3.070 s  node 2  event=3008 name=WeightsNamed version="2" from="feed"
//
// Node 2, which had run all the time, went on sending to replicas of version 1 until 9.87 s, where
// node 4 stopped at 8.82 s. Who learns of a version as a change did not ask when it had been named.
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

/// Rows "weights/m" hold the version named for the model.
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

/// What one node makes of the versions that its feed tells.
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

/// A node that has just started and reaches no other one.
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

/// A feed that answers when the test says so.
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
  /// Names the version; gives the last moment at which a request may begin on an older one.
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

// What is allowed for what a node may learn late is lost to the older version: not much of its
// time.
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

// What others know of version 3 tells nothing of version 2, which this node never saw.
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

// The newest version tells nothing of one that was named shortly before it, which may be in force.
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

// All nodes were killed while the table service could not be reached, and a version was named
// meanwhile: no node had seen it come, and no date was ever written. With the older version
// forbidden from the start on nothing could be served until replicas were changed (some 6 s):
//
//     event=5000 name=RequestRefused why="no replica has the version in force"   (831 requests)
//
// Its time counts from when nodes could learn of it.
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
  // Nodes that start later find the date.
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

// The service turned some nodes away and served others: these saw the version come and wrote its
// date. One that was turned away dated it by its own failed calls, 2.9 s late:
//
//     6.581 s  event=3008 name=WeightsNamed version="2" from="feed" age_at_most_ms="1658"
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

// After an outage nodes were told of a version by others and knew only their proofs from before it.
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

// A node that had lived on the answers of others since an outage asked the service again, and dated
// a version of that moment by the outage: it counted as in force at once.
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

// A connection that had gone silent proves nothing of the service.
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
