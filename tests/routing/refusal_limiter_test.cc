// Tests how many requests may run at a replica that fails if it has to refuse many of them.
#include "routing/refusal_limiter.h"

#include <boost/test/unit_test.hpp>
#include <deque>

#include "routing/replica_ledger.h"

namespace covewing::routing {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t kSlots = 8;

struct LimiterFixture {
  bool allows(std::size_t running) { return limiter.allows(running, kSlots, now); }

  RefusalLimiter limiter;
  base::TimePoint now{seconds(100)};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(RefusalLimiterTest, LimiterFixture)

BOOST_AUTO_TEST_CASE(ReplicaWithoutALimitIsNotRestricted) {
  for (int count = 0; count < 100; ++count) limiter.onRefused(2, now);
  BOOST_TEST(allows(100));
}

BOOST_AUTO_TEST_CASE(NothingWaitsAtALimitedReplica) {
  limiter.setLimit(4);
  BOOST_TEST(allows(kSlots - 1));
  BOOST_TEST(!allows(kSlots));
}

BOOST_AUTO_TEST_CASE(NoMoreRunThanWereAcceptedAtARefusal) {
  limiter.setLimit(4);
  limiter.onRefused(3, now);
  BOOST_TEST(allows(2));
  BOOST_TEST(!allows(3));
  now += seconds(3);
  BOOST_TEST(allows(3));
  BOOST_TEST(!allows(4));
  now += seconds(15);
  BOOST_TEST(allows(kSlots - 1));
}

BOOST_AUTO_TEST_CASE(NothingIsSentAfterHalfOfTheRefusalsThatItWithstands) {
  limiter.setLimit(4);
  limiter.onRefused(3, now);
  limiter.onRefused(3, now);
  BOOST_TEST(!allows(1));
  now += milliseconds(999);
  BOOST_TEST(!allows(1));
  now += milliseconds(1);
  BOOST_TEST(allows(1));
}

BOOST_AUTO_TEST_CASE(LimitEndsWhenTheReplicaNamesNoneAnyMore) {
  limiter.setLimit(4);
  limiter.onRefused(1, now);
  limiter.setLimit(std::nullopt);
  BOOST_TEST(allows(100));
}

// Whatever callers want, a replica that lets nothing wait refuses no more than it withstands.
BOOST_AUTO_TEST_CASE(ReplicaWithUnknownRoomRefusesLessThanItsLimit) {
  constexpr double kLimit = 4;
  constexpr std::size_t kRoom = 3;
  constexpr milliseconds kRunTime{50};
  const PlacementDemand work{0, 0, kSlots, 0};
  ReplicaLedger ledger;
  ledger.setRefusalLimit(kLimit);
  std::deque<std::pair<std::uint64_t, base::TimePoint>> running;
  std::deque<base::TimePoint> refusals;
  std::size_t served = 0;
  std::uint64_t id = 0;
  for (const auto end = now + seconds(20); now < end; now += milliseconds(1)) {
    while (!running.empty() && running.front().second <= now) {
      ledger.end({running.front().first, {}, PlacementOutcome::kServed, {}, false, {}, false, {}},
                 {}, 0, now);
      running.pop_front();
      ++served;
    }
    if (!ledger.hasCapacity(work, now)) continue;
    ledger.grant(++id, work, {}, {}, now);
    if (running.size() < kRoom) {
      running.emplace_back(id, now + kRunTime);
      continue;
    }
    ledger.end({id, {}, PlacementOutcome::kRefused, {}, false, {}, false, {}}, {}, 0, now);
    refusals.push_back(now);
    while (now - refusals.front() >= seconds(1)) refusals.pop_front();
    BOOST_REQUIRE(static_cast<double>(refusals.size()) <= kLimit);
  }
  // Three at a time, 20 in a second each; a fifth less is what the limit may cost.
  BOOST_TEST(served > 20 * kRoom * 20 * 4 / 5);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::routing
