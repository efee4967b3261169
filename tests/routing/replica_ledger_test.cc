// What the home of a replica expects of its pauses from the work and the streams that it counted.
#include "routing/replica_ledger.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace covewing::routing {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t kLongPrompt = 6000;
constexpr PlacementDemand kShort{700, 100, 32, 90'000};
constexpr PlacementDemand kLong{9000, kLongPrompt, 32, 90'000};

PlacementTerms bounded() {
  PlacementTerms terms;
  terms.longestPause = milliseconds(300);
  return terms;
}

struct LedgerFixture {
  std::uint64_t begin(const PlacementDemand& work, const PlacementTerms& terms) {
    ledger.grant(++last, work, terms, {}, now);
    now += milliseconds(10);
    ledger.begin(last, now);
    return last;
  }
  void end(std::uint64_t id, base::Duration pause, const std::string& node = "") {
    constexpr std::uint32_t kPauses = 40;
    const auto from = node.empty() ? std::to_string(id % 10) : node;
    ledger.end({id, {}, PlacementOutcome::kServed, {kPauses, pause * kPauses, pause, {}}},
               base::nodeIdOf(from), 0, now);
  }
  /// Streams of such pauses ran there, one after the other.
  void teach(base::Duration pause) {
    for (int count = 0; count < 20; ++count) {
      const auto id = begin(kShort, bounded());
      now += milliseconds(100);
      end(id, pause);
    }
  }
  base::Duration excess(const PlacementDemand& work) {
    return ledger.pauseExcess(work, bounded(), now);
  }

  std::uint64_t last = 0;
  base::TimePoint now{seconds(100)};
  ReplicaLedger ledger;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(ReplicaLedgerTest, LedgerFixture)

BOOST_AUTO_TEST_CASE(WhatIsNotKnownHoldsNothingBack) {
  begin(kShort, bounded());
  BOOST_TEST((excess(kLong) == base::Duration::zero()));
  BOOST_TEST(ledger.speedPercent() == 0U);
}

BOOST_AUTO_TEST_CASE(LongReadingStopsTheBoundedStreamsOfASlowReplica) {
  teach(milliseconds(100));
  BOOST_TEST((excess(kLong) == base::Duration::zero()));
  begin(kShort, bounded());
  const auto one = excess(kLong);
  BOOST_TEST((one > base::Duration::zero()));
  BOOST_TEST((excess(kShort) == base::Duration::zero()));
  begin(kShort, bounded());
  BOOST_TEST((excess(kLong) == 2 * one));
}

BOOST_AUTO_TEST_CASE(StreamsWithoutABoundAreNoReasonToHoldBack) {
  teach(milliseconds(100));
  begin(kShort, {});
  BOOST_TEST((excess(kLong) == base::Duration::zero()));
}

BOOST_AUTO_TEST_CASE(ReplicaTooSlowForTheBoundTakesWorkWithoutOne) {
  teach(milliseconds(400));
  BOOST_TEST((excess(kShort) > base::Duration::zero()));
  BOOST_TEST((ledger.pauseExcess(kShort, {}, now) == base::Duration::zero()));
}

BOOST_AUTO_TEST_CASE(ObservationsLostOrOfUnknownGrantsChangeNothing) {
  teach(milliseconds(30));
  const auto speed = ledger.speedPercent();
  for (int count = 0; count < 50; ++count) end(1'000'000 + count, seconds(2));
  BOOST_TEST(ledger.speedPercent() == speed);
  // Ends never came: the grants lapse, and new streams are measured as before.
  for (int count = 0; count < 10; ++count) begin(kShort, bounded());
  now += seconds(20);
  BOOST_TEST((ledger.load(now).requests == 0));
  teach(milliseconds(30));
  BOOST_TEST(ledger.speedPercent() == speed);
}

BOOST_AUTO_TEST_CASE(NewRunOrNewHomeKnowsAgainAfterFourStreams) {
  teach(milliseconds(100));
  BOOST_TEST(ledger.speedPercent() > 0U);
  ledger = ReplicaLedger();
  BOOST_TEST((excess(kLong) == base::Duration::zero()));
  for (int count = 0; count < 4; ++count) end(begin(kShort, bounded()), milliseconds(100));
  begin(kShort, bounded());
  BOOST_TEST((excess(kLong) > base::Duration::zero()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::routing
