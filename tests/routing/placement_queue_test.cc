// Requests queued at the homes of replicas: each is granted at most once, refused only if it cannot
// be served, or soon queued elsewhere when its home, a node, the replica or a message is lost.
#include <boost/test/unit_test.hpp>

#include "routing/placement_fixture.h"

namespace covewing::routing {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::kNodes;
using testing::kSlots;
using testing::PlacementFixture;

namespace {

struct QueueFixture : PlacementFixture {
  using Placed = std::shared_ptr<Placing>;

  /// Fills the replicas 3 and 5, which have different homes.
  QueueFixture() {
    first = fill(3);
    second = fill(5);
  }

  std::size_t home() { return homeOf(3); }
  /// A node that is neither the home of one of the replicas nor the node whose requests fill them.
  std::size_t queryingNode() {
    for (std::size_t node = kNodes - 1; node > 0; --node)
      if (node != homeOf(3) && node != homeOf(5)) return node;
    return 0;
  }
  Placed queueAt(std::size_t node, const std::vector<std::size_t>& candidates,
                 std::uint32_t urgency = 1) {
    auto request = requestOf(node, candidates);
    request.constraints.urgency = urgency;
    request.constraints.softStartDeadline = time.now() + seconds(3);
    request.constraints.hardStartDeadline = time.now() + seconds(6);
    auto placed = startPlacing(node, std::move(request));
    time.advance(milliseconds(6));
    return placed;
  }
  void endOneRequest(std::vector<PlacementGrant>& grants) {
    nodes.at(0)->placement.reportEnded(grants.back(), PlacementOutcome::kServed);
    grants.pop_back();
    time.advance(milliseconds(5));
  }
  std::size_t queuedAt(std::size_t node) { return nodes.at(node)->placement.counters().queuedHere; }
  /// Number of requests that have been granted.
  std::size_t granted(const std::vector<Placed>& placed) {
    return static_cast<std::size_t>(
        std::ranges::count_if(placed, [](const auto& one) { return one->granted(); }));
  }

