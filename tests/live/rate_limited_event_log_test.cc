// The rate limit for log lines about changes of members and replicas.
#include "live/rate_limited_event_log.h"

#include <boost/test/unit_test.hpp>

#include "support/recording_log.h"
#include "support/virtual_time.h"

namespace covewing::live {

using std::chrono::seconds;

namespace {

struct RateLimitFixture {
  RateLimitFixture() { time.advance(seconds(100)); }

  test_support::VirtualTime time;
  test_support::RecordingLog log;
  RateLimitedEventLog limited{{}, time, log};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(LimitedEventLogTest, RateLimitFixture)

BOOST_AUTO_TEST_CASE(ChangesOfALargeFleetAreLimitedAndCounted) {
  for (int member = 0; member < 300; ++member)
    limited.write(base::Event::kMemberJoined, {{"member", std::to_string(member)}});
  BOOST_TEST(log.count(base::Event::kMemberJoined) == 60U);
  time.advance(seconds(10));
  limited.write(base::Event::kReplicaListed, {});
  BOOST_TEST(log.count(base::Event::kReplicaListed) == 1U);
  BOOST_TEST(log.count(base::Event::kLogLinesDropped) == 1U);
}

// Guards against a log that grows by a line for each request of callers that get nothing but
// refusals.
BOOST_AUTO_TEST_CASE(RefusalsAreLimitedAndCountedByCode) {
  constexpr int kRequests = 10'000;
  for (int request = 0; request < kRequests; ++request)
    limited.write(base::Event::kRequestRefused, {{"code", "201"}});
  BOOST_TEST(log.count(base::Event::kRequestRefused) == 2000U);
  time.advance(seconds(5));
  limited.write(base::Event::kRequestRefused, {{"code", "201"}});
  BOOST_TEST(log.count(base::Event::kRequestRefused) == 2001U);
  BOOST_TEST(log.count(base::Event::kLogLinesDropped) == 1U);
}

// Guards against a request whose way to a replica cannot be followed because others were refused.
BOOST_AUTO_TEST_CASE(RefusalsOfRequestsThatWereDispatchedAreNeverDropped) {
  constexpr int kRequests = 10'000;
  for (int request = 0; request < kRequests; ++request) {
    limited.write(base::Event::kRequestRefused, {{"dispatches", "0"}});
    limited.write(base::Event::kRequestRefused, {{"dispatches", "1"}});
  }
  BOOST_TEST(log.count(base::Event::kRequestRefused) == 2000U + kRequests);
}

BOOST_AUTO_TEST_CASE(DecisionsAreNeverDropped) {
  for (int request = 0; request < 500; ++request) limited.write(base::Event::kRelayDispatched, {});
  BOOST_TEST(log.count(base::Event::kRelayDispatched) == 500U);
  BOOST_TEST(log.count(base::Event::kLogLinesDropped) == 0U);
}

BOOST_AUTO_TEST_CASE(FewChangesAreAllLogged) {
  for (int change = 0; change < 200; ++change) {
    limited.write(base::Event::kReplicaListed, {});
    time.advance(seconds(1));
  }
  BOOST_TEST(log.count(base::Event::kReplicaListed) == 200U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::live
