// Replicas got many times the requests that they had said in their answers to take.
#include <boost/test/unit_test.hpp>

#include "request/limited_fleet.h"

namespace covewing::request {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Requests a second that callers send in all.
constexpr double kDemand = 100;

}  // namespace

BOOST_AUTO_TEST_SUITE(ReplicaRateLimitTest)

BOOST_AUTO_TEST_CASE(NodesTogetherSendNoMoreThanAReplicaTakes) {
  for (const double limit : {0.2, 1.0, 4.0, 20.0}) {
    LimitedFleet fleet(7, 4);
    fleet.load(seconds(1), kDemand);
    fleet.replica(0).limit = limit;
    fleet.load(seconds(12), kDemand);
    BOOST_TEST(fleet.worst(0, limit) <= 1.0, "limit " << limit << ": " << fleet.worst(0, limit));
  }
}

BOOST_AUTO_TEST_CASE(OneNodeSendsNoMoreThanAReplicaTakes) {
  LimitedFleet fleet(1, 4);
  fleet.replica(0).limit = 1;
  fleet.load(seconds(12), kDemand);
  BOOST_TEST(fleet.worst(0, 1) <= 1.0, fleet.worst(0, 1));
}

BOOST_AUTO_TEST_CASE(WhereAllReplicasAreLimitedNoneGetsMoreThanItTakes) {
  LimitedFleet fleet(5, 4);
  for (std::size_t number = 0; number < 4; ++number) fleet.replica(number).limit = 2;
  fleet.load(seconds(12), kDemand);
  for (std::size_t number = 0; number < 4; ++number)
    BOOST_TEST(fleet.worst(number, 2) <= 1.0, fleet.worst(number, 2));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::request
