// What the home of a replica with a rate limit grants, and to whom.
#include <boost/test/unit_test.hpp>

#include "routing/placement_fixture.h"

namespace covewing::routing {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::PlacementFixture;

namespace {

struct RateLimitFixture : PlacementFixture {
  using Placed = std::shared_ptr<Placing>;

  void limitAt(std::size_t node, double perSecond) {
    record(node, 3)->notices().rateLimit().update(
        {clients::RateLimitNotice::of(perSecond), time.now(), time.now()});
  }
  /// A node that is not the home of replica 3.
  std::size_t asker() { return homeOf(3) == 0 ? 1 : 0; }
  Placed wait(std::uint32_t urgency, std::uint64_t tenant = 0) {
    auto request = requestOf(asker(), {3});
    request.constraints.urgency = urgency;
    request.constraints.tenant = tenant;
    request.constraints.softStartDeadline = time.now() + seconds(5);
    request.constraints.hardStartDeadline = time.now() + seconds(8);
    auto placed = begin(asker(), std::move(request));
    time.advance(milliseconds(6));
    return placed;
  }
  /// Whether a request that does not wait is granted.
  bool grantedNow() {
    const auto placed = begin(asker(), requestOf(asker(), {3}));
    time.advance(milliseconds(10));
    nodes.at(asker())->placement.cancel(placed->ticket);
    return placed->granted();
  }
  void spendRate() {
    while (grantedNow()) {
    }
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(PlacementRateLimitTest, RateLimitFixture)

BOOST_AUTO_TEST_CASE(HomeLearnsTheLimitWithTheFirstQuestion) {
  limitAt(asker(), 2);
  const auto result = ask(asker(), {3});
  BOOST_REQUIRE(result.grant.has_value());
  BOOST_TEST(result.grant->paced);
  BOOST_TEST(record(homeOf(3), 3)->notices().rateLimit().perSecond().value() == 2.0);
}

BOOST_AUTO_TEST_CASE(NodeLearnsTheLimitFromTheHome) {
  limitAt(homeOf(3), 2);
  BOOST_REQUIRE(ask(asker(), {3}).grant.has_value());
  BOOST_TEST(record(asker(), 3)->notices().rateLimit().perSecond().value() == 2.0);
}

BOOST_AUTO_TEST_CASE(HomeLearnsTheLimitFromTheHeadOfAnAnswer) {
  const auto result = ask(asker(), {3});
  nodes[asker()]->placement.reportStarted(*result.grant, clients::RateLimitNotice::of(4));
  time.advance(milliseconds(5));
  BOOST_TEST(record(homeOf(3), 3)->notices().rateLimit().perSecond().value() == 4.0);
}

// The answer of a request that was granted before the limit was heard of ends nothing.
BOOST_AUTO_TEST_CASE(LimitEndsAtTheHomeByTheOrderOfItsGrants) {
  const auto early = ask(asker(), {3});
  limitAt(homeOf(3), 4);
  time.advance(seconds(1));
  const auto later = ask(asker(), {3});
  nodes[asker()]->placement.reportStarted(*early.grant, clients::RateLimitNotice::unlimited());
  time.advance(milliseconds(5));
  BOOST_TEST(record(homeOf(3), 3)->notices().rateLimit().perSecond().has_value());
  nodes[asker()]->placement.reportStarted(*later.grant, clients::RateLimitNotice::unlimited());
  time.advance(milliseconds(5));
  BOOST_TEST(!record(homeOf(3), 3)->notices().rateLimit().perSecond().has_value());
}

BOOST_AUTO_TEST_CASE(UrgentRequestsGoFirst) {
  limitAt(homeOf(3), 2);
  spendRate();
  const auto usual = wait(3);
  const auto urgent = wait(0);
  time.advance(milliseconds(500));
  BOOST_TEST(urgent->granted());
  BOOST_TEST(!usual->granted());
  time.advance(milliseconds(600));
  BOOST_TEST(usual->granted());
}

BOOST_AUTO_TEST_CASE(TenantsShareTheRate) {
  limitAt(homeOf(3), 2);
  spendRate();
  std::vector<Placed> many;
  for (int count = 0; count < 3; ++count) many.push_back(wait(1, 7));
  const auto other = wait(1, 8);
  time.advance(milliseconds(1100));
  BOOST_TEST(other->granted());
}

BOOST_AUTO_TEST_CASE(RequestThatIsNotSentLeavesItsPlaceToTheNext) {
  limitAt(homeOf(3), 0.2);
  const auto given = ask(asker(), {3});
  BOOST_REQUIRE(given.grant.has_value());
  BOOST_TEST(!grantedNow());
  nodes[asker()]->placement.returnGrant(*given.grant);
  time.advance(milliseconds(5));
  BOOST_TEST(grantedNow());
}

BOOST_AUTO_TEST_CASE(CallsThatAreNoRequestsTakeOfTheRate) {
  limitAt(homeOf(3), 1);
  limitAt(asker(), 1);
  time.advance(seconds(5));
  for (int count = 0; count < 3; ++count)
    nodes[asker()]->placement.countControlCall(*record(asker(), 3));
  time.advance(milliseconds(1500));
  BOOST_TEST(!grantedNow());
  time.advance(milliseconds(1500));
  BOOST_TEST(grantedNow());
}

BOOST_AUTO_TEST_CASE(OnlyANodeThatTakesItselfForTheHomeGrants) {
  limitAt(homeOf(3), 5);
  // The home knows of one more node, which would be the home, and the asker does not.
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
  BOOST_TEST(!ask(asker(), {3}).grant.has_value());
}

// A node that stood still reads it late: what was granted meanwhile must not arrive with it.
BOOST_AUTO_TEST_CASE(GrantThatLayUnreadCountsNoMore) {
  limitAt(homeOf(3), 2);
  const auto given = ask(asker(), {3});
  BOOST_REQUIRE(given.grant.has_value());
  BOOST_TEST(given.grant->validForRateLimit(given.grant->at + milliseconds(500)));
  BOOST_TEST(!given.grant->validForRateLimit(given.grant->at + milliseconds(501)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::routing
