// What the home of a replica with a rate limit grants, and to which requests.
#include <boost/test/unit_test.hpp>

#include "routing/placement_fixture.h"

namespace covewing::routing {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::PlacementFixture;

namespace {

struct RateLimitFixture : PlacementFixture {
  using Placed = std::shared_ptr<Placing>;

  void setLimitAt(std::size_t node, double perSecond) {
    record(node, 3)->notices().rateLimit().update(
        {clients::RateLimitNotice::of(perSecond), time.now(), time.now()});
  }
  /// A node that is not the home of replica 3.
  std::size_t queryingNode() { return homeOf(3) == 0 ? 1 : 0; }
  Placed queueRequest(std::uint32_t urgency, std::uint64_t tenant = 0) {
    auto request = requestOf(queryingNode(), {3});
    request.constraints.urgency = urgency;
    request.constraints.tenant = tenant;
    request.constraints.softStartDeadline = time.now() + seconds(5);
    request.constraints.hardStartDeadline = time.now() + seconds(8);
    auto placed = startPlacing(queryingNode(), std::move(request));
    time.advance(milliseconds(6));
    return placed;
  }
  /// Whether a request is granted without waiting.
  bool isGrantedNow() {
    const auto placed = startPlacing(queryingNode(), requestOf(queryingNode(), {3}));
    time.advance(milliseconds(10));
    nodes.at(queryingNode())->placement.cancel(placed->ticket);
    return placed->granted();
  }
  void useUpRate() {
    while (isGrantedNow()) {
    }
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(PlacementRateLimitTest, RateLimitFixture)

BOOST_AUTO_TEST_CASE(HomeReceivesTheLimitWithTheFirstQuery) {
  setLimitAt(queryingNode(), 2);
  const auto result = place(queryingNode(), {3});
  BOOST_REQUIRE(result.grant.has_value());
  BOOST_TEST(result.grant->paced);
  BOOST_TEST(record(homeOf(3), 3)->notices().rateLimit().perSecond().value() == 2.0);
}

BOOST_AUTO_TEST_CASE(NodeReceivesTheLimitFromTheHome) {
  setLimitAt(homeOf(3), 2);
  BOOST_REQUIRE(place(queryingNode(), {3}).grant.has_value());
  BOOST_TEST(record(queryingNode(), 3)->notices().rateLimit().perSecond().value() == 2.0);
}

BOOST_AUTO_TEST_CASE(HomeReceivesTheLimitFromResponseHeaders) {
  const auto result = place(queryingNode(), {3});
  nodes[queryingNode()]->placement.reportStarted(*result.grant, clients::RateLimitNotice::of(4));
  time.advance(milliseconds(5));
  BOOST_TEST(record(homeOf(3), 3)->notices().rateLimit().perSecond().value() == 4.0);
}

// The response of a request that was granted before the limit was known does not end the limit.
BOOST_AUTO_TEST_CASE(OnlyAResponseToALaterGrantEndsTheLimitAtTheHome) {
  const auto early = place(queryingNode(), {3});
  setLimitAt(homeOf(3), 4);
  time.advance(seconds(1));
  const auto later = place(queryingNode(), {3});
  nodes[queryingNode()]->placement.reportStarted(*early.grant,
                                                 clients::RateLimitNotice::unlimited());
  time.advance(milliseconds(5));
  BOOST_TEST(record(homeOf(3), 3)->notices().rateLimit().perSecond().has_value());
  nodes[queryingNode()]->placement.reportStarted(*later.grant,
                                                 clients::RateLimitNotice::unlimited());
  time.advance(milliseconds(5));
  BOOST_TEST(!record(homeOf(3), 3)->notices().rateLimit().perSecond().has_value());
}

BOOST_AUTO_TEST_CASE(UrgentRequestsAreGrantedFirst) {
  setLimitAt(homeOf(3), 2);
  useUpRate();
  const auto usual = queueRequest(3);
  const auto urgent = queueRequest(0);
  time.advance(milliseconds(500));
  BOOST_TEST(urgent->granted());
  BOOST_TEST(!usual->granted());
  time.advance(milliseconds(600));
  BOOST_TEST(usual->granted());
}

BOOST_AUTO_TEST_CASE(TenantsShareTheRate) {
  setLimitAt(homeOf(3), 2);
  useUpRate();
  std::vector<Placed> requestsOfOneTenant;
  for (int count = 0; count < 3; ++count) requestsOfOneTenant.push_back(queueRequest(1, 7));
  const auto other = queueRequest(1, 8);
  time.advance(milliseconds(1100));
  BOOST_TEST(other->granted());
}

BOOST_AUTO_TEST_CASE(ReturnedGrantFreesItsShareOfTheRate) {
  setLimitAt(homeOf(3), 0.2);
  const auto given = place(queryingNode(), {3});
  BOOST_REQUIRE(given.grant.has_value());
  BOOST_TEST(!isGrantedNow());
  nodes[queryingNode()]->placement.returnGrant(*given.grant);
  time.advance(milliseconds(5));
  BOOST_TEST(isGrantedNow());
}

BOOST_AUTO_TEST_CASE(ControlCallsCountAgainstTheRate) {
  setLimitAt(homeOf(3), 1);
  setLimitAt(queryingNode(), 1);
  time.advance(seconds(5));
  for (int count = 0; count < 3; ++count)
    nodes[queryingNode()]->placement.countControlCall(*record(queryingNode(), 3));
  time.advance(milliseconds(1500));
  BOOST_TEST(!isGrantedNow());
  time.advance(milliseconds(1500));
  BOOST_TEST(isGrantedNow());
}

BOOST_AUTO_TEST_CASE(OnlyANodeThatConsidersItselfTheHomeGrants) {
  setLimitAt(homeOf(3), 5);
  // The home knows one more node, which would be the home in its view; the node that sends the
  // query does not know it.
  for (int number = 0; number < 100; ++number) {
    auto more = all;
    more.push_back(testing::makeMember("late-" + std::to_string(number), "z1"));
    const auto home = homeOf(3);
    nodes[home]->members.set(more);
    const auto facts = record(home, 3)->facts();
    const auto& named =
        ReplicaHomes(nodes[home]->members).homeOf(base::engineIdOf(facts.instance), facts.zone);
    if (named.id != all[home].id) break;
  }
  BOOST_TEST(!place(queryingNode(), {3}).grant.has_value());
}

// A node that was paused reads its grant late: requests granted in the meantime must not arrive
// together with it.
BOOST_AUTO_TEST_CASE(GrantReadTooLateIsInvalidForTheRateLimit) {
  setLimitAt(homeOf(3), 2);
  const auto given = place(queryingNode(), {3});
  BOOST_REQUIRE(given.grant.has_value());
  BOOST_TEST(given.grant->validForRateLimit(given.grant->at + milliseconds(500)));
  BOOST_TEST(!given.grant->validForRateLimit(given.grant->at + milliseconds(501)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::routing
