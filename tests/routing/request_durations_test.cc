// Which requests are expected to be long-running, and how many replicas they fill.
#include "routing/request_durations.h"

#include <boost/test/unit_test.hpp>

namespace covewing::routing {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr base::TimePoint kStart{seconds(100)};

/// Requests that take 5 ms per token.
RequestDurations trainedDurations() {
  RequestDurations durations;
  for (const std::uint32_t tokens : {10U, 400U, 40U, 100U, 300U, 20U})
    durations.onEnd("llm", tokens, milliseconds(5) * tokens);
  return durations;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(RunTimesTest)

BOOST_AUTO_TEST_CASE(NoRequestIsLongBeforeSomeCompleted) {
  RequestDurations durations;
  BOOST_TEST(!durations.isLong("llm", 100'000));
  for (int run = 0; run < 4; ++run) durations.onEnd("llm", 10, seconds(1));
  BOOST_TEST(!durations.isLong("llm", 100'000));
  durations.onEnd("llm", 10, seconds(1));
  BOOST_TEST(durations.isLong("llm", 100'000));
}

BOOST_AUTO_TEST_CASE(RequestIsLongByTheMeasuredDurations) {
  const auto durations = trainedDurations();
  BOOST_TEST(!durations.isLong("llm", 190));
  BOOST_TEST(durations.isLong("llm", 210));
  BOOST_TEST(!durations.isLong("other", 10'000));
}

BOOST_AUTO_TEST_CASE(ReplicaCountFollowsFromLoadOfAllNodesAndSlots) {
  auto durations = trainedDurations();
  BOOST_TEST(durations.replicasForLongRuns("llm", 10, 5, kStart) == 1U);
  // For 20 s, ten requests of 2 s each start per second: twenty are in flight.
  auto now = kStart;
  for (int run = 0; run < 200; ++run) {
    now += milliseconds(100);
    durations.onLongRun("llm", 400, now);
  }
  // On 5 nodes 100 are in flight, at 0.4 of 10 slots per replica.
  const auto replicas = durations.replicasForLongRuns("llm", 10, 5, now);
  BOOST_TEST(replicas >= 22U);
  BOOST_TEST(replicas <= 27U);
  BOOST_TEST(durations.replicasForLongRuns("llm", 10, 5, now + seconds(60)) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::routing
