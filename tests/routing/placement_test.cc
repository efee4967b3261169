// Homes of replicas: what they grant, how a request finds a replica with capacity, and the effects
// of lost messages, dead homes and differing membership views.
#include "routing/placement.h"

#include <boost/test/unit_test.hpp>
#include <map>

#include "routing/placement_fixture.h"

namespace covewing::routing {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::kNodes;
using testing::kReplicas;
using testing::kSlots;
using testing::PlacementFixture;

BOOST_FIXTURE_TEST_SUITE(PlacementTest, PlacementFixture)

BOOST_AUTO_TEST_CASE(HomesAreInTheZoneOfTheReplica) {
  for (std::size_t replica = 0; replica < kReplicas; ++replica)
    BOOST_TEST(all[homeOf(replica)].zone == record(0, replica)->facts().zone);
}

BOOST_AUTO_TEST_CASE(IdleFirstCandidateIsGrantedInOneRoundTrip) {
  for (std::size_t node = 0; node < kNodes; ++node) {
    const auto result = place(node, {node, 7});
    BOOST_TEST(result.candidate.value() == 0U);
    BOOST_TEST(result.queriesSent == 1U);
    BOOST_TEST((elapsed <= milliseconds(2)));
    nodes[node]->placement.reportEnded(*result.grant, PlacementOutcome::kServed);
  }
}

BOOST_AUTO_TEST_CASE(WorkOfAllNodesIsCounted) {
  // Each node sends one or two requests. Together they use all slots of the replicas, plus one
  // request per replica that starts there as soon as another one ends.
  constexpr std::size_t kMaximum = 2 * (kSlots + 1);
  std::map<std::size_t, std::size_t> placed;
  std::vector<std::pair<std::size_t, PlacementGrant>> grants;
  for (std::size_t count = 0; count < kMaximum; ++count) {
    const auto node = count % kNodes;
    const auto result = place(node, {3, 5});
    BOOST_REQUIRE(result.candidate.has_value());
    ++placed[*result.candidate];
    nodes[node]->placement.reportStarted(*result.grant);
    grants.emplace_back(node, *result.grant);
  }
  BOOST_TEST(placed[0] == kMaximum / 2);
  BOOST_TEST(placed[1] == kMaximum / 2);
  const auto waiting = startPlacing(0, requestOf(0, {3, 5}));
  time.advance(milliseconds(120));
  BOOST_TEST(!waiting->result.has_value());
  for (const auto& [node, grant] : grants)
    nodes[node]->placement.reportEnded(grant, PlacementOutcome::kServed);
  time.advance(milliseconds(5));
  BOOST_REQUIRE(waiting->granted());
  nodes[0]->placement.reportStarted(*waiting->result->grant);
  time.advance(milliseconds(5));
  BOOST_TEST(place(0, {3, 5}).candidate.value() == 0U);
}

BOOST_AUTO_TEST_CASE(PendingPrefillsCountUntilTheResponseStarts) {
  const auto first = place(0, {3});
  auto second = place(1, {3, 5});
  BOOST_TEST(second.candidate.value() == 1U);
  nodes[0]->placement.reportStarted(*first.grant);
  time.advance(milliseconds(5));
  BOOST_TEST(place(2, {3, 5}).candidate.value() == 0U);
}

BOOST_AUTO_TEST_CASE(ShortestWaitIsSelectedWhenNoneIsAcceptable) {
  place(0, {3});
  place(0, {3});
  place(1, {5});
  const auto result = place(2, {3, 5});
  BOOST_TEST(result.candidate.value() == 1U);
  BOOST_TEST((result.wait > milliseconds(40)));
  // The home counts the request, too.
  BOOST_TEST((place(2, {5}).wait > result.wait));
}

BOOST_AUTO_TEST_CASE(RequestIsQueuedAtTheShortestWaitUntilItIsInTime) {
  place(0, {3});
  place(0, {3});
  const auto ahead = place(1, {5});
  auto request = requestOf(2, {3, 5});
  request.constraints.softStartDeadline = time.now() + milliseconds(45);
  const auto waiting = startPlacing(2, request);
  time.advance(milliseconds(20));
  BOOST_TEST(!waiting->result.has_value());
  nodes[1]->placement.reportStarted(*ahead.grant);
  time.advance(milliseconds(5));
  BOOST_REQUIRE(waiting->granted());
  BOOST_TEST(waiting->result->candidate.value() == 1U);
}

BOOST_AUTO_TEST_CASE(UnresponsiveHomeCausesTimeOutsAndIsThenAvoided) {
  const auto home = homeOf(3);
  stop(home);
  const std::size_t queryingNode = (home + 1) % kNodes;
  const auto other = homeOf(5) == home ? std::size_t{2} : std::size_t{5};
  auto result = place(queryingNode, {3, other});
  BOOST_TEST(result.candidate.value() == 1U);
  BOOST_TEST((elapsed >= milliseconds(25) && elapsed < milliseconds(30)));
  nodes[queryingNode]->placement.reportEnded(*result.grant, PlacementOutcome::kServed);
  result = place(queryingNode, {3, other});
  nodes[queryingNode]->placement.reportEnded(*result.grant, PlacementOutcome::kServed);
  result = place(queryingNode, {3, other});
  BOOST_TEST((elapsed <= milliseconds(2)));
  BOOST_TEST(result.queriesSent == 1U);
  const auto alone = place(queryingNode, {3});
  BOOST_TEST(!alone.candidate.has_value());
  BOOST_TEST(alone.repliesReceived == 0U);
}

BOOST_AUTO_TEST_CASE(RestartedHomeGrantsFromAnEmptyLedger) {
  fill(3);
  const auto waiting = startPlacing(0, requestOf(0, {3}));
  time.advance(milliseconds(20));
  BOOST_TEST(!waiting->result.has_value());
  start(homeOf(3));
  BOOST_TEST(place(0, {3}).candidate.has_value());
}

BOOST_AUTO_TEST_CASE(FailuresReportedByOneNodeEjectTheReplicaForAll) {
  const auto result = place(0, {3});
  nodes[0]->placement.reportEnded(*result.grant, PlacementOutcome::kUnreachable);
  time.advance(milliseconds(5));
  for (std::size_t node = 0; node < 3; ++node)
    BOOST_TEST(place(node, {3, 5 + node}).candidate.value_or(9) == 1U);
  // Afterwards one request at a time probes it for the whole fleet.
  time.advance(seconds(1));
  const auto probe = place(1, {3});
  BOOST_TEST(probe.candidate.has_value());
  BOOST_TEST(!place(2, {3}).candidate.has_value());
  nodes[1]->placement.reportEnded(*probe.grant, PlacementOutcome::kServed);
  time.advance(milliseconds(5));
  BOOST_TEST(place(2, {3}).candidate.has_value());
}

BOOST_AUTO_TEST_CASE(LeavingOrWeightLoadingReplicaIsNotGranted) {
  nodes.at(homeOf(3))->replicas.find("r3")->setLoadingWeights(time.now() + seconds(1));
  BOOST_TEST(!place(0, {3}).candidate.has_value());
  nodes.at(homeOf(5))->replicas.onRemoved("r5");
  BOOST_TEST(!place(0, {5}).candidate.has_value());
}

BOOST_AUTO_TEST_CASE(HomeReportsTokensCachedUnderTheScope) {
  auto request = requestOf(0, {3});
  request.parts = {{11, 300}, {12, 200}};
  const auto first = placeRequest(0, request);
  BOOST_TEST(first.matchedTokens == 0U);
  nodes[0]->placement.reportStarted(*first.grant);
  time.advance(milliseconds(5));
  BOOST_TEST(placeRequest(2, request).matchedTokens == 500U);
  request.candidates.front().scope = 6;
  BOOST_TEST(placeRequest(2, request).matchedTokens == 0U);
}

BOOST_AUTO_TEST_CASE(GrantsOfDeadNodesExpire) {
  fill(3, false);
  const auto waiting = startPlacing(1, requestOf(1, {3}));
  time.advance(milliseconds(20));
  BOOST_TEST(!waiting->granted());
  time.advance(seconds(4));
  BOOST_TEST(place(1, {3}).candidate.has_value());
}

// Random requests under message loss: each gets exactly one result, and when all have ended and
// lost grants have expired, every replica is free again.
BOOST_AUTO_TEST_CASE(EveryQueryEndsOnceUnderLossAndNoGrantRemains) {
  network.loss = 0.2;
  std::size_t started = 0;
  std::size_t concluded = 0;
  std::vector<std::pair<std::size_t, PlacementGrant>> running;
  for (int step = 0; step < 600; ++step) {
    const auto node = network.random.below(kNodes);
    ++started;
    auto& placement = nodes[node]->placement;
    placement.place(
        placement.newTicket(),
        requestOf(node, {network.random.below(kReplicas), network.random.below(kReplicas)}),
        [&, node](const PlacementResult& result) {
          ++concluded;
          if (result.grant) running.emplace_back(node, *result.grant);
        });
    if (running.size() > 5) {
      const auto [owner, grant] = running.front();
      running.erase(running.begin());
      nodes[owner]->placement.reportStarted(grant);
      nodes[owner]->placement.reportEnded(grant, PlacementOutcome::kServed);
    }
    time.advance(milliseconds(7));
  }
  time.advance(seconds(20));
  BOOST_TEST(concluded == started);
  network.loss = 0;
  for (std::size_t replica = 0; replica < kReplicas; ++replica) {
    const auto result = place(0, {replica});
    BOOST_TEST(result.candidate.has_value());
    BOOST_TEST((result.wait == base::Duration::zero()));
  }
}

BOOST_AUTO_TEST_CASE(MessagesPerRequestDoNotGrowWithTheFleet) {
  const auto before = network.sent;
  for (std::size_t node = 0; node < kNodes; ++node) {
    const auto result = place(node, {node, 7});
    nodes[node]->placement.reportStarted(*result.grant);
    nodes[node]->placement.reportEnded(*result.grant, PlacementOutcome::kServed);
  }
  time.advance(milliseconds(5));
  BOOST_TEST(network.sent - before <= 4 * kNodes);
}

BOOST_AUTO_TEST_CASE(MessagesRoundTripAndInvalidOnesAreRejected) {
  PlacementQuery query;
  query.id = 7;
  query.replica = base::EngineId{8};
  query.scope = 9;
  query.parts = {{1, 10}, {2, 20}};
  query.promptTokens = 40;
  query.work = {50, 40, 8, 900};
  query.acceptableWait = milliseconds(80);
  query.terms = {true, 2, 77, milliseconds(1), milliseconds(-2), milliseconds(3), milliseconds(4),
                 58};
  const auto decoded = decodePlacementMessage(encode(query));
  BOOST_REQUIRE(decoded.has_value());
  const auto& again = std::get<PlacementQuery>(*decoded);
  BOOST_TEST(again.id == 7U);
  BOOST_TEST(again.scope == 9U);
  BOOST_TEST(again.parts.size() == 2U);
  BOOST_TEST(again.parts[1].tokens == 20U);
  BOOST_TEST((again.work == query.work));
  BOOST_TEST((again.acceptableWait == query.acceptableWait));
  BOOST_TEST((again.terms == query.terms));
  BOOST_TEST(!decodePlacementMessage("").has_value());
  // An end message without its outcome, and one with an invalid outcome.
  BOOST_TEST(!decodePlacementMessage("\x94\x08\x01\x02\x09").has_value());
  BOOST_TEST(!decodePlacementMessage("\x98\x08\x01\x02\x09\x00\x00\x00\x00").has_value());
  nodes[0]->placement.onPeerMessage({}, "nonsense");
  BOOST_TEST(log.count(base::Event::kMessageRejected) == 1U);
}

BOOST_AUTO_TEST_CASE(RepliesAndEndMessagesRoundTrip) {
  PlacementReply reply;
  reply.id = 7;
  reply.replica = base::EngineId{8};
  reply.verdict = PlacementVerdict::kQueued;
  reply.queued = 12;
  reply.nextUpdateWithin = milliseconds(400);
  reply.retryAfter = milliseconds(900);
  reply.meetsPauseBounds = false;
  reply.speedPercent = 160;
  const auto decoded = decodePlacementMessage(encode(reply));
  BOOST_REQUIRE(decoded.has_value());
  const auto& again = std::get<PlacementReply>(*decoded);
  BOOST_TEST((again.verdict == PlacementVerdict::kQueued));
  BOOST_TEST(again.queued == 12U);
  BOOST_TEST((again.nextUpdateWithin == reply.nextUpdateWithin));
  BOOST_TEST((again.retryAfter == reply.retryAfter));
  BOOST_TEST(!again.meetsPauseBounds);
  BOOST_TEST(again.speedPercent == 160U);
  PlacementEnded ended;
  ended.observed = {5, milliseconds(900), milliseconds(320), milliseconds(2)};
  const auto decodedEnded = decodePlacementMessage(encode(ended));
  BOOST_REQUIRE(decodedEnded.has_value());
  BOOST_TEST((std::get<PlacementEnded>(*decodedEnded).observed == ended.observed));
}

// The table service is unresponsive: only one node has received the replica's notice that it is
// leaving.
BOOST_AUTO_TEST_CASE(HomeInformsAllQueryingNodesThatAReplicaIsLeaving) {
  constexpr std::size_t kReplica = 3;
  const auto home = homeOf(kReplica);
  const auto notifiedNode = (home + 1) % kNodes;
  const auto result = place(notifiedNode, {kReplica});
  BOOST_REQUIRE(result.grant.has_value());
  record(notifiedNode, kReplica)->notices().recordLeaving();
  nodes[notifiedNode]->placement.reportStarted(*result.grant);
  time.advance(milliseconds(20));
  BOOST_TEST(record(home, kReplica)->leaving());
  for (std::size_t node = 0; node < kNodes; ++node) {
    BOOST_TEST(!place(node, {kReplica}).grant.has_value());
    BOOST_TEST(record(node, kReplica)->leaving());
  }
}

BOOST_AUTO_TEST_CASE(RequestsQueuedForALeavingReplicaAreReleased) {
  constexpr std::size_t kReplica = 3;
  const auto home = homeOf(kReplica);
  const auto notifiedNode = (home + 1) % kNodes;
  const auto waitingNode = (home + 2) % kNodes;
  std::vector<PlacementGrant> grants;
  while (true) {
    auto placed = startPlacing(notifiedNode, requestOf(notifiedNode, {kReplica}));
    time.advance(milliseconds(20));
    if (!placed->granted()) break;
    grants.push_back(*placed->result->grant);
    BOOST_REQUIRE(grants.size() < 100U);
  }
  const auto waiting = startPlacing(waitingNode, requestOf(waitingNode, {kReplica}));
  time.advance(milliseconds(20));
  BOOST_TEST(!waiting->result.has_value());
  record(notifiedNode, kReplica)->notices().recordLeaving();
  nodes[notifiedNode]->placement.reportEnded(grants.front(), PlacementOutcome::kServed);
  time.advance(milliseconds(20));
  BOOST_REQUIRE(waiting->result.has_value());
  BOOST_TEST(!waiting->granted());
  BOOST_TEST(record(waitingNode, kReplica)->leaving());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::routing
