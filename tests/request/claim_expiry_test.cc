// Tests the removal of expired claims by epochs, without synchronized clocks.
#include "request/claim_expiry.h"

#include <boost/test/unit_test.hpp>

#include "request/fakes.h"

namespace covewing::request {

namespace {

using std::chrono::hours;
using std::chrono::minutes;

struct ExpiryFixture {
  VirtualTime time;
  base::SeededRandom random{1};
  FakeTable table{time};
  FakeMembers members{"node-1"};
  ClaimExpiry expiry{{.retainedEpochs = 2, .rowsPerRemoval = 3},
                     {time, time, random, table, members}};

  void addClaims(int from, int count) {
    for (int number = from; number < from + count; ++number) {
      clients::TableTransaction transaction;
      const std::string key =
          claimRowKey(base::tenantIdOf("stalls"), "key-" + std::to_string(number));
      transaction.writes.push_back({key, "value"});
      table.apply(transaction);
    }
  }
  std::size_t claims() const {
    return static_cast<std::size_t>(std::ranges::count_if(
        table.rows, [](const auto& row) { return row.first.starts_with(kClaimKeyPrefix); }));
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(ClaimExpiryTest, ExpiryFixture)

BOOST_AUTO_TEST_CASE(ClaimsAreKeptForTheirRetentionAndThenRemoved) {
  addClaims(0, 20);
  expiry.start();
  time.advance(hours(2));
  BOOST_TEST(claims() == 20U);
  time.advance(hours(12));
  BOOST_TEST(claims() == 0U);
  BOOST_TEST(expiry.removed() == 20U);
}

BOOST_AUTO_TEST_CASE(RecentClaimsAreKept) {
  expiry.start();
  time.advance(hours(20));
  addClaims(0, 5);
  time.advance(hours(1) + minutes(30));
  BOOST_TEST(claims() == 5U);
}

BOOST_AUTO_TEST_CASE(RetriesWhileTheServiceIsUnavailable) {
  addClaims(0, 4);
  table.defaultBehaviour = FakeTable::Behaviour::kUnavailable;
  expiry.start();
  time.advance(hours(10));
  BOOST_TEST(claims() == 4U);
  table.defaultBehaviour = FakeTable::Behaviour::kNormal;
  time.advance(hours(14));
  BOOST_TEST(claims() == 0U);
}

BOOST_AUTO_TEST_CASE(TwoNodesShareTheShards) {
  FakeMembers others{"node-2"};
  others.add("node-1");
  members.add("node-2");
  base::SeededRandom otherRandom{2};
  ClaimExpiry other({.retainedEpochs = 2}, {time, time, otherRandom, table, others});
  addClaims(0, 200);
  expiry.start();
  other.start();
  time.advance(hours(20));
  BOOST_TEST(claims() == 0U);
  BOOST_TEST(expiry.removed() > 0U);
  BOOST_TEST(other.removed() > 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::request
