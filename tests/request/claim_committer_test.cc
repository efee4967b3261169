// Tests at-most-once claims under lost responses, races, rate limits and time limits.
#include <boost/test/unit_test.hpp>

#include "request/fakes.h"

namespace covewing::request {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Behaviour = FakeTable::Behaviour;

namespace {

struct ClaimFixture {
  VirtualTime time;
  base::SeededRandom random{1};
  base::SeededRandom otherRandom{2};
  FakeTable table{time};
  ClaimCommitter store{table, time, time, random};
  ClaimCommitter otherNode{table, time, time, otherRandom};
  std::map<std::string, ClaimResult> results;

  void claim(ClaimCommitter& at, const std::string& request, const std::string& key) {
    const std::uint64_t nonce = random.next();
    at.claim({claimRowKey(base::tenantIdOf("stalls"), key),
              claimRowValue(nonce, nonce, base::RequestId{request}), false},
             seconds(2),
             [this, request](ClaimResult result) { results[request] = std::move(result); });
  }
  std::size_t owned() const {
    std::size_t count = 0;
    for (const auto& [request, result] : results) {
      if (result.status == ClaimStatus::kOwned) ++count;
    }
    return count;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(ClaimCommitterTest, ClaimFixture)

BOOST_AUTO_TEST_CASE(LostReplyIsReadBackAndOwned) {
  table.nextBehaviours = {Behaviour::kLoseAnswer};
  claim(store, "r1", "k");
  time.advance(milliseconds(100));
  BOOST_TEST((results.at("r1").status == ClaimStatus::kOwned));
  BOOST_TEST(table.reads == 1U);
  BOOST_TEST(table.commits.size() == 1U);
}

BOOST_AUTO_TEST_CASE(LostRequestIsSentAgain) {
  table.nextBehaviours = {Behaviour::kLoseRequest};
  claim(store, "r1", "k");
  time.advance(milliseconds(100));
  BOOST_TEST((results.at("r1").status == ClaimStatus::kOwned));
  BOOST_TEST(table.commits.size() == 2U);
}

BOOST_AUTO_TEST_CASE(DelayedFirstCommitStillCountsAsOwned) {
  table.nextBehaviours = {Behaviour::kLoseRequest};
  claim(store, "r1", "k");
  time.advance(milliseconds(1));
  // The read-back finds no row. Then the first transaction takes effect, before the second one.
  time.schedule(base::Duration::zero(), [this] { table.apply(table.commits.front()); });
  time.advance(milliseconds(100));
  BOOST_TEST((results.at("r1").status == ClaimStatus::kOwned));
}

BOOST_AUTO_TEST_CASE(OneOfTwoNodesOwnsTheKeyUnderEveryPairOfFaults) {
  const std::vector<Behaviour> behaviours = {Behaviour::kNormal, Behaviour::kLoseAnswer,
                                             Behaviour::kLoseRequest, Behaviour::kRateLimit,
                                             Behaviour::kUnavailable};
  int key = 0;
  for (const Behaviour first : behaviours) {
    for (const Behaviour second : behaviours) {
      results.clear();
      table.nextBehaviours = {first, second};
      const std::string name = "k" + std::to_string(++key);
      claim(store, "r1", name);
      claim(otherNode, "r2", name);
      time.advance(seconds(3));
      BOOST_TEST(results.size() == 2U);
      BOOST_TEST(owned() == 1U);
    }
  }
}

BOOST_AUTO_TEST_CASE(SameKeyTwiceOnOneNodeOwnsOnce) {
  claim(store, "r1", "k");
  claim(store, "r2", "k");
  time.advance(seconds(1));
  BOOST_TEST((results.at("r1").status == ClaimStatus::kOwned));
  BOOST_TEST((results.at("r2").status == ClaimStatus::kDuplicate));
}

BOOST_AUTO_TEST_CASE(WaitingClaimsShareATransaction) {
  for (int number = 0; number < 68; ++number) {
    claim(store, "r" + std::to_string(number), "k" + std::to_string(number));
  }
  time.advance(seconds(1));
  BOOST_TEST(owned() == 68U);
  // Four are sent at once in transactions of their own, the others together when the first reply
  // arrives.
  BOOST_TEST(table.commits.size() == 5U);
}

BOOST_AUTO_TEST_CASE(DuplicateInABatchDoesNotFailTheOthers) {
  claim(otherNode, "taken", "k2");
  time.advance(milliseconds(10));
  table.latency = milliseconds(10);
  for (int number = 0; number < 8; ++number) {
    claim(store, "r" + std::to_string(number), "k" + std::to_string(number));
  }
  time.advance(seconds(1));
  BOOST_TEST((results.at("r2").status == ClaimStatus::kDuplicate));
  BOOST_TEST(owned() == 8U);
}

BOOST_AUTO_TEST_CASE(ReportedAtTheTimeLimitAndReleasedIfCommitted) {
  table.nextBehaviours = {Behaviour::kLoseAnswer};
  table.defaultBehaviour = Behaviour::kUnavailable;
  claim(store, "r1", "k");
  time.advance(seconds(2));
  BOOST_TEST((results.at("r1").status == ClaimStatus::kUnavailable));
  BOOST_TEST(table.rows.size() == 1U);
  table.defaultBehaviour = Behaviour::kNormal;
  time.advance(seconds(20));
  BOOST_TEST(table.rows.empty());
  claim(otherNode, "r2", "k");
  time.advance(seconds(1));
  BOOST_TEST((results.at("r2").status == ClaimStatus::kOwned));
}

BOOST_AUTO_TEST_CASE(ReleaseNeverRemovesTheRowOfAnotherRequest) {
  claim(store, "r1", "k");
  time.advance(milliseconds(10));
  const Claim claimed = results.at("r1").claim;
  store.release(claimed);
  time.advance(milliseconds(10));
  claim(otherNode, "r2", "k");
  time.advance(milliseconds(10));
  // A release whose reply was lost is sent again after another request has claimed the key.
  store.release(claimed);
  time.advance(seconds(1));
  BOOST_TEST(table.rows.size() == 1U);
}

BOOST_AUTO_TEST_CASE(RateLimitedClaimsShareTransactions) {
  ClaimCommitter rateLimited(table, time, time, random,
                             {.transactionsPerSecond = 4, .transactionBurst = 1});
  for (int number = 0; number < 20; ++number) {
    claim(rateLimited, "r" + std::to_string(number), "k" + std::to_string(number));
    time.advance(milliseconds(25));
  }
  time.advance(seconds(1));
  BOOST_TEST(owned() == 20U);
  BOOST_TEST(table.commits.size() <= 4U);
}

BOOST_AUTO_TEST_CASE(TenantsDoNotShareKeys) {
  BOOST_TEST(claimRowKey(base::tenantIdOf("a"), "k") != claimRowKey(base::tenantIdOf("b"), "k"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::request
