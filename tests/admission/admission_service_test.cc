#include "admission/admission_service.h"

#include <boost/test/unit_test.hpp>

#include "admission/admission_window.h"
#include "admission/fake_cluster.h"
#include "admission/first_token_wait.h"
#include "admission/hold_queue.h"

namespace covewing::admission {

using base::PriorityClass;
using base::ResultCode;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Makes the node expect first tokens of the class after `expected`.
void load(AdmissionService& service, PriorityClass priority, base::Duration expected) {
  for (int sample = 0; sample < 20; ++sample) service.onExpectedFirstToken(priority, expected);
}

/// Fixed targets that make the tests independent of the default ones.
AdmissionOptions withTargets() {
  AdmissionOptions options;
  options.capacity.target = {milliseconds(4000), milliseconds(2000), milliseconds(2000),
                             milliseconds(1500)};
  return options;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(AdmissionServiceTest)

BOOST_AUTO_TEST_CASE(AnIdleNodeAdmitsButNeverFromWithinTheCall) {
  FakeCluster cluster(1, withTargets());
  const Call one = call(cluster.service(0), tenantNamed("a"));
  BOOST_TEST(!one.answered());
  cluster.time().advance(milliseconds(1));
  BOOST_TEST(one.admitted());
  BOOST_TEST(cluster.service(0).running() == 1U);
}

BOOST_AUTO_TEST_CASE(DestroyingATicketCancelsTheCallbackAndReleasesItsSlot) {
  FakeCluster cluster(1, withTargets());
  Call one = call(cluster.service(0), tenantNamed("a"));
  one.ticket.reset();
  cluster.time().advance(seconds(1));
  BOOST_TEST(!one.answered());
  BOOST_TEST(cluster.service(0).running() == 0U);
}

BOOST_AUTO_TEST_CASE(AClassBeyondItsTargetIsHeldAndRunsWhenTheEstimateFalls) {
  FakeCluster cluster(1, withTargets());
  AdmissionService& service = cluster.service(0);
  load(service, PriorityClass::kStandard, milliseconds(2500));
  const Call held = call(service, tenantNamed("a"));
  cluster.time().advance(milliseconds(10));
  BOOST_TEST(!held.answered());
  BOOST_TEST(service.held() == 1U);
  load(service, PriorityClass::kStandard, milliseconds(100));
  cluster.time().advance(milliseconds(1));
  BOOST_TEST(held.admitted());
  BOOST_TEST(held.verdicts->front().held.count() ==
             milliseconds(10) / std::chrono::microseconds(1));
}

BOOST_AUTO_TEST_CASE(AHoldThatCannotSucceedIsRefusedImmediatelyWithRetryAfter) {
  FakeCluster cluster(1, withTargets());
  AdmissionService& service = cluster.service(0);
  load(service, PriorityClass::kStandard, seconds(60));
  const Call refused = call(service, tenantNamed("a"));
  cluster.time().advance(milliseconds(1));
  BOOST_TEST(refused.answered());
  BOOST_TEST((refused.code() == ResultCode::kDeadlineUnreachable));
  BOOST_TEST(refused.verdicts->front().retryAfter.count() > 0);
}

BOOST_AUTO_TEST_CASE(AHoldEndsWhenItsTimeIsOver) {
  FakeCluster cluster(1, withTargets());
  AdmissionService& service = cluster.service(0);
  load(service, PriorityClass::kStandard, milliseconds(3000));
  const Call held = call(service, tenantNamed("a"));
  for (int step = 0; step < 30; ++step) {
    cluster.time().advance(milliseconds(50));
    load(service, PriorityClass::kStandard, milliseconds(3000));
  }
  BOOST_TEST(held.answered());
  BOOST_TEST(!held.admitted());
  BOOST_TEST((held.code() == ResultCode::kHoldExpired));
  BOOST_TEST(held.verdicts->size() == 1U);
}

BOOST_AUTO_TEST_CASE(LoadOfALessUrgentClassDoesNotHoldAMoreUrgentOne) {
  FakeCluster cluster(1, withTargets());
  AdmissionService& service = cluster.service(0);
  load(service, PriorityClass::kBackground, seconds(60));
  const Call urgent = call(service, tenantNamed("a"), PriorityClass::kUrgent);
  const Call background = call(service, tenantNamed("a"), PriorityClass::kBackground);
  cluster.time().advance(milliseconds(1));
  BOOST_TEST(urgent.admitted());
  BOOST_TEST(background.answered());
  BOOST_TEST(!background.admitted());
}

BOOST_AUTO_TEST_CASE(LoadOfAnUrgentClassHoldsTheLessUrgentOnes) {
  FakeCluster cluster(1, withTargets());
  AdmissionService& service = cluster.service(0);
  load(service, PriorityClass::kUrgent, seconds(60));
  const Call background = call(service, tenantNamed("a"), PriorityClass::kBackground);
  cluster.time().advance(milliseconds(1));
  BOOST_TEST(background.answered());
  BOOST_TEST(!background.admitted());
}

BOOST_AUTO_TEST_CASE(TheUrgentClassIsNotRefusedWhileALowerOneRuns) {
  FakeCluster cluster(1, withTargets());
  AdmissionService& service = cluster.service(0);
  Call lower = call(service, tenantNamed("a"), PriorityClass::kBackground);
  cluster.time().advance(milliseconds(1));
  load(service, PriorityClass::kUrgent, seconds(60));
  Call urgent = call(service, tenantNamed("a"), PriorityClass::kUrgent);
  for (int step = 0; step < 30; ++step) {
    cluster.time().advance(milliseconds(50));
    load(service, PriorityClass::kUrgent, seconds(60));
  }
  BOOST_TEST(urgent.admitted());
  urgent.ticket.reset();
  lower.ticket.reset();
  // A request of a lower class may still be running through another node.
  load(service, PriorityClass::kUrgent, seconds(60));
  Call soon = call(service, tenantNamed("a"), PriorityClass::kUrgent);
  for (int step = 0; step < 30; ++step) {
    cluster.time().advance(milliseconds(50));
    load(service, PriorityClass::kUrgent, seconds(60));
  }
  BOOST_TEST(soon.admitted());
  soon.ticket.reset();
  cluster.time().advance(seconds(11));
  load(service, PriorityClass::kUrgent, seconds(60));
  const Call alone = call(service, tenantNamed("a"), PriorityClass::kUrgent);
  cluster.time().advance(milliseconds(1));
  BOOST_TEST(alone.answered());
  BOOST_TEST(!alone.admitted());
}

BOOST_AUTO_TEST_CASE(AHeldRequestRunsBeforeALessUrgentOneThatCameEarlier) {
  FakeCluster cluster(1, withTargets());
  AdmissionService& service = cluster.service(0);
  load(service, PriorityClass::kInteractive, milliseconds(2500));
  const Call background = call(service, tenantNamed("a"), PriorityClass::kBackground);
  const Call interactive = call(service, tenantNamed("a"), PriorityClass::kInteractive);
  load(service, PriorityClass::kInteractive, milliseconds(1900));
  cluster.time().advance(milliseconds(1));
  BOOST_TEST(interactive.admitted());
  BOOST_TEST(!background.answered());
}

BOOST_AUTO_TEST_CASE(TheHoldQueueIsOrderedByClassThenArrival) {
  HoldQueue queue;
  queue.push(PriorityClass::kBackground, 1);
  queue.push(PriorityClass::kUrgent, 2);
  queue.push(PriorityClass::kUrgent, 3);
  queue.push(PriorityClass::kBackground, 4);
  BOOST_TEST(queue.front().value() == 2U);
  BOOST_TEST(queue.last().value() == 4U);
  BOOST_TEST(queue.aheadOf(PriorityClass::kStandard) == 2U);
  queue.remove(PriorityClass::kUrgent, 2);
  BOOST_TEST(queue.front().value() == 3U);
}

BOOST_AUTO_TEST_CASE(AFullHoldQueueShedsTheLowestClass) {
  AdmissionOptions options = withTargets();
  options.capacity.maximumHeld = 1;
  FakeCluster cluster(1, options);
  AdmissionService& service = cluster.service(0);
  load(service, PriorityClass::kInteractive, milliseconds(2500));
  const Call background = call(service, tenantNamed("a"), PriorityClass::kBackground);
  const Call interactive = call(service, tenantNamed("a"), PriorityClass::kInteractive);
  const Call later = call(service, tenantNamed("a"), PriorityClass::kBackground);
  cluster.time().advance(milliseconds(1));
  BOOST_TEST(background.answered());
  BOOST_TEST((background.code() == ResultCode::kShed));
  BOOST_TEST(!interactive.answered());
  BOOST_TEST((later.code() == ResultCode::kShed));
}

BOOST_AUTO_TEST_CASE(LongWaitsHoldOtherRequestsUntilAProbeIsFast) {
  FakeCluster cluster(1, withTargets());
  AdmissionService& service = cluster.service(0);
  std::vector<Call> slow;
  for (int index = 0; index < 8; ++index) slow.push_back(call(service, tenantNamed("a")));
  cluster.time().advance(milliseconds(2050));
  // There was no observation of the engines for a long time: the first call goes through as a
  // probe.
  const Call probe = call(service, tenantNamed("a"));
  const Call held = call(service, tenantNamed("a"));
  cluster.time().advance(milliseconds(1));
  BOOST_TEST(probe.admitted());
  BOOST_TEST(!held.answered());
  for (Call& one : slow) one.ticket->onFirstToken();
  slow.clear();
  // The slow requests are dropped from the statistics a second later, and the probe was fast.
  probe.ticket->onFirstToken();
  cluster.time().advance(milliseconds(1001));
  BOOST_TEST(held.answered());
}

BOOST_AUTO_TEST_CASE(CallsWithoutAPromptAreNotHeldForEngines) {
  FakeCluster cluster(1, withTargets());
  AdmissionService& service = cluster.service(0);
  load(service, PriorityClass::kUrgent, seconds(60));
  const Call plain = call(service, tenantNamed("a"), PriorityClass::kStandard, 0);
  cluster.time().advance(milliseconds(1));
  BOOST_TEST(plain.admitted());
}

BOOST_AUTO_TEST_CASE(RetriesAreABoundedShareOfRequests) {
  AdmissionOptions options;
  options.retry = {.ratio = 0.1, .minimumPerSecond = 0, .capacity = 5};
  FakeCluster cluster(1, options);
  AdmissionService& service = cluster.service(0);
  std::vector<Call> calls;
  int retries = 0;
  for (int request = 0; request < 200; ++request) {
    calls.push_back(call(service, tenantNamed("a")));
    cluster.time().advance(milliseconds(1));
    calls.back().ticket->onFirstToken();
    if (service.takeRetry()) ++retries;
  }
  BOOST_TEST(retries >= 24);
  BOOST_TEST(retries <= 25);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AdmissionWindowTest)

BOOST_AUTO_TEST_CASE(LateFirstTokensShrinkTheWindowOncePerRoundAndTimelyOnesGrowIt) {
  AdmissionWindow window({.initial = 20, .minimum = 4, .shrinkFactor = 0.5});
  const base::TimePoint start{seconds(10)};
  window.onWaited(seconds(2), seconds(1), 20, start);
  // Admitted before the first reduction.
  window.onWaited(seconds(2), seconds(1), 20, start + milliseconds(100));
  BOOST_TEST(window.size() == 10.0);
  window.onWaited(seconds(2), seconds(1), 20, start + seconds(3));
  window.onWaited(seconds(2), seconds(1), 20, start + seconds(6));
  window.onWaited(seconds(2), seconds(1), 20, start + seconds(9));
  BOOST_TEST(window.size() == 4.0);
  for (int token = 0; token < 100; ++token) {
    window.onWaited(milliseconds(10), seconds(1), 50, start + seconds(10));
  }
  BOOST_TEST(window.size() > 13.0);
  const double grown = window.size();
  window.onWaited(milliseconds(10), seconds(1), 1, start + seconds(10));
  BOOST_TEST(window.size() == grown);
}

BOOST_AUTO_TEST_CASE(ALessUrgentClassMayUseLessOfTheWindow) {
  const AdmissionWindow window({.initial = 20, .classShare = {1.0, 0.5, 0.35, 0.25}});
  BOOST_TEST(window.admits(PriorityClass::kUrgent, 19));
  BOOST_TEST(!window.admits(PriorityClass::kUrgent, 20));
  BOOST_TEST(!window.admits(PriorityClass::kInteractive, 10));
  BOOST_TEST(window.admits(PriorityClass::kBackground, 4));
  BOOST_TEST(!window.admits(PriorityClass::kBackground, 5));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(FirstTokenWaitTest)

BOOST_AUTO_TEST_CASE(AFewStuckRequestsDoNotCountAsLoad) {
  FirstTokenWait wait;
  const base::TimePoint start{seconds(10)};
  for (std::uint64_t request = 0; request < 3; ++request) {
    wait.onAdmitted(PriorityClass::kStandard, request, start);
  }
  const base::TimePoint later = start + seconds(5);
  for (std::uint64_t request = 10; request < 20; ++request) {
    wait.onAdmitted(PriorityClass::kStandard, request, later - milliseconds(100));
    wait.onFirstToken(PriorityClass::kStandard, request, later);
  }
  BOOST_TEST((wait.current(PriorityClass::kStandard, later) == milliseconds(100)));
  BOOST_TEST((wait.current(PriorityClass::kBackground, later) == milliseconds(100)));
  BOOST_TEST((wait.current(PriorityClass::kUrgent, later) == milliseconds(0)));
}

BOOST_AUTO_TEST_CASE(ManyWaitingRequestsCountBeforeTheirFirstTokens) {
  FirstTokenWait wait;
  const base::TimePoint start{seconds(10)};
  for (std::uint64_t request = 0; request < 8; ++request) {
    wait.onAdmitted(PriorityClass::kUrgent, request, start);
  }
  BOOST_TEST((wait.current(PriorityClass::kUrgent, start + seconds(3)) == seconds(3)));
  for (std::uint64_t request = 0; request < 8; ++request) {
    wait.onAbandoned(PriorityClass::kUrgent, request, start + seconds(3));
  }
  BOOST_TEST((wait.current(PriorityClass::kUrgent, start + seconds(3)) == seconds(0)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::admission
