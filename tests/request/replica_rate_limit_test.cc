// Tests that replicas receive no more requests than the rate limits that they report in their
// responses. Guards against nodes that ignore these limits and send many times as much.
#include <boost/test/unit_test.hpp>

#include "request/limited_fleet.h"

namespace covewing::request {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Total number of requests per second that callers send.
constexpr double kDemand = 100;

/// Sets the rate limit that each of the replicas reports.
void limitAll(LimitedFleet& fleet, std::size_t replicas, double limit) {
  for (std::size_t number = 0; number < replicas; ++number) fleet.replica(number).limit = limit;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(ReplicaRateLimitTest)

BOOST_AUTO_TEST_CASE(NodesTogetherStayWithinTheLimitOfAReplica) {
  for (const double limit : {0.2, 1.0, 4.0, 20.0}) {
    LimitedFleet fleet(7, 4);
    fleet.load(seconds(1), kDemand);
    fleet.replica(0).limit = limit;
    fleet.load(seconds(12), kDemand);
    BOOST_TEST(fleet.peakLoad(0, limit) <= 1.0,
               "limit " << limit << ": " << fleet.peakLoad(0, limit));
  }
}

BOOST_AUTO_TEST_CASE(OneNodeStaysWithinTheLimitOfAReplica) {
  LimitedFleet fleet(1, 4);
  fleet.replica(0).limit = 1;
  fleet.load(seconds(12), kDemand);
  BOOST_TEST(fleet.peakLoad(0, 1) <= 1.0, fleet.peakLoad(0, 1));
}

BOOST_AUTO_TEST_CASE(LimitsHoldWhenAllReplicasAreLimited) {
  LimitedFleet fleet(5, 4);
  limitAll(fleet, 4, 2);
  fleet.load(seconds(12), kDemand);
  for (std::size_t number = 0; number < 4; ++number)
    BOOST_TEST(fleet.peakLoad(number, 2) <= 1.0, fleet.peakLoad(number, 2));
}

BOOST_AUTO_TEST_CASE(LimitedReplicaIsUsedNearlyToItsLimit) {
  for (const std::size_t nodes : {3U, 20U, 90U}) {
    for (const double limit : {0.5, 3.0, 20.0}) {
      LimitedFleet fleet(nodes, 3);
      limitAll(fleet, 3, limit);
      fleet.load(seconds(2), 2 * kDemand);
      const auto since = fleet.time.now();
      fleet.load(seconds(20), 2 * kDemand);
      for (std::size_t number = 0; number < 3; ++number)
        BOOST_TEST(fleet.rateSince(number, since) >= 0.9 * limit,
                   nodes << " nodes, limit " << limit << ": " << fleet.rateSince(number, since));
    }
  }
}

// Guards against replicas that stand among the first candidates of no shared part and stay idle,
// however long callers are refused for lack of capacity.
BOOST_AUTO_TEST_CASE(EachLimitedReplicaIsUsedHoweverFewPromptsCallersShare) {
  struct Shape {
    std::size_t nodes;
    std::size_t replicas;
  };
  constexpr double kLimit = 2;
  for (const auto& [nodes, replicas] : {Shape{6, 12}, Shape{24, 80}, Shape{40, 640}}) {
    for (const std::size_t sharedParts : {1U, 6U, 60U}) {
      LimitedFleet fleet(nodes, replicas, sharedParts);
      limitAll(fleet, replicas, kLimit);
      const double demand = 3 * kLimit * static_cast<double>(replicas);
      fleet.load(seconds(3), demand);
      const auto since = fleet.time.now();
      fleet.load(seconds(8), demand);
      std::size_t starved = 0;
      for (std::size_t number = 0; number < replicas; ++number) {
        // The first and the last request may lie just outside of the window.
        const bool used = fleet.rateSince(number, since) >= 0.9 * kLimit - 1.0 / 8;
        starved += used ? 0 : 1;
        BOOST_TEST(fleet.peakLoad(number, kLimit) <= 1.0, fleet.peakLoad(number, kLimit));
      }
      BOOST_TEST(starved == 0U, starved << " of " << replicas << " replicas below nine tenths of "
                                        << "their limit, " << sharedParts << " shared parts");
    }
  }
}

// One of four replicas reports a limit. The others take the requests that exceed it.
BOOST_AUTO_TEST_CASE(OtherReplicasTakeTheExcessOfALimitedOne) {
  LimitedFleet fleet(5, 4);
  fleet.replica(0).limit = 1;
  fleet.load(seconds(10), kDemand);
  fleet.time.advance(seconds(2));
  BOOST_TEST(fleet.calls.refused == 0U);
  BOOST_TEST(fleet.calls.served == fleet.calls.sent);
  const auto since = fleet.time.now();
  fleet.load(seconds(10), kDemand);
  BOOST_TEST(fleet.rateSince(0, since) >= 0.9);
}

// The number of replicas with limits exceeds the number of home nodes that one request queries.
BOOST_AUTO_TEST_CASE(RequestsFindTheOneReplicaWithoutALimit) {
  LimitedFleet fleet(5, 9);
  for (std::size_t number = 0; number < 8; ++number) fleet.replica(number).limit = 0.5;
  fleet.load(seconds(5), kDemand);
  const auto refused = fleet.calls.refused;
  fleet.load(seconds(5), kDemand);
  BOOST_TEST(fleet.calls.refused == refused);
}

BOOST_AUTO_TEST_CASE(ExcessRequestsAreRefusedAtOnceWithARetryAfter) {
  LimitedFleet fleet(5, 4);
  limitAll(fleet, 4, 2);
  fleet.load(seconds(5), kDemand);
  const auto refusedBefore = fleet.calls.refused;
  const auto timeBefore = fleet.calls.refusedAfter;
  fleet.calls.retryAt.clear();
  fleet.load(seconds(5), kDemand);
  const auto refused = fleet.calls.refused - refusedBefore;
  BOOST_REQUIRE(refused > 300U);
  const auto mean = (fleet.calls.refusedAfter - timeBefore) / static_cast<int>(refused);
  BOOST_TEST((mean < milliseconds(150)), "refused after " << mean.count() << " us");
  // The retry times are spread out: if their span is divided into ten equal parts, none of them
  // contains more than a third of the retries.
  auto returns = fleet.calls.retryAt;
  std::ranges::sort(returns);
  const auto width = (returns.back() - returns.front()) / 10 + base::Duration{1};
  std::map<std::int64_t, std::size_t> parts;
  for (const auto at : returns) ++parts[(at - returns.front()) / width];
  for (const auto& [part, count] : parts) BOOST_TEST(count <= returns.size() / 3, part);
}

BOOST_AUTO_TEST_CASE(LowerLimitAppliesAtOnce) {
  LimitedFleet fleet(5, 4);
  fleet.replica(0).limit = 20;
  fleet.load(seconds(6), 2 * kDemand);
  fleet.replica(0).limit = 0.5;
  fleet.load(milliseconds(500), 2 * kDemand);
  const auto since = fleet.time.now();
  fleet.load(seconds(8), 2 * kDemand);
  BOOST_TEST(fleet.rateSince(0, since) <= 0.75);
}

BOOST_AUTO_TEST_CASE(LimitEndsWithTheFirstResponseThatReportsNone) {
  LimitedFleet fleet(5, 4);
  fleet.replica(0).limit = 1;
  fleet.load(seconds(6), kDemand);
  fleet.replica(0).limit.reset();
  fleet.load(seconds(2), kDemand);
  const auto since = fleet.time.now();
  fleet.load(seconds(4), kDemand);
  BOOST_TEST(fleet.rateSince(0, since) > 10);
}

BOOST_AUTO_TEST_CASE(ReplicaWithALimitOfZeroIsProbedOccasionally) {
  LimitedFleet fleet(5, 4);
  fleet.replica(0).limit = 0;
  fleet.load(seconds(5), kDemand);
  const auto since = fleet.time.now();
  fleet.load(seconds(40), kDemand);
  const auto probes = fleet.rateSince(0, since) * 40;
  BOOST_TEST(probes >= 3.0);
  BOOST_TEST(probes <= 5.0);
  fleet.replica(0).limit.reset();
  fleet.load(seconds(11), kDemand);
  const auto ended = fleet.time.now();
  fleet.load(seconds(2), kDemand);
  BOOST_TEST(fleet.rateSince(0, ended) > 10);
}

BOOST_AUTO_TEST_CASE(NodeWithoutContactToTheHomeSendsNothingToALimitedReplica) {
  LimitedFleet fleet(5, 4);
  fleet.replica(0).limit = 5;
  fleet.load(seconds(6), kDemand);
  const auto home = fleet.homeOf(0);
  fleet.network.cut.insert(fleet.allMembers[home].endpoint.address);
  fleet.idleNodes.insert(home);
  const auto since = fleet.time.now();
  fleet.load(seconds(5), kDemand);
  BOOST_TEST(fleet.rateSince(0, since) <= 0.4);
}

BOOST_AUTO_TEST_CASE(NewHomeNodeGrantsNoMoreThanTheRate) {
  for (const double limit : {1.0, 5.0, 20.0}) {
    LimitedFleet fleet(5, 4);
    fleet.replica(0).limit = limit;
    fleet.load(seconds(8), kDemand);
    const auto home = fleet.homeOf(0);
    fleet.network.detach(fleet.allMembers[home].endpoint.address);
    fleet.idleNodes.insert(home);
    std::vector<std::size_t> left;
    for (std::size_t node = 0; node < 5; ++node)
      if (node != home) left.push_back(node);
    for (const auto node : left) fleet.setView(node, left);
    fleet.load(seconds(8), kDemand);
    // The home node restarts without its earlier state, and the others detect this one after the
    // other.
    fleet.start(home);
    fleet.idleNodes.erase(home);
    fleet.uncountedNodes.insert(home);
    for (const auto node : left) {
      fleet.setView(node, {0, 1, 2, 3, 4});
      fleet.load(milliseconds(200), kDemand);
    }
    fleet.load(seconds(8), kDemand);
    BOOST_TEST(fleet.peakLoad(0, limit) <= 1.0,
               "limit " << limit << ": " << fleet.peakLoad(0, limit));
  }
}

// Each side of the partition considers the other side dead and has a home node of its own.
BOOST_AUTO_TEST_CASE(TwoHomeNodesTogetherGrantNoMoreThanAllowed) {
  const std::vector<std::pair<std::vector<std::size_t>, std::vector<std::size_t>>> splits = {
      {{0, 1, 2}, {3, 4, 5}}, {{0, 1, 2, 3}, {4, 5}}, {{0}, {1, 2, 3, 4, 5}}};
  for (const auto& [one, other] : splits) {
    for (const double limit : {1.0, 5.0, 20.0}) {
      LimitedFleet fleet(6, 4);
      fleet.replica(0).limit = limit;
      fleet.load(seconds(8), 2 * kDemand);
      for (const auto& side : {one, other}) {
        for (const auto node : side) {
          fleet.setView(node, side);
          fleet.nodes.at(node)->members.lost = 6 - side.size();
        }
      }
      fleet.load(seconds(12), 2 * kDemand);
      BOOST_TEST(fleet.peakLoad(0, limit) <= 1.0,
                 one.size() << " nodes alone, limit " << limit << ": " << fleet.peakLoad(0, limit));
    }
  }
}

// Guards against groups of nodes that started together and do not know each other yet: each has a
// home of its own for every replica.
BOOST_AUTO_TEST_CASE(HomesOfGroupsThatHaveNotMetGrantNoMoreThanAllowed) {
  // Nodes 0, 1 and 2 are the seeds.
  const std::vector<std::vector<std::vector<std::size_t>>> splits = {
      {{0, 5}, {1, 2, 3, 4}}, {{0}, {1, 3}, {2, 4, 5}}, {{0, 1, 2, 3, 4}, {5}}};
  for (const auto& groups : splits) {
    for (const double limit : {1.0, 5.0, 20.0}) {
      LimitedFleet fleet(6, 4);
      for (const auto& group : groups) {
        const auto seeds = std::ranges::count_if(group, [](std::size_t node) { return node < 3; });
        for (const auto node : group) {
          fleet.setView(node, group);
          fleet.nodes.at(node)->members.missing = 3 - static_cast<std::size_t>(seeds);
        }
      }
      fleet.replica(0).limit = limit;
      fleet.load(seconds(8), 2 * kDemand);
      BOOST_TEST(fleet.peakLoad(0, limit) <= 1.0,
                 groups.size() << " groups, limit " << limit << ": " << fleet.peakLoad(0, limit));
    }
  }
}

// Requests that were granted over several seconds must not arrive all at once.
BOOST_AUTO_TEST_CASE(GrantThatWaitsLongForAConnectionIsNotUsed) {
  LimitedFleet fleet(5, 4);
  limitAll(fleet, 4, 4);
  fleet.load(seconds(4), kDemand);
  fleet.replicas.connectTime = milliseconds(900);
  const auto since = fleet.time.now();
  fleet.load(seconds(4), kDemand);
  for (std::size_t number = 0; number < 4; ++number)
    BOOST_TEST(fleet.rateSince(number, since) <= 1.5, fleet.rateSince(number, since));
}

BOOST_AUTO_TEST_CASE(LimitsHoldUnderMessageLoss) {
  for (const double loss : {0.05, 0.3}) {
    LimitedFleet fleet(7, 4);
    limitAll(fleet, 4, 3);
    fleet.network.loss = loss;
    fleet.load(seconds(15), kDemand);
    for (std::size_t number = 0; number < 4; ++number)
      BOOST_TEST(fleet.peakLoad(number, 3) <= 1.0, fleet.peakLoad(number, 3));
  }
}

// Guards against abandoning a slow attempt although all other replicas are at their limits, after
// which the request was refused as lost.
BOOST_AUTO_TEST_CASE(SlowAttemptIsNotAbandonedIfAllOthersAreLimited) {
  LimitedFleet fleet(5, 4);
  limitAll(fleet, 4, 2);
  fleet.load(seconds(4), kDemand);
  for (std::size_t number = 0; number < 4; ++number)
    fleet.replica(number).runTime = milliseconds(900);
  const auto servedBefore = fleet.calls.served;
  const auto since = fleet.time.now();
  fleet.load(seconds(8), kDemand);
  fleet.time.advance(seconds(3));
  double arrived = 0;
  for (std::size_t number = 0; number < 4; ++number)
    arrived += fleet.rateSince(number, since) * base::toSeconds(fleet.time.now() - since);
  BOOST_TEST(static_cast<double>(fleet.calls.served - servedBefore) >= 0.95 * arrived);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::request