  std::vector<PlacementGrant> first;
  std::vector<PlacementGrant> second;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(PlacementQueueTest, QueueFixture)

BOOST_AUTO_TEST_CASE(QueuedRequestIsGrantedByMessageWhenCapacityIsFreed) {
  const auto placed = queueAt(queryingNode(), {3});
  const auto sent = network.sent;
  time.advance(milliseconds(300));
  BOOST_TEST(!placed->result.has_value());
  BOOST_TEST(network.sent == sent);
  endOneRequest(first);
  BOOST_REQUIRE(placed->granted());
  BOOST_TEST(queuedAt(home()) == 0U);
  // The message about the end, and the grant.
  BOOST_TEST(network.sent - sent <= 2U);
}

BOOST_AUTO_TEST_CASE(MostUrgentQueuedRequestIsGrantedBeforeANewOne) {
  const auto usual = queueAt(queryingNode(), {3}, 2);
  const auto urgent = queueAt(queryingNode(), {3}, 0);
  nodes.at(0)->placement.reportEnded(first.back(), PlacementOutcome::kServed);
  const auto fresh = startPlacing(queryingNode(), requestOf(queryingNode(), {3}));
  time.advance(milliseconds(10));
  BOOST_TEST(urgent->granted());
  BOOST_TEST(!usual->granted());
  BOOST_TEST(!fresh->granted());
}

BOOST_AUTO_TEST_CASE(ReplicaWithCapacityIsPreferredToJoiningAQueue) {
  const auto placed = queueAt(queryingNode(), {3, 5, 7});
  BOOST_REQUIRE(placed->granted());
  BOOST_TEST(placed->result->candidate.value() == 2U);
}

BOOST_AUTO_TEST_CASE(NoFurtherHomeIsQueriedAfterTwoQueues) {
  const auto one = queueAt(queryingNode(), {3});
  const auto other = queueAt(queryingNode(), {5});
  time.advance(milliseconds(150));
  const auto placed = queueAt(queryingNode(), {3, 5, 7});
  BOOST_TEST(!placed->result.has_value());
  BOOST_TEST(queuedAt(homeOf(3)) + queuedAt(homeOf(5)) >= 3U);
}

BOOST_AUTO_TEST_CASE(CancelledRequestLeavesTheQueueAtOnce) {
  const auto placed = queueAt(queryingNode(), {3});
  BOOST_TEST(queuedAt(home()) == 1U);
  nodes.at(queryingNode())->placement.cancel(placed->ticket);
  time.advance(milliseconds(3));
  BOOST_TEST(queuedAt(home()) == 0U);
  endOneRequest(first);
  BOOST_TEST(!placed->result.has_value());
}

BOOST_AUTO_TEST_CASE(StoppingNodeWithdrawsItsQueuedRequests) {
  for (int count = 0; count < 5; ++count) queueAt(queryingNode(), {3});
  const auto where = home();
  BOOST_TEST(queuedAt(where) == 5U);
  nodes.erase(queryingNode());
  time.advance(milliseconds(3));
  BOOST_TEST(queuedAt(where) == 0U);
}

BOOST_AUTO_TEST_CASE(UnservableQueuedRequestIsRefusedWithARetryTime) {
  auto request = requestOf(queryingNode(), {3});
  request.constraints.hardStartDeadline = time.now() + milliseconds(500);
  const auto placed = startPlacing(queryingNode(), request);
  time.advance(milliseconds(700));
  BOOST_REQUIRE(placed->refused());
  BOOST_TEST((*placed->result->retryAfter > milliseconds(0)));
  BOOST_TEST(queuedAt(home()) == 0U);
}

BOOST_AUTO_TEST_CASE(ReplicaThatLoadsWeightsReleasesItsQueue) {
  const auto placed = queueAt(queryingNode(), {3, 5});
  std::vector<Placed> waiting{placed, queueAt(queryingNode(), {3}),
                              queueAt(queryingNode(), {3, 7})};
  nodes.at(home())->replicas.find("r3")->setLoadingWeights(time.now() + seconds(2));
  time.advance(milliseconds(60));
  BOOST_TEST(queuedAt(home()) == 0U);
  endOneRequest(second);
  BOOST_TEST(placed->granted());
  // A request without another candidate gets a result without a grant.
  BOOST_REQUIRE(waiting[1]->result.has_value());
  BOOST_TEST(!waiting[1]->granted());
  BOOST_TEST(waiting[2]->granted());
}

BOOST_AUTO_TEST_CASE(HomeThatDiesWithAQueueOf200LosesAndRepeatsNoRequest) {
  std::vector<Placed> waiting;
  for (std::size_t count = 0; count < 200; ++count) {
    auto request = requestOf(queryingNode(), {3, 5});
    request.constraints.softStartDeadline = time.now() + seconds(30);
    request.constraints.hardStartDeadline = time.now() + seconds(60);
    waiting.push_back(startPlacing(queryingNode(), std::move(request)));
  }
  time.advance(milliseconds(100));
  const auto before = queuedAt(home());
  BOOST_TEST(before > 50U);
  network.cut.insert(all[home()].endpoint.address);
  // The update interval, its margin, and a query with its time-out.
  time.advance(milliseconds(400 + 50 + 60));
  const auto open = static_cast<std::size_t>(
      std::ranges::count_if(waiting, [](const auto& one) { return !one->result; }));
  const auto refused = static_cast<std::size_t>(
      std::ranges::count_if(waiting, [](const auto& one) { return one->refused(); }));
  BOOST_TEST(open == queuedAt(homeOf(5)));
  BOOST_TEST(open + refused + granted(waiting) == waiting.size());
}

BOOST_AUTO_TEST_CASE(LostGrantIsWithdrawnAndItsSlotIsFreed) {
  const auto placed = queueAt(queryingNode(), {3, 5});
  const auto address = all[queryingNode()].endpoint.address;
  network.filter = [&](const base::Endpoint& destination, std::string_view payload) {
    const auto message = decodePlacementMessage(payload);
    const auto* reply = message ? std::get_if<PlacementReply>(&*message) : nullptr;
    return destination.address == address && reply != nullptr && reply->granted();
  };
  endOneRequest(first);
  BOOST_TEST(!placed->result.has_value());
  network.filter = {};
  // Within the update interval the request is queued elsewhere, or granted again.
  time.advance(milliseconds(500));
  const auto other = queueAt(queryingNode(), {3});
  BOOST_TEST((placed->granted() || other->granted()));
  endOneRequest(second);
  BOOST_TEST(placed->granted());
}

BOOST_AUTO_TEST_CASE(DuplicateOrUnknownGrantIsWithdrawn) {
  PlacementReply reply;
  reply.id = 4711;
  reply.replica = base::engineIdOf("r3");
  reply.verdict = PlacementVerdict::kGranted;
  std::size_t withdrawn = 0;
  network.filter = [&](const base::Endpoint&, std::string_view payload) {
    const auto message = decodePlacementMessage(payload);
    const auto* ended = message ? std::get_if<PlacementEnded>(&*message) : nullptr;
    if (ended != nullptr && ended->id == 4711 && ended->outcome == PlacementOutcome::kWithdrawn)
      ++withdrawn;
    return false;
  };
  const auto& member = all[home()];
  for (int count = 0; count < 2; ++count)
    nodes.at(queryingNode())
        ->placement.onPeerMessage({member.id, 1, member.endpoint}, encode(reply));
  BOOST_TEST(withdrawn == 2U);
}

BOOST_AUTO_TEST_CASE(LostQueuedReplyTimesOutAndLeavesNoQueueEntry) {
  network.filter = [](const base::Endpoint&, std::string_view payload) {
    const auto message = decodePlacementMessage(payload);
    const auto* reply = message ? std::get_if<PlacementReply>(&*message) : nullptr;
    return reply != nullptr && reply->verdict == PlacementVerdict::kQueued;
  };
  const auto placed = queueAt(queryingNode(), {3});
  BOOST_TEST(queuedAt(home()) == 1U);
  time.advance(milliseconds(30));
  BOOST_TEST(queuedAt(home()) == 0U);
  BOOST_REQUIRE(placed->result.has_value());
  BOOST_TEST(!placed->granted());
}

BOOST_AUTO_TEST_CASE(RequestsOfADeadNodeLeaveTheQueue) {
  queueAt(queryingNode(), {3});
  const auto other = queueAt(homeOf(5), {3});
  auto members = nodes.at(home())->members.liveMembers();
  const auto dead = std::ranges::find(members, all[queryingNode()].id, &membership::Member::id);
  dead->state = membership::MemberState::kDead;
  network.cut.insert(all[queryingNode()].endpoint.address);
  nodes.at(home())->members.set(members);
  time.advance(milliseconds(60));
  BOOST_TEST(queuedAt(home()) == 1U);
  endOneRequest(first);
  BOOST_TEST(other->granted());
}

// The node that was the home considers another node the home: the requests queued at the old home
// query the new one.
BOOST_AUTO_TEST_CASE(HomeReleasesItsQueueWhenAnotherNodeBecomesHome) {
  const auto placed = queueAt(queryingNode(), {3, 5});
  const auto old = home();
  auto members = nodes.at(old)->members.liveMembers();
  auto draining = all[old];
  draining.draining = true;
  std::erase_if(members, [&](const auto& member) { return member.id == draining.id; });
  members.push_back(draining);
  nodes.at(old)->members.set(members);
  time.advance(milliseconds(60));
  BOOST_TEST(queuedAt(old) == 0U);
  BOOST_TEST(!placed->result.has_value());
  endOneRequest(second);
  BOOST_TEST(placed->granted());
}

// Two nodes consider themselves the home of one replica: each grants what it counts itself, and no
// request is granted by both.
BOOST_AUTO_TEST_CASE(TwoConcurrentHomesGrantEachRequestOnce) {
  const auto other = queryingNode();
  auto members = nodes.at(other)->members.liveMembers();
  std::erase_if(members, [&](const auto& member) { return member.id == all[home()].id; });
  nodes.at(other)->members.set(members);
  std::vector<Placed> placing;
  for (int count = 0; count < 10; ++count) placing.push_back(queueAt(other, {3}));
  for (int count = 0; count < 10; ++count) placing.push_back(queueAt(homeOf(5), {3}));
  while (!first.empty()) endOneRequest(first);
  time.advance(milliseconds(50));
  const auto given = granted(placing);
  BOOST_TEST(given >= kSlots);
  BOOST_TEST(given <= 2 * (kSlots + 1));
}

BOOST_AUTO_TEST_CASE(HomeSendsUpdatesWhileRequestsWaitLong) {
  const auto placed = queueAt(queryingNode(), {3});
  time.advance(milliseconds(2500));
  BOOST_TEST(!placed->result.has_value());
  BOOST_TEST(nodes.at(queryingNode())->placement.counters().queueUpdatesMissed == 0U);
  endOneRequest(first);
  BOOST_TEST(placed->granted());
}

BOOST_AUTO_TEST_CASE(ConcurrentQueriesGetOnlyTheFreeCapacity) {
  endOneRequest(first);
  endOneRequest(first);
  std::vector<Placed> placing;
  for (std::size_t round = 0; round < 13; ++round)
    for (std::size_t node = 0; node < kNodes; ++node) {
      auto request = requestOf(node, {3});
      request.constraints.softStartDeadline = time.now() + seconds(20);
      request.constraints.hardStartDeadline = time.now() + seconds(30);
      placing.push_back(startPlacing(node, std::move(request)));
    }
  time.advance(milliseconds(20));
  BOOST_TEST(granted(placing) <= 2U);
  BOOST_TEST(granted(placing) >= 1U);
}

// The load exceeds the capacity of two replicas: each request causes only a few messages in total,
// however long it waits.
BOOST_AUTO_TEST_CASE(ShortageCostsAtMostEightMessagesPerDispatch) {
  std::vector<std::pair<base::TimePoint, std::pair<std::size_t, PlacementGrant>>> running;
  for (auto* grants : {&first, &second})
    for (const auto& grant : *grants) running.emplace_back(time.now(), std::pair{0, grant});
  std::vector<std::pair<std::size_t, Placed>> placing;
  std::size_t dispatched = 0;
  const auto before = network.sent;
  for (int step = 0; step < 1000; ++step) {
    // A request runs for 400 ms in one of ten slots: 25 requests per second are served, 33 arrive.
    if (step % 3 == 0) {
      const auto node = network.random.below(kNodes);
      auto request = requestOf(node, {3, 5});
      request.constraints.urgency = static_cast<std::uint32_t>(network.random.below(3));
      request.constraints.softStartDeadline = time.now() + milliseconds(800);
      request.constraints.hardStartDeadline = time.now() + seconds(3);
      placing.emplace_back(node, startPlacing(node, std::move(request)));
    }
    time.advance(milliseconds(10));
    for (auto& [node, placed] : placing) {
      if (!placed || !placed->result) continue;
      if (placed->granted()) {
        ++dispatched;
        nodes.at(node)->placement.reportStarted(*placed->result->grant);
        running.emplace_back(time.now(), std::pair{node, *placed->result->grant});
      }
      placed.reset();
    }
    std::erase_if(running, [&](const auto& run) {
      if (time.now() - run.first < milliseconds(400)) return false;
      nodes.at(run.second.first)
          ->placement.reportEnded(run.second.second, PlacementOutcome::kServed);
      return true;
    });
  }
  const double each = static_cast<double>(network.sent - before) / static_cast<double>(dispatched);
  BOOST_TEST_MESSAGE("messages per dispatch: " << each << ", dispatched " << dispatched);
  BOOST_TEST(dispatched > 200U);
  BOOST_TEST(each <= 8.0);
}

// Guards against a replica that stays idle while requests are queued for the first candidates.
BOOST_AUTO_TEST_CASE(AlternateWithCapacityIsUsedInsteadOfAQueue) {
  const auto queuedFirst = startPlacing(0, requestOf(0, {3}));
  const auto queuedSecond = startPlacing(0, requestOf(0, {5}));
  time.advance(milliseconds(10));
  for (std::size_t node = 0; node < kNodes; ++node) {
    auto request = requestOf(node, {3, 5, 1, 7});
    request.alternates = 1;
    const auto result = placeRequest(node, std::move(request));
    BOOST_TEST(result.candidate.value() == 3U);
    nodes[node]->placement.reportEnded(*result.grant, PlacementOutcome::kServed);
    time.advance(milliseconds(5));
  }
  BOOST_TEST(!queuedFirst->result.has_value());
  BOOST_TEST(!queuedSecond->result.has_value());
}

// Guards against one request that queries the homes of a whole fleet.
BOOST_AUTO_TEST_CASE(QueriesOfARequestAreBounded) {
  for (const std::size_t replica : {0U, 1U, 2U, 4U, 6U, 7U}) fill(replica);
  auto request = requestOf(0, {0, 1, 2, 3, 4, 5, 6, 7});
  request.alternates = 3;
  const auto before = nodes[0]->placement.counters().queries;
  const auto waiting = startPlacing(0, std::move(request));
  time.advance(milliseconds(60));
  BOOST_TEST(!waiting->result.has_value());
  // Six homes are queried, and one of them is asked to queue the request.
  BOOST_TEST(nodes[0]->placement.counters().queries - before <= 7U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::routing
