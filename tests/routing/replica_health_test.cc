#include "routing/replica_health.h"

#include <boost/test/unit_test.hpp>

namespace covewing::routing {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr base::TimePoint kStart{seconds(100)};

}  // namespace

BOOST_AUTO_TEST_SUITE(ReplicaHealthTest)

BOOST_AUTO_TEST_CASE(UnreachableReplicaIsEjectedForLongerEachTime) {
  ReplicaHealth health;
  auto now = kStart;
  health.onUnreachable(now);
  BOOST_TEST(!health.available(now));
  now += milliseconds(400);
  BOOST_TEST(health.available(now));
  health.onUnreachable(now);
  BOOST_TEST(!health.available(now + milliseconds(700)));
  BOOST_TEST(health.available(now + milliseconds(800)));
}

// Guards against a service that is left without replicas for seconds after all were silent for one.
BOOST_AUTO_TEST_CASE(UnreachableReplicaIsEjectedForLessThanASecond) {
  ReplicaHealth health;
  auto now = kStart;
  for (int count = 0; count < 10; ++count) {
    health.onUnreachable(now);
    BOOST_TEST(!health.available(now + milliseconds(399)));
    now += milliseconds(800);
    BOOST_TEST(health.available(now));
  }
}

BOOST_AUTO_TEST_CASE(ReplicaThatIsReachedAgainIsTriedAtOnce) {
  ReplicaHealth health;
  health.onUnreachable(kStart);
  health.onReachable(kStart + milliseconds(100));
  BOOST_TEST(health.available(kStart + milliseconds(100)));
  // Failures of the replica itself are no matter of connections.
  for (int count = 0; count < 3; ++count) health.onFailure(kStart + milliseconds(200), 0);
  health.onReachable(kStart + milliseconds(300));
  BOOST_TEST(health.ejected(kStart + milliseconds(300)));
}

BOOST_AUTO_TEST_CASE(ReplicaOnProbationGetsOneRequestAtATime) {
  ReplicaHealth health;
  health.onUnreachable(kStart);
  const auto later = kStart + seconds(1);
  BOOST_TEST(health.available(later));
  health.onDispatched(later);
  BOOST_TEST(!health.available(later));
  health.onWaitEnded(later);
  health.onSuccess(later);
  health.onDispatched(later);
  BOOST_TEST(health.available(later));
}

BOOST_AUTO_TEST_CASE(ConsecutiveFailuresEjectUnlessAllReplicasFail) {
  ReplicaHealth health;
  for (int count = 0; count < 3; ++count) health.onFailure(kStart, 0);
  BOOST_TEST(health.ejected(kStart));
  ReplicaHealth likeAll;
  for (int count = 0; count < 20; ++count) likeAll.onFailure(kStart, 0.9);
  BOOST_TEST(!likeAll.ejected(kStart));
}

BOOST_AUTO_TEST_CASE(FailureRateOfTheWholeServiceDoesNotEject) {
  ReplicaHealth health;
  for (int count = 0; count < 200; ++count) {
    if (count % 7 == 0) {
      health.onFailure(kStart, 0.14);
    } else {
      health.onSuccess(kStart);
    }
  }
  BOOST_TEST(!health.ejected(kStart));
}

BOOST_AUTO_TEST_CASE(OutlierIsEjected) {
  ReplicaHealth health;
  bool ejected = false;
  for (int count = 0; count < 60 && !ejected; ++count) {
    health.onFailure(kStart, 0.02);
    health.onSuccess(kStart);
    ejected = health.ejected(kStart);
  }
  BOOST_TEST(ejected);
}

BOOST_AUTO_TEST_CASE(UnresponsiveReplicaIsUnavailableUntilDataArrives) {
  ReplicaHealth health;
  health.onDispatched(kStart);
  BOOST_TEST(health.available(kStart + milliseconds(600)));
  BOOST_TEST(!health.available(kStart + milliseconds(800)));
  health.onBytesReceived(kStart + milliseconds(900));
  BOOST_TEST(health.available(kStart + milliseconds(900)));
}

BOOST_AUTO_TEST_CASE(PrefillOfLongPromptsIsNotUnresponsiveness) {
  ReplicaHealth health;
  health.onDispatched(kStart, seconds(2));
  health.onDispatched(kStart, seconds(1));
  BOOST_TEST(health.available(kStart + milliseconds(3600)));
  BOOST_TEST(!health.available(kStart + milliseconds(3800)));
  health.onWaitEnded(kStart + milliseconds(3800), seconds(2));
  BOOST_TEST(!health.available(kStart + milliseconds(3800)));
  health.onBytesReceived(kStart + milliseconds(3800));
  BOOST_TEST(health.available(kStart + milliseconds(5400)));
  BOOST_TEST(!health.available(kStart + milliseconds(5600)));
}

// A replica that received one request per half second must not be skipped for a second whenever one
// of its requests waits.
BOOST_AUTO_TEST_CASE(RateLimitedReplicaCountsAsUnresponsiveLater) {
  ReplicaHealth health;
  health.setInterval(milliseconds(500));
  health.onDispatched(kStart);
  BOOST_TEST(health.available(kStart + milliseconds(1600)));
  BOOST_TEST(!health.available(kStart + milliseconds(1800)));
  health.setInterval({});
  BOOST_TEST(!health.available(kStart + milliseconds(800)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::routing
