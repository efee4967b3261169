// Nodes that share the feeds of the table service: who calls it, what the others learn and how
// fresh they may believe themselves, while nodes and the service fail.
#include "config/shared_feed.h"

#include <boost/test/unit_test.hpp>

#include "base/codec.h"
#include "config/feed_fleet.h"

namespace covewing::config {

using clients::FeedReply;
using feed_fleet::Fleet;
using feed_fleet::kDelay;
using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(SharedFeedTest)

BOOST_AUTO_TEST_CASE(OnlyTheReadersOfTheFleetCallTheService) {
  Fleet fleet(20, 5);
  BOOST_TEST(fleet.of(true).size() == 10U);
  const auto readers = fleet.with({FeedWatchers::Role::kReader});
  BOOST_REQUIRE(readers.size() == 2U);
  BOOST_TEST(readers[0]->directory.self().zone != readers[1]->directory.self().zone);
  for (const auto& node : fleet.nodes) node->service.calls = 0;
  fleet.time.advance(seconds(20));
  for (const auto& node : fleet.nodes) {
    const bool reader = std::ranges::find(readers, node.get()) != readers.end();
    BOOST_TEST((node->service.calls > 0) == reader);
  }
}

BOOST_AUTO_TEST_CASE(CallsToTheServiceDoNotGrowWithTheFleet) {
  const auto callsOf = [](std::size_t nodesOfAZone, std::size_t zones) {
    Fleet fleet(nodesOfAZone, zones);
    fleet.service.calls = 0;
    fleet.time.advance(seconds(20));
    return fleet.service.calls;
  };
  BOOST_TEST(callsOf(40, 5) <= callsOf(4, 2) + 2);
}

BOOST_AUTO_TEST_CASE(ProofStaysYoungAcrossTheTiers) {
  Fleet fleet(20, 5);
  for (int step = 0; step < 100; ++step) {
    fleet.time.advance(milliseconds(100));
    for (const auto& node : fleet.nodes) BOOST_TEST((fleet.ageOf(*node) < milliseconds(1300)));
  }
}

BOOST_AUTO_TEST_CASE(ChangeCrossesTheTiersAtOnce) {
  Fleet fleet(20, 5);
  fleet.service.put("a", "2");
  fleet.time.advance(milliseconds(20));
  for (const auto& node : fleet.nodes) BOOST_TEST(node->listener.rows["a"] == "2");
}

BOOST_AUTO_TEST_CASE(ZoneWhoseReadersAreSilentAsksTheService) {
  Fleet fleet(6, 3);
  const auto readers = fleet.with({FeedWatchers::Role::kReader});
  for (auto* reader : readers) reader->silent = true;
  fleet.service.put("a", "2");
  fleet.time.advance(milliseconds(1800));
  for (const auto& node : fleet.nodes) {
    if (!node->silent) BOOST_TEST(node->listener.rows["a"] == "2");
  }
  fleet.time.advance(seconds(10));
  for (const auto& node : fleet.nodes) {
    if (!node->silent) BOOST_TEST((fleet.ageOf(*node) < seconds(2)));
  }
}

BOOST_AUTO_TEST_CASE(NodesThatStartTogetherReadTheServiceOnce) {
  // With the whole membership known from the start, followers and watchers wait for the first copy
  // of the node that they ask.
  Fleet fleet(40, 5);
  int wholeReads = 0;
  for (const auto& node : fleet.nodes) wholeReads += node->service.wholeReads;
  BOOST_TEST(wholeReads <= 4);
}

// Copies of 3,000 replicas for all nodes of a zone at once crowded the watchers' links: nobody
// served for 30 s.
BOOST_AUTO_TEST_CASE(NodeSendsNoMoreWholeCopiesThanItsLinkBears) {
  Fleet fleet(2);
  fleet.service.put("large", std::string(300'000, 'x'));
  fleet.time.advance(seconds(2));
  auto& node = *fleet.nodes.front();
  struct Counter final : base::PeerTransport {
    void send(const base::Endpoint& /*destination*/, base::Channel /*channel*/,
              std::string payload) override {
      const auto answer = std::get<FeedAnswer>(*decodeFeedMessage(payload));
      ++(answer.unable ? declined : told);
    }
    int told = 0;
    int declined = 0;
  } counter;
  SharedFeed watcher({}, {fleet.time, fleet.time, node.random, node.log, counter, node.directory,
                          node.service, node.eras});
  watcher.readAll("t", [](const FeedReply& /*reply*/) {});
  fleet.time.advance(milliseconds(50));
  for (std::uint64_t nonce = 1; nonce <= 50; ++nonce)
    watcher.onPeerMessage({}, encodeFeedMessage(FeedQuestion{nonce, "t", 0, seconds(1), true}));
  BOOST_TEST(counter.told == 4);
  BOOST_TEST(counter.declined == 46);
  fleet.time.advance(seconds(1));
  watcher.onPeerMessage({}, encodeFeedMessage(FeedQuestion{99, "t", 0, seconds(1), true}));
  BOOST_TEST(counter.told == 5);
}

BOOST_AUTO_TEST_CASE(NodeThatMayYetJoinWaitsForItShortly) {
  Fleet fleet(1);
  SharedFeedOptions options;
  options.joinPatience = milliseconds(300);
  auto& node = *fleet.nodes.front();
  node.service.calls = 0;
  SharedFeed fresh(options, {fleet.time, fleet.time, node.random, node.log, node.wire,
                             node.directory, node.service, node.eras});
  bool answered = false;
  fresh.readAll("t", [&](const FeedReply& /*reply*/) { answered = true; });
  fleet.time.advance(milliseconds(250));
  BOOST_TEST(!answered);
  fleet.time.advance(milliseconds(100));
  BOOST_TEST(answered);
}

BOOST_AUTO_TEST_CASE(ChangeReachesEveryNodeAtOnce) {
  Fleet fleet(20);
  fleet.service.put("a", "2");
  fleet.time.advance(milliseconds(20));
  for (const auto& node : fleet.nodes) BOOST_TEST(node->listener.rows["a"] == "2");
}

BOOST_AUTO_TEST_CASE(ProofStaysYoungAtEveryNode) {
  Fleet fleet(20);
  for (int step = 0; step < 100; ++step) {
    fleet.time.advance(milliseconds(100));
    for (const auto& node : fleet.nodes) BOOST_TEST((fleet.ageOf(*node) < milliseconds(1700)));
  }
}

BOOST_AUTO_TEST_CASE(ProofIsNeverYoungerThanThatOfTheNodeAsked) {
  Fleet fleet(5);
  for (const auto& node : fleet.nodes) node->service.refused = true;
  // The service still answers the calls that it holds.
  const auto refusedSince = fleet.time.now();
  fleet.time.advance(seconds(30));
  for (const auto& node : fleet.nodes)
    BOOST_TEST((*node->watch.confirmedAt() <= refusedSince + TableWatchOptions{}.wait + kDelay));
}

BOOST_AUTO_TEST_CASE(NodeThatTheServiceRefusesLearnsFromOthers) {
  Fleet fleet(5);
  auto* refused = fleet.of(true).front();
  refused->service.refused = true;
  fleet.time.advance(seconds(5));
  fleet.service.put("a", "2");
  fleet.time.advance(seconds(1));
  BOOST_TEST(refused->listener.rows["a"] == "2");
  BOOST_TEST((fleet.ageOf(*refused) < seconds(2)));
  BOOST_TEST(refused->listener.failures == 0);
}

BOOST_AUTO_TEST_CASE(NodeWhoseWatchersAreSilentAsksTheService) {
  Fleet fleet(6);
  for (auto* watcher : fleet.of(true)) watcher->silent = true;
  fleet.service.put("a", "2");
  fleet.time.advance(milliseconds(1500));
  for (auto* node : fleet.of(false)) {
    BOOST_TEST(node->listener.rows["a"] == "2");
    BOOST_TEST(node->listener.failures == 0);
  }
  fleet.time.advance(seconds(10));
  for (auto* node : fleet.of(false)) BOOST_TEST((fleet.ageOf(*node) < seconds(2)));
}

BOOST_AUTO_TEST_CASE(NodeWhoseWatchersAreRefusedAsksTheService) {
  Fleet fleet(6);
  for (auto* watcher : fleet.of(true)) watcher->service.refused = true;
  fleet.time.advance(seconds(5));
  fleet.service.put("a", "2");
  fleet.time.advance(seconds(2));
  for (const auto& node : fleet.nodes) BOOST_TEST(node->listener.rows["a"] == "2");
}

BOOST_AUTO_TEST_CASE(NodeAloneReadsFromTheService) {
  Fleet fleet(1);
  fleet.service.put("a", "2");
  fleet.time.advance(milliseconds(20));
  BOOST_TEST(fleet.nodes.front()->listener.rows["a"] == "2");
}

BOOST_AUTO_TEST_CASE(NodeThatWasNeverServedTellsNothing) {
  Fleet fleet(2);
  FeedAnswer answer;
  struct Catcher final : base::PeerTransport {
    void send(const base::Endpoint& /*destination*/, base::Channel /*channel*/,
              std::string payload) override {
      answer = std::get<FeedAnswer>(*decodeFeedMessage(payload));
    }
    FeedAnswer answer;
  } catcher;
  auto& node = *fleet.nodes.front();
  SharedFeed fresh({}, {fleet.time, fleet.time, node.random, node.log, catcher, node.directory,
                        node.service, node.eras});
  fresh.onPeerMessage({}, encodeFeedMessage(FeedQuestion{7, "t", 1, seconds(1), false}));
  BOOST_TEST(catcher.answer.nonce == 7U);
  BOOST_TEST(catcher.answer.unable);
}

BOOST_AUTO_TEST_CASE(MalformedMessagesAreIgnored) {
  Fleet fleet(2);
  auto& node = *fleet.nodes.front();
  for (const std::string_view payload : {"", "\xc1", "\x93\x01", "\x91\x09", "text"})
    node.feed.onPeerMessage({}, payload);
  BOOST_TEST(!decodeFeedMessage("\x91\x09").has_value());
  fleet.service.put("a", "2");
  fleet.time.advance(milliseconds(20));
  BOOST_TEST(node.listener.rows["a"] == "2");
}

// While nodes are replaced one by one, two releases ask each other.
BOOST_AUTO_TEST_CASE(AnswersOfTheReleaseBeforeAreUnderstood) {
  base::Writer writer;
  writer.array(8).unsignedInteger(2).unsignedInteger(9).boolean(false).array(1);
  writer.array(4).text("a").boolean(true).binary("x").unsignedInteger(4);
  writer.unsignedInteger(6).signedInteger(3000).signedInteger(70000).signedInteger(-1);
  const auto decoded = decodeFeedMessage(writer.take());
  BOOST_REQUIRE(decoded.has_value());
  const auto& answer = std::get<FeedAnswer>(*decoded);
  BOOST_TEST(answer.nonce == 9U);
  BOOST_TEST(answer.rows.size() == 1U);
  BOOST_TEST((answer.age == milliseconds(70)));
  BOOST_TEST(answer.changedAgo.empty());
}

BOOST_AUTO_TEST_CASE(MessagesSurviveTheirEncoding) {
  FeedAnswer answer;
  answer.nonce = 9;
  answer.rows = {{"a", std::string("\0x", 2), 4}, {"b", std::nullopt, 5}};
  answer.revision = 6;
  answer.held = milliseconds(3);
  answer.age = milliseconds(70);
  answer.changedAgo = {std::nullopt, milliseconds(400)};
  answer.serviceTime = seconds(12);
  const auto decoded = decodeFeedMessage(encodeFeedMessage(answer));
  BOOST_REQUIRE(decoded.has_value());
  const auto& again = std::get<FeedAnswer>(*decoded);
  BOOST_TEST(again.nonce == 9U);
  BOOST_REQUIRE(again.rows.size() == 2U);
  BOOST_TEST(again.rows[0].value.value() == std::string("\0x", 2));
  BOOST_TEST(!again.rows[1].value.has_value());
  BOOST_TEST(again.rows[1].revision == 5U);
  BOOST_TEST(again.revision == 6U);
  BOOST_TEST((again.held == milliseconds(3) && again.age == milliseconds(70)));
  BOOST_TEST((again.serviceTime == base::Duration{seconds(12)}));
  BOOST_REQUIRE(again.changedAgo.size() == 2U);
  BOOST_TEST(!again.changedAgo[0].has_value());
  BOOST_TEST((again.changedAgo[1] == base::Duration{milliseconds(400)}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::config
