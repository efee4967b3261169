// How nodes find out by which software version a stream was begun, while messages are lost and
// nodes end, start anew or are cut off.
#include "routing/stream_origins.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>

#include "base/random.h"
#include "routing/delayed_network.h"
#include "routing/fakes.h"
#include "routing/listed_versions.h"
#include "support/recording_log.h"
#include "support/virtual_time.h"

namespace covewing::routing {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::DelayedLink;
using testing::DelayedNetwork;
using testing::FakeMembers;
using testing::makeMember;

namespace {

constexpr std::size_t kNodes = 6;
constexpr int kStreams = 60;
const std::string kService = "llm";
constexpr base::Duration kAge = seconds(8);

struct OriginNode {
  OriginNode(test_support::VirtualTime& time, test_support::RecordingLog& log,
             DelayedNetwork& network, const std::vector<membership::Member>& ownFirst,
             const std::optional<std::string>& recorded,
             std::map<std::uint64_t, StreamOrigin>& stored)
      : members(ownFirst),
        random(ownFirst.front().id.value),
        link(network, {members.self().id, 1, members.self().endpoint}),
        origins({}, {time, time, random, log, link, members, listed.versions,
                     [&recorded](const std::string& /*service*/, base::Duration /*age*/,
                                 const auto& found) { found(recorded); },
                     [&stored](StreamId stream, const StreamOrigin& origin,
                               base::Duration /*keepFor*/) { stored[stream.value] = origin; },
                     [&stored](StreamId stream, const auto& found) {
                       const auto known = stored.find(stream.value);
                       found(known == stored.end() ? std::nullopt : std::optional{known->second});
                     }}) {
    network.attach(members.self().endpoint.address,
                   [this](const base::PeerIdentity& sender, std::string_view payload) {
                     origins.onPeerMessage(sender, payload);
                   });
  }

  FakeMembers members;
  base::SeededRandom random;
  DelayedLink link;
  testing::ListedVersions listed{kService};
  StreamOrigins origins;
};

struct OriginFixture {
  OriginFixture() {
    time.advance(seconds(100));
    for (std::size_t number = 0; number < kNodes; ++number)
      all.push_back(makeMember("node-" + std::to_string(number), "z"));
    for (std::size_t number = 0; number < kNodes; ++number) start(number);
  }

  /// Starts the node, or restarts it with empty state.
  void start(std::size_t number) {
    auto ownFirst = all;
    std::swap(ownFirst.front(), ownFirst[number]);
    nodes[number] = std::make_unique<OriginNode>(time, log, network, ownFirst, recorded, stored);
  }
  /// The node ends; the others still take it for alive.
  void stop(std::size_t number) {
    network.detach(all[number].endpoint.address);
    nodes.erase(number);
  }
  /// All nodes list replicas of these versions and have just confirmed the list.
  void list(const std::vector<std::string>& versions) {
    for (auto& [number, node] : nodes) {
      for (const auto& version : versions) node->listed.add(version);
      node->listed.versions.onCurrent(time.now());
    }
  }
  /// Time passes while all lists are confirmed.
  void pass(base::Duration span) {
    time.advance(span);
    for (auto& [number, node] : nodes) node->listed.versions.onCurrent(time.now());
  }

  void report(std::size_t node, const std::string& request, const std::string& version,
              std::uint32_t dispatch = 1) {
    nodes.at(node)->origins.report(streamIdOf(request), {kService, version, dispatch}, seconds(6));
    time.advance(milliseconds(2));
  }
  /// The version that the node finds; "unknown" if it finds none.
  std::string find(std::size_t node, const std::string& request,
                   const std::string& service = kService) {
    std::optional<std::string> result;
    const auto startedAt = time.now();
    nodes.at(node)->origins.find(streamIdOf(request), service, kAge, [&](const auto& found) {
      BOOST_TEST(!result.has_value());
      result = found ? found->softwareVersion : "unknown";
      elapsed = time.now() - startedAt;
    });
    time.advance(StreamOriginOptions{}.timeout + milliseconds(10));
    BOOST_REQUIRE(result.has_value());
    return *result;
  }

