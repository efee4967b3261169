// Pauses that the home of a replica expects from the work and the streams that it has recorded.
#include "routing/replica_ledger.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace covewing::routing {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t kLongPrompt = 6000;
constexpr PlacementDemand kShortPrompt{700, 100, 32, 90'000};
constexpr PlacementDemand kLongPromptDemand{9000, kLongPrompt, 32, 90'000};

PlacementTerms bounded() {
  PlacementTerms terms;
  terms.maximumPause = milliseconds(300);
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
  /// Runs streams with this pause at the replica, one after the other.
  void observeStreams(base::Duration pause) {
    for (int count = 0; count < 20; ++count) {
      const auto id = begin(kShortPrompt, bounded());
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

BOOST_AUTO_TEST_CASE(UnknownSpeedHoldsNothingBack) {
  begin(kShortPrompt, bounded());
  BOOST_TEST((excess(kLongPromptDemand) == base::Duration::zero()));
  BOOST_TEST(ledger.speedPercent() == 0U);
}

BOOST_AUTO_TEST_CASE(LongPrefillDelaysBoundedStreamsOfASlowReplica) {
  observeStreams(milliseconds(100));
  BOOST_TEST((excess(kLongPromptDemand) == base::Duration::zero()));
  begin(kShortPrompt, bounded());
  const auto one = excess(kLongPromptDemand);
  BOOST_TEST((one > base::Duration::zero()));
  BOOST_TEST((excess(kShortPrompt) == base::Duration::zero()));
  begin(kShortPrompt, bounded());
  BOOST_TEST((excess(kLongPromptDemand) == 2 * one));
}

BOOST_AUTO_TEST_CASE(StreamsWithoutABoundAddNoExcess) {
  observeStreams(milliseconds(100));
  begin(kShortPrompt, {});
  BOOST_TEST((excess(kLongPromptDemand) == base::Duration::zero()));
}

BOOST_AUTO_TEST_CASE(SlowReplicaAcceptsStreamsWithoutABound) {
  observeStreams(milliseconds(400));
  BOOST_TEST((excess(kShortPrompt) > base::Duration::zero()));
  BOOST_TEST((ledger.pauseExcess(kShortPrompt, {}, now) == base::Duration::zero()));
}

BOOST_AUTO_TEST_CASE(LostObservationsAndUnknownGrantsChangeNothing) {
  observeStreams(milliseconds(30));
  const auto speed = ledger.speedPercent();
  for (int count = 0; count < 50; ++count) end(1'000'000 + count, seconds(2));
  BOOST_TEST(ledger.speedPercent() == speed);
  // The end messages never arrived: the grants expire, and new streams are measured as before.
  for (int count = 0; count < 10; ++count) begin(kShortPrompt, bounded());
  now += seconds(20);
  BOOST_TEST((ledger.load(now).requests == 0));
  observeStreams(milliseconds(30));
  BOOST_TEST(ledger.speedPercent() == speed);
}

BOOST_AUTO_TEST_CASE(NewInstanceOrHomeKnowsTheSpeedAfterFourStreams) {
  observeStreams(milliseconds(100));
  BOOST_TEST(ledger.speedPercent() > 0U);
  ledger = ReplicaLedger();
  BOOST_TEST((excess(kLongPromptDemand) == base::Duration::zero()));
  for (int count = 0; count < 4; ++count) end(begin(kShortPrompt, bounded()), milliseconds(100));
  begin(kShortPrompt, bounded());
  BOOST_TEST((excess(kLongPromptDemand) > base::Duration::zero()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::routing
