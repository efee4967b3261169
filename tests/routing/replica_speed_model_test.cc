// What the model derives from the streams that nodes observed, and which observations it ignores.
#include "routing/replica_speed_model.h"

#include <boost/test/unit_test.hpp>
#include <limits>
#include <string>

#include "base/random.h"

namespace covewing::routing {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t kPauses = 40;
constexpr StreamLoad kNoPrefill{1, 0, 0};

struct SpeedModelFixture {
  /// Adds a stream whose pauses are all equal, observed by the next of ten nodes.
  void addStream(base::Duration pause, const StreamLoad& load = kNoPrefill) {
    addStreamFrom(number++ % 10, pause, load);
  }
  void addStreamFrom(int node, base::Duration pause, const StreamLoad& load = kNoPrefill) {
    model.addObservation({kPauses, pause * kPauses, pause, {}}, load,
                         base::nodeIdOf(std::to_string(node)), now);
    now += milliseconds(100);
  }
  base::Duration expected(std::uint64_t prefillBacklog = 0) const {
    return model.expectedLongestPause({1, prefillBacklog, 0}, now).value();
  }

  int number = 0;
  base::TimePoint now{seconds(100)};
  base::SeededRandom random{3};
  ReplicaSpeedModel model;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(ReplicaPaceTest, SpeedModelFixture)

BOOST_AUTO_TEST_CASE(NothingIsEstimatedBeforeFourStreams) {
  for (int count = 0; count < 3; ++count) addStream(milliseconds(30));
  BOOST_TEST(!model.expectedLongestPause(kNoPrefill, now).has_value());
  BOOST_TEST(!model.speed().has_value());
  addStream(milliseconds(30));
  BOOST_TEST(model.expectedLongestPause(kNoPrefill, now).has_value());
  BOOST_TEST(model.speed().value() == 1.0, boost::test_tools::tolerance(0.01));
}

BOOST_AUTO_TEST_CASE(SpeedIsIndependentOfConcurrentPrefill) {
  // 50 ms for the decoding steps of a chunk, 40 us for each token that is prefilled concurrently.
  for (int count = 0; count < 60; ++count) {
    const auto tokens = static_cast<std::uint64_t>(count % 5) * 200;
    addStream(milliseconds(50) + std::chrono::microseconds(40) * tokens,
              {4, tokens, tokens * kPauses});
  }
  BOOST_TEST(model.speed().value() == 0.6, boost::test_tools::tolerance(0.1));
}

BOOST_AUTO_TEST_CASE(PauseGrowsWithThePrefillBacklog) {
  for (int count = 0; count < 60; ++count) {
    const auto tokens = static_cast<std::uint64_t>(count % 4) * 1500;
    const auto longest = milliseconds(50) + std::chrono::microseconds(40) * tokens;
    model.addObservation(
        {kPauses, milliseconds(50) * kPauses + std::chrono::microseconds(40) * tokens, longest, {}},
        {4, tokens, tokens}, base::nodeIdOf(std::to_string(count % 10)), now);
    now += milliseconds(100);
  }
  BOOST_TEST((expected() >= milliseconds(45)));
  BOOST_TEST((expected() <= milliseconds(75)));
  BOOST_TEST((expected(4500) >= milliseconds(180)));
  BOOST_TEST((expected(4500) <= milliseconds(330)));
}

BOOST_AUTO_TEST_CASE(FewLongPausesCountDespiteAShortMean) {
  for (int count = 0; count < 80; ++count) {
    const auto longest = count % 3 == 0 ? milliseconds(120) : milliseconds(40);
    model.addObservation({kPauses, milliseconds(35) * kPauses, longest, {}}, kNoPrefill,
                         base::nodeIdOf(std::to_string(count % 10)), now);
    now += milliseconds(100);
  }
  BOOST_TEST((expected() >= milliseconds(100)));
}

BOOST_AUTO_TEST_CASE(ImplausibleObservationsAreIgnored) {
  for (int count = 0; count < 20; ++count) addStream(milliseconds(30));
  const auto before = expected();
  const auto speed = model.speed().value();
  const auto huge = base::Duration::max();
  const auto maximum = std::numeric_limits<std::uint32_t>::max();
  const StreamObservation absurd[] = {
      {},
      {kPauses, seconds(-3), milliseconds(30), {}},
      {kPauses, seconds(1), milliseconds(-30), {}},
      {kPauses, huge, huge, {}},
      {kPauses, seconds(1), seconds(2), {}},
      {1, seconds(1), seconds(1), {}},
      {kPauses, seconds(100), seconds(90), seconds(5)},
      {kPauses, seconds(100), seconds(90), seconds(-5)},
      {kPauses, base::Duration::min(), huge, huge},
  };
  for (int count = 0; count < 5; ++count)
    for (const auto& observation : absurd)
      model.addObservation(observation, kNoPrefill, base::nodeIdOf(std::to_string(count)), now);
  BOOST_TEST((expected() == before));
  BOOST_TEST(model.speed().value() == speed);
  // Impossible counts in an otherwise plausible stream: their influence is bounded, but the stream
  // is not ignored.
  model.addObservation({maximum, seconds(60), milliseconds(30), {}}, kNoPrefill,
                       base::nodeIdOf("a"), now);
  model.addObservation({kPauses, seconds(1), milliseconds(30), {}},
                       {1, std::numeric_limits<std::uint64_t>::max(), 0}, base::nodeIdOf("a"), now);
  BOOST_TEST((expected() <= 2 * before));
  BOOST_TEST((expected() >= before / 2));
}

BOOST_AUTO_TEST_CASE(OneSlowNodeDoesNotMakeAReplicaSlow) {
  for (int count = 0; count < 30; ++count) addStream(milliseconds(30));
  const auto speed = model.speed().value();
  for (int count = 0; count < 60; ++count) {
    if (count % 10 == 0) {
      addStreamFrom(77, milliseconds(300));
    } else {
      addStream(milliseconds(30));
    }
    BOOST_TEST(!model.slow(now));
  }
  BOOST_TEST(model.speed().value() > speed * 0.6);
}

BOOST_AUTO_TEST_CASE(SlownessIsDetectedByTheSecondStreamAndItsEndByProbes) {
  for (int count = 0; count < 30; ++count) addStream(milliseconds(30));
  const auto usual = expected();
  addStream(milliseconds(105));
  BOOST_TEST(!model.slow(now));
  addStream(milliseconds(105));
  BOOST_TEST(model.slow(now));
  BOOST_TEST((expected() > usual * 2));
  // No requests are sent to the slow replica: after a while it no longer counts as slow, so that
  // one stream is sent there.
  now += seconds(4);
  BOOST_TEST(!model.slow(now));
  addStream(milliseconds(105));
  addStream(milliseconds(105));
  BOOST_TEST(model.slow(now));
  now += seconds(4);
  addStream(milliseconds(30));
  addStream(milliseconds(30));
  BOOST_TEST(!model.slow(now));
}

BOOST_AUTO_TEST_CASE(ShortSlowIntervalsDoNotToggleTheState) {
  // One stream in seven is slower by a factor of 2.5; the state must not change with each of them.
  int changes = 0;
  bool before = false;
  for (int count = 0; count < 700; ++count) {
    addStream(random.below(7) == 0 ? milliseconds(75) : milliseconds(30));
    changes += model.slow(now) != before ? 1 : 0;
    before = model.slow(now);
  }
  BOOST_TEST(changes <= 4);
}

BOOST_AUTO_TEST_CASE(ReportedSpeedIsStableWhileMeasurementsScatter) {
  for (int count = 0; count < 40; ++count) addStream(milliseconds(30));
  auto reported = model.speed().value();
  int changes = 0;
  for (int count = 0; count < 500; ++count) {
    addStream(milliseconds(20) + milliseconds(random.below(20)));
    changes += model.speed().value() != reported ? 1 : 0;
    reported = model.speed().value();
  }
  BOOST_TEST(changes <= 2);
  BOOST_TEST(shareOfLongPrompts(reported, 1.0) == 1.0);
}

BOOST_AUTO_TEST_CASE(SharesFollowSpeedOnlyIfItDiffersClearly) {
  BOOST_TEST(shareOfLongPrompts(0, 1) == 1.0);
  BOOST_TEST(shareOfLongPrompts(1, 0) == 1.0);
  BOOST_TEST(shareOfLongPrompts(1.2, 1) == 1.0);
  BOOST_TEST(shareOfLongPrompts(0.85, 1) == 1.0);
  BOOST_TEST(shareOfLongPrompts(1.6, 1) / shareOfLongPrompts(0.6, 1) == 1.6 / 0.6,
             boost::test_tools::tolerance(1e-9));
  BOOST_TEST(shareOfLongPrompts(1e9, 1) <= 9.0);
  BOOST_TEST(shareOfLongPrompts(1e-9, 1) > 0.1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::routing