  test_support::VirtualTime time;
  test_support::RecordingLog log;
  DelayedNetwork network{time, 1};
  std::vector<membership::Member> all;
  std::map<std::size_t, std::unique_ptr<OriginNode>> nodes;
  base::Duration elapsed{};
  /// The only version by the record in the table service.
  std::optional<std::string> recorded;
  /// What nodes have stored of streams, by stream.
  std::map<std::uint64_t, StreamOrigin> stored;
};

std::string requestNumber(int number) { return "request-" + std::to_string(number); }

}  // namespace

BOOST_FIXTURE_TEST_SUITE(StreamOriginsTest, OriginFixture)

BOOST_AUTO_TEST_CASE(VersionIsFoundByEveryNodeInOneRoundTrip) {
  list({"v1", "v2"});
  report(0, "a", "v2");
  for (std::size_t node = 0; node < kNodes; ++node) {
    BOOST_TEST(find(node, "a") == "v2");
    BOOST_TEST((elapsed <= milliseconds(2)));
  }
}

BOOST_AUTO_TEST_CASE(VersionIsFoundAfterTheEndOfAnyOneNode) {
  list({"v1", "v2"});
  for (std::size_t ended = 0; ended < kNodes; ++ended) {
    for (int number = 0; number < kStreams; ++number)
      report(static_cast<std::size_t>(number) % kNodes, requestNumber(number), "v1");
    stop(ended);
    for (int number = 0; number < kStreams; ++number) {
      const auto node = (ended + 1 + static_cast<std::size_t>(number)) % kNodes;
      if (node != ended) BOOST_TEST(find(node, requestNumber(number)) == "v1");
    }
    start(ended);
  }
}

// A retry before the first event may go to another version; the caller has no event of the first.
BOOST_AUTO_TEST_CASE(LastDispatchOfAnAttemptCountsWhateverArrivesLast) {
  list({"v1", "v2"});
  for (int number = 0; number < kStreams; ++number) {
    const auto request = requestNumber(number);
    const auto sender = static_cast<std::size_t>(number) % kNodes;
    report(sender, request, "v2", 2);
    report(sender, request, "v1", 1);
    for (std::size_t node = 0; node < kNodes; ++node) BOOST_TEST(find(node, request) == "v2");
  }
}

BOOST_AUTO_TEST_CASE(StreamWithoutARecordIsUnknownWhereReplicasHaveTwoVersions) {
  list({"v1", "v2"});
  pass(seconds(20));
  BOOST_TEST(find(0, "a") == "unknown");
}

BOOST_AUTO_TEST_CASE(StreamWithoutARecordHasTheVersionThatAllReplicasHave) {
  list({"v1"});
  pass(seconds(20));
  BOOST_TEST(find(0, "a") == "v1");
}

// A route that is split leads to several services, whose versions may have the same name.
BOOST_AUTO_TEST_CASE(StreamThatSeveralServicesMayHaveBegunIsUnknownWithoutARecord) {
  list({"v1"});
  pass(seconds(20));
  BOOST_TEST(find(0, "a", "") == "unknown");
}

// Guards against "now" for "when the stream was begun": the other version was replaced meanwhile.
BOOST_AUTO_TEST_CASE(StreamThatMayHaveBeenBegunByAReplacedVersionIsUnknown) {
  list({"v1", "v2"});
  pass(seconds(20));
  for (auto& [number, node] : nodes) node->listed.remove("v1", time.now());
  pass(seconds(2));
  BOOST_TEST(find(0, "a") == "unknown");
  pass(kAge);
  BOOST_TEST(find(0, "a") == "v2");
}

BOOST_AUTO_TEST_CASE(NodeThatHasJustStartedReliesOnTheListsOfOthers) {
  list({"v1"});
  pass(seconds(20));
  start(0);
  nodes.at(0)->listed.add("v1");
  nodes.at(0)->listed.versions.onCurrent(time.now());
  BOOST_TEST(find(0, "a") == "v1");
}

// Guards against a stream that goes on at another version because one node has not seen the version
// that began it come and go, and believes to know the list for longer than those that have.
BOOST_AUTO_TEST_CASE(NodeThatHasMissedAVersionDoesNotProveThatThereWasNone) {
  list({"v1"});
  pass(seconds(20));
  for (auto& [number, node] : nodes) {
    if (number == 0) continue;
    node->listed.add("v2");
    node->listed.remove("v2", time.now());
  }
  pass(seconds(1));
  // Asked by those that have seen it, and by the one that has not.
  for (int number = 0; number < kStreams; ++number) {
    BOOST_TEST(find(0, requestNumber(number)) == "unknown");
    BOOST_TEST(find(1, requestNumber(number)) == "unknown");
  }
  pass(kAge);
  BOOST_TEST(find(0, "a") == "v1");
}

// Guards against the same at a node that is cut off from all others for so long that it takes them
// for dead: nobody confirms its list.
BOOST_AUTO_TEST_CASE(NodeThatHasLostAllOthersDoesNotRelyOnItsListAlone) {
  list({"v1"});
  pass(seconds(20));
  auto& members = nodes.at(0)->members;
  members.set({all[0]});
  BOOST_TEST(find(0, "a") == "v1");
  members.lost = kNodes - 1;
  BOOST_TEST(find(0, "a") == "unknown");
  recorded = "v1";
  BOOST_TEST(find(0, "a") == "unknown");
}

// All lists are new, so that none shows what was there when the stream was begun.
BOOST_AUTO_TEST_CASE(StreamIsUnknownAfterTheStartOfAllNodes) {
  list({"v1"});
  BOOST_TEST(find(0, "a") == "unknown");
}

// Guards against a start of all nodes at once that ends every stream that is taken up.
BOOST_AUTO_TEST_CASE(RecordOfTheTableServiceProvesTheVersionAfterTheStartOfAllNodes) {
  list({"v1"});
  recorded = "v1";
  BOOST_TEST(find(0, "a") == "v1");
  recorded = "v2";
  BOOST_TEST(find(0, "a") == "unknown");
  recorded.reset();
  BOOST_TEST(find(0, "a") == "unknown");
}

// Guards against a start of all nodes at once that ends every stream of a service with replicas of
// several versions.
BOOST_AUTO_TEST_CASE(StoredRecordNamesTheVersionAfterTheStartOfAllNodes) {
  list({"v1", "v2"});
  report(0, "a", "v1");
  nodes.at(0)->origins.onFirstEvent(streamIdOf("a"), {kService, "v2", 2}, seconds(6));
  for (std::size_t number = 0; number < kNodes; ++number) {
    stop(number);
    start(number);
  }
  list({"v1", "v2"});
  BOOST_TEST(find(3, "a") == "v2");
  BOOST_TEST(find(3, "b") == "unknown");
}

// Guards against a version by which the only one that is listed now is taken for the one that began
// the stream: the record of the stream itself counts.
BOOST_AUTO_TEST_CASE(StoredRecordGoesBeforeTheVersionsThatTheServiceHasHad) {
  list({"v2"});
  recorded = "v2";
  nodes.at(0)->origins.onFirstEvent(streamIdOf("a"), {kService, "v1", 1}, seconds(6));
  BOOST_TEST(find(3, "a") == "v1");
}

BOOST_AUTO_TEST_CASE(NodeThatReachesNoHomeKnowsOnlyItsOwnStreams) {
  list({"v1"});
  pass(seconds(20));
  report(0, "own", "v1");
  report(1, "other", "v1");
  network.cut.insert(all[0].endpoint.address);
  BOOST_TEST(find(0, "own") == "v1");
  // A replica of another version may have begun it that this node's list does not show yet.
  int unknown = 0;
  for (int number = 0; number < kStreams; ++number)
    unknown += find(0, requestNumber(number)) == "unknown" ? 1 : 0;
  BOOST_TEST(unknown == kStreams);
  BOOST_TEST((elapsed <= StreamOriginOptions{}.timeout));
}

BOOST_AUTO_TEST_CASE(ListThatWasNotConfirmedLatelyProvesNothing) {
  list({"v1"});
  pass(seconds(20));
  time.advance(seconds(5));
  BOOST_TEST(find(0, "a") == "unknown");
}

BOOST_AUTO_TEST_CASE(RecordsAreDiscardedAfterTheTimeOfTheirStreamsAndBeyondTheMaximum) {
  list({"v1", "v2"});
  report(0, "a", "v1");
  time.advance(seconds(12));
  BOOST_TEST(find(1, "a") == "unknown");
  const auto maximum = StreamOriginOptions{}.maximumRecords;
  for (std::size_t number = 0; number <= maximum; ++number)
    nodes.at(0)->origins.report(streamIdOf(std::to_string(number)), {kService, "v1", 1},
                                seconds(6));
  BOOST_TEST(nodes.at(0)->origins.size() == maximum);
}

BOOST_AUTO_TEST_CASE(MalformedMessageIsLoggedAndIgnored) {
  nodes.at(0)->origins.onPeerMessage({}, "\x91\x09");
  BOOST_TEST(log.count(base::Event::kMessageRejected) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::routing
