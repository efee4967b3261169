#include "admission/admission_queue.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <limits>
#include <set>

#include "admission/virtual_replica.h"
#include "base/random.h"

namespace covewing::admission {

using base::Duration;
using base::TimePoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A queue with its replica; runs last a second, requests may wait 2 s for a start in time and 4 s
/// for one of use.
struct Fixture {
  explicit Fixture(std::uint32_t slots = 2, std::uint64_t memory = 10000,
                   AdmissionQueueOptions options = {})
      : queue(options), replica(slots, memory) {}

  QueueEntry entry(std::uint64_t id, std::uint32_t urgency = 0, std::uint64_t tenant = 1,
                   std::uint32_t tokens = 100) const {
    return {
        id, urgency, tenant, now, now + seconds(2), now + seconds(4), {tokens, tokens, seconds(1)},
        1};
  }
  QueueOffer offer(const QueueEntry& entry, bool mayQueue = true) {
    const QueueOffer offer = queue.offer(entry, replica, mayQueue, now);
    if (offer.verdict == QueueVerdict::kGranted) replica.start(entry, now);
    return offer;
  }
  /// Fills all slots with runs of a second by another tenant, not known to the queue.
  void fill() {
    while (replica.slotsInUse() < replica.slots()) replica.start(entry(0, 0, 0, 0), now);
  }
  std::uint64_t next() {
    const std::optional<QueueEntry> granted = queue.next(replica, now);
    if (!granted) return 0;
    replica.start(*granted, now);
    return granted->id;
  }
  void pass(Duration time) {
    now += time;
    replica.endRuns(now);
  }

  TimePoint now{seconds(100)};
  AdmissionQueue queue;
  VirtualReplica replica;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(AdmissionQueueTest)

BOOST_AUTO_TEST_CASE(WithRoomARequestBeginsAtOnce) {
  Fixture one;
  BOOST_TEST((one.offer(one.entry(1)).verdict == QueueVerdict::kGranted));
  BOOST_TEST((one.offer(one.entry(2, 3)).verdict == QueueVerdict::kGranted));
  const QueueOffer third = one.offer(one.entry(3));
  BOOST_TEST((third.verdict == QueueVerdict::kQueued));
  BOOST_TEST(third.ahead == 0U);
  BOOST_TEST(third.wait.count() > 0);
  BOOST_TEST(one.next() == 0U);
  one.pass(seconds(1));
  BOOST_TEST(one.next() == 3U);
  BOOST_TEST(one.queue.size() == 0U);
}

BOOST_AUTO_TEST_CASE(MoreUrgentBeginsFirst) {
  Fixture one(1);
  one.fill();
  one.offer(one.entry(1, 2));
  one.offer(one.entry(2, 0));
  one.pass(seconds(1));
  BOOST_TEST(one.next() == 2U);
}

BOOST_AUTO_TEST_CASE(InTimeBeginsBeforeLate) {
  Fixture one(8, 0);
  one.fill();
  QueueEntry late = one.entry(1, 0);
  late.softStartDeadline = one.now + milliseconds(500);
  one.offer(late);
  QueueEntry inTime = one.entry(2, 1);
  inTime.softStartDeadline = one.now + seconds(3);
  one.offer(inTime);
  one.pass(seconds(1));
  BOOST_TEST(one.next() == 2U);
}

BOOST_AUTO_TEST_CASE(LeastTimeLeftBeginsFirst) {
  Fixture one(1);
  one.fill();
  one.offer(one.entry(1));
  QueueEntry shorter = one.entry(2);
  shorter.softStartDeadline = one.now + milliseconds(1500);
  one.offer(shorter);
  one.pass(seconds(1));
  BOOST_TEST(one.next() == 2U);
}

BOOST_AUTO_TEST_CASE(OneThatCameBackBeginsBeforeAFreshOne) {
  Fixture one(1);
  one.fill();
  one.offer(one.entry(1));
  QueueEntry returned = one.entry(2);
  returned.arrivedAt = one.now - seconds(1);
  one.offer(returned);
  one.pass(seconds(1));
  BOOST_TEST(one.next() == 2U);
}

BOOST_AUTO_TEST_CASE(TenantWithLeastUseBeginsFirst) {
  Fixture one(8, 0);
  for (std::uint64_t id = 1; id <= 8; ++id) one.offer(one.entry(id, 0, 7));
  one.offer(one.entry(10, 0, 7));
  one.offer(one.entry(11, 0, 8));
  one.pass(seconds(1));
  BOOST_TEST(one.next() == 11U);
}

BOOST_AUTO_TEST_CASE(WeightCountsInShares) {
  Fixture one(8, 0);
  const auto offerAs = [&](std::uint64_t id, std::uint64_t tenant, std::uint32_t weight) {
    QueueEntry entry = one.entry(id, 0, tenant);
    entry.weight = weight;
    one.offer(entry);
  };
  for (std::uint64_t id = 1; id <= 5; ++id) offerAs(id, 7, 4);
  for (std::uint64_t id = 6; id <= 8; ++id) offerAs(id, 8, 1);
  offerAs(10, 8, 1);
  offerAs(11, 7, 4);
  one.pass(seconds(1));
  BOOST_TEST(one.next() == 11U);
}

BOOST_AUTO_TEST_CASE(OldUseIsForgotten) {
  Fixture one(8, 0);
  for (std::uint64_t id = 1; id <= 8; ++id) one.offer(one.entry(id, 0, 7));
  one.pass(seconds(12));
  one.fill();
  one.offer(one.entry(10, 0, 7));
  one.offer(one.entry(11, 0, 8));
  one.pass(seconds(1));
  BOOST_TEST(one.next() == 10U);
}

BOOST_AUTO_TEST_CASE(RoomIsKeptForMoreUrgentThatAreExpected) {
  Fixture one(8, 0);
  // Four urgent requests a second that run a second hold some four slots.
  std::uint64_t id = 0;
  for (int step = 0; step < 12; ++step) {
    one.pass(milliseconds(250));
    one.offer(one.entry(++id, 0));
  }
  one.pass(milliseconds(500));
  std::size_t granted = 0;
  while (one.offer(one.entry(++id, 2)).verdict == QueueVerdict::kGranted) ++granted;
  BOOST_TEST(granted >= 3U);
  BOOST_TEST(granted < 8U - one.replica.slotsInUse() + granted);
  BOOST_TEST((one.offer(one.entry(++id, 0)).verdict == QueueVerdict::kGranted));
}

BOOST_AUTO_TEST_CASE(NothingIsKeptWhereNoMoreUrgentArrives) {
  Fixture one(4, 0);
  one.offer(one.entry(1, 0));
  one.pass(seconds(8));
  for (std::uint64_t id = 2; id <= 5; ++id) {
    BOOST_TEST((one.offer(one.entry(id, 2)).verdict == QueueVerdict::kGranted));
  }
}

BOOST_AUTO_TEST_CASE(KeptRoomIsAtMostHalf) {
  Fixture one(8, 0);
  std::uint64_t id = 0;
  for (int step = 0; step < 100; ++step) {
    one.pass(milliseconds(20));
    one.offer(one.entry(++id, 0), false);
  }
  one.pass(milliseconds(999));
  std::size_t granted = 0;
  while (one.offer(one.entry(++id, 2)).verdict == QueueVerdict::kGranted) ++granted;
  BOOST_TEST(granted >= 4U);
}

BOOST_AUTO_TEST_CASE(HeadThatLacksMemoryIsNotPassedForEver) {
  Fixture one(24, 10000);
  std::uint64_t id = 0;
  for (int run = 0; run < 10; ++run) {
    one.offer(one.entry(++id, 0, 1, 1000));
    one.pass(milliseconds(50));
  }
  QueueEntry large = one.entry(1000, 0, 1, 6000);
  large.softStartDeadline = one.now + milliseconds(1900);
  BOOST_TEST((one.offer(large).verdict == QueueVerdict::kQueued));
  bool began = false;
  for (int step = 0; step < 38 && !began; ++step) {
    one.offer(one.entry(++id, 0, 1, 1000));
    one.pass(milliseconds(50));
    for (std::uint64_t granted = one.next(); granted != 0; granted = one.next()) {
      began = began || granted == 1000;
    }
  }
  BOOST_TEST(began);
}

BOOST_AUTO_TEST_CASE(SmallOnesPassWhereTheyDoNotDelayTheHead) {
  Fixture one(24, 10000);
  QueueEntry running = one.entry(1, 0, 1, 8000);
  running.cost.run = seconds(2);
  one.offer(running);
  BOOST_TEST((one.offer(one.entry(2, 0, 1, 5000)).verdict == QueueVerdict::kQueued));
  QueueEntry brief = one.entry(3, 0, 1, 1500);
  BOOST_TEST((one.offer(brief).verdict == QueueVerdict::kGranted));
  QueueEntry lasting = one.entry(4, 0, 1, 500);
  lasting.cost.run = seconds(4);
  BOOST_TEST((one.offer(lasting).verdict == QueueVerdict::kGranted));
}

/// Room is free, but the replica has too much to read to begin a long prompt in time.
struct ReadingReplica : VirtualReplica {
  bool fits(const QueueEntry& entry, bool /*inTime*/) const override {
    return entry.cost.prefillTokens < 1000;
  }
};

BOOST_AUTO_TEST_CASE(HeadThatTheReplicaReadsTooSlowlyForIsPassedForHalfItsTime) {
  ReadingReplica replica;
  Fixture one;
  const auto verdict = [&](const QueueEntry& entry) {
    return one.queue.offer(entry, replica, true, one.now).verdict;
  };
  for (std::uint64_t id = 100; id < 120; ++id) replica.start(one.entry(id), one.now);
  BOOST_TEST((verdict(one.entry(1, 0, 1, 2000)) == QueueVerdict::kQueued));
  one.now += milliseconds(900);
  BOOST_TEST((verdict(one.entry(2, 0, 1, 500)) == QueueVerdict::kGranted));
  one.now += milliseconds(200);
  BOOST_TEST((verdict(one.entry(3, 0, 1, 500)) == QueueVerdict::kQueued));
  BOOST_TEST((verdict(one.entry(4, 0, 1, 100)) == QueueVerdict::kGranted));
  // Once it is late it holds back nobody.
  one.now += seconds(1);
  BOOST_TEST(one.queue.next(replica, one.now).has_value());
}

BOOST_AUTO_TEST_CASE(WithoutShortageNobodyIsHeldBackForAHead) {
  ReadingReplica replica;
  Fixture one;
  one.queue.offer(one.entry(1, 0, 1, 2000), replica, true, one.now);
  one.now += milliseconds(1500);
  BOOST_TEST((one.queue.offer(one.entry(2, 0, 1, 500), replica, true, one.now).verdict ==
              QueueVerdict::kGranted));
}

BOOST_AUTO_TEST_CASE(WhatCannotBeServedIsRefusedAtOnce) {
  Fixture one(2, 0);
  one.fill();
  std::uint64_t id = 0;
  QueueOffer last;
  do {
    last = one.offer(one.entry(++id));
  } while (last.verdict == QueueVerdict::kQueued && id < 100);
  BOOST_TEST((last.verdict == QueueVerdict::kRefused));
  // Two slots and runs of a second: four begin within two seconds.
  BOOST_TEST(id >= 3U);
  BOOST_TEST(id <= 6U);
  BOOST_TEST(last.wait.count() > 0);
  BOOST_TEST(last.ahead == one.queue.size());
}

BOOST_AUTO_TEST_CASE(RefusedComeBackOneAfterTheOther) {
  Fixture one(2, 0);
  one.fill();
  std::multiset<Duration> times;
  for (std::uint64_t id = 1; id <= 20; ++id) {
    const QueueOffer offer = one.offer(one.entry(id));
    if (offer.verdict == QueueVerdict::kRefused) times.insert(offer.wait);
  }
  BOOST_REQUIRE(times.size() >= 12U);
  // Two begin in a second: no second lets back more than some twice as many.
  for (const Duration from : times) {
    const auto together =
        std::distance(times.lower_bound(from), times.upper_bound(from + milliseconds(999)));
    BOOST_TEST(together <= 4);
  }
}

BOOST_AUTO_TEST_CASE(OneThatCameBackIsNotRefusedForAFreshOne) {
  Fixture one(4, 0);
  one.fill();
  std::uint64_t id = 0;
  while (one.offer(one.entry(++id)).verdict == QueueVerdict::kQueued) {
  }
  QueueEntry returned = one.entry(id);
  one.pass(seconds(1));
  while (one.next() != 0) {
  }
  while (one.offer(one.entry(++id)).verdict == QueueVerdict::kQueued) {
  }
  returned.softStartDeadline = one.now + seconds(2);
  returned.hardStartDeadline = one.now + seconds(4);
  BOOST_TEST((one.offer(returned).verdict == QueueVerdict::kQueued));
  BOOST_TEST((one.offer(one.entry(++id)).verdict == QueueVerdict::kRefused));
}

BOOST_AUTO_TEST_CASE(NoneIsRefusedWhileHalfOfThePlacesAreFree) {
  Fixture one(8, 10000);
  // Memory is full with half of the slots free.
  for (std::uint64_t id = 1; id <= 4; ++id) one.offer(one.entry(id, 0, 1, 2500));
  for (std::uint64_t id = 5; id <= 60; ++id) {
    BOOST_TEST((one.offer(one.entry(id, 2, 1, 2500)).verdict == QueueVerdict::kQueued));
  }
  BOOST_TEST(one.queue.removeExpired(one.replica, one.now).empty());
}

BOOST_AUTO_TEST_CASE(AnIdleReplicaOfUnknownSlotsRefusesNone) {
  struct Idle : VirtualReplica {
    Idle() : VirtualReplica(0, 0) {}
    bool fits(const QueueEntry& /*entry*/, bool /*inTime*/) const override { return false; }
  } idle;
  Fixture one;
  for (std::uint64_t id = 1; id <= 50; ++id) {
    BOOST_TEST((one.queue.offer(one.entry(id, id % 3), idle, true, one.now).verdict ==
                QueueVerdict::kQueued));
  }
}

BOOST_AUTO_TEST_CASE(AnIdleReplicaTakesALargeRequestAlsoWhileMoreUrgentAreExpected) {
  Fixture one(8, 10000);
  std::uint64_t id = 0;
  for (int step = 0; step < 12; ++step) {
    one.pass(milliseconds(250));
    one.offer(one.entry(++id, 0, 1, 900));
  }
  // All that runs ends early, within the time in which more are expected.
  one.replica.endRuns(one.now + seconds(2));
  BOOST_TEST(one.replica.slotsInUse() == 0U);
  BOOST_TEST((one.offer(one.entry(++id, 2, 1, 8000)).verdict == QueueVerdict::kGranted));
}

BOOST_AUTO_TEST_CASE(PastItsUseARequestIsNotGranted) {
  Fixture one(1);
  one.fill();
  one.offer(one.entry(1));
  one.pass(seconds(5));
  BOOST_TEST(one.next() == 0U);
  BOOST_TEST(one.queue.removeExpired(one.replica, one.now).size() == 1U);
}

BOOST_AUTO_TEST_CASE(LargerThanTheMemoryThatIsLeftItHoldsBackNobody) {
  Fixture one(4, 10000);
  one.offer(one.entry(1, 0, 1, 6000));
  one.offer(one.entry(2, 0, 1, 6000));
  one.offer(one.entry(3, 1, 1, 4500));
  BOOST_TEST(one.queue.size() == 2U);
  one.replica.setRoom(4, 5000);
  one.pass(seconds(1));
  BOOST_TEST(one.next() == 3U);
  const std::vector<QueueRefusal> refusals = one.queue.removeExpired(one.replica, one.now);
  BOOST_REQUIRE(refusals.size() == 1U);
  BOOST_TEST(refusals[0].id == 2U);
}

BOOST_AUTO_TEST_CASE(WhatRunsUnknownToAHomeHoldsBackNoSmallRequest) {
  Fixture one(24, 10000);
  // A home that started again: what runs was granted before.
  for (int run = 0; run < 16; ++run) one.replica.start(one.entry(0, 0, 1, 500), one.now);
  BOOST_TEST((one.offer(one.entry(1, 0, 1, 6000)).verdict == QueueVerdict::kQueued));
  QueueEntry brief = one.entry(2, 0, 1, 500);
  brief.cost.run = milliseconds(300);
  BOOST_TEST((one.offer(brief).verdict == QueueVerdict::kGranted));
  QueueEntry lasting = one.entry(3, 0, 1, 500);
  lasting.cost.run = seconds(4);
  BOOST_TEST((one.offer(lasting).verdict == QueueVerdict::kQueued));
}

/// Urgent ones ask for all of the room; one less urgent request asks every second and a half.
BOOST_AUTO_TEST_CASE(AKindThatAsksSeldomDoesNotStarve) {
  Fixture one(4, 0);
  std::uint64_t id = 0;
  int asked = 0;
  std::set<std::uint64_t> seldom;
  int served = 0;
  for (int step = 0; step < 4000; ++step) {
    one.pass(milliseconds(50));
    one.queue.removeExpired(one.replica, one.now);
    if (step % 30 == 0) {
      ++asked;
      seldom.insert(++id);
      served += one.offer(one.entry(id, 2)).verdict == QueueVerdict::kGranted ? 1 : 0;
    }
    one.offer(one.entry(++id, 0));
    for (std::uint64_t next = one.next(); next != 0; next = one.next()) {
      served += seldom.contains(next) ? 1 : 0;
    }
  }
  BOOST_TEST(served * 11 >= asked);
  BOOST_TEST(served * 5 <= asked);
}

BOOST_AUTO_TEST_CASE(LateWorkTakesWhatIsLeft) {
  Fixture one(8, 0);
  one.fill();
  QueueEntry late = one.entry(1);
  late.softStartDeadline = one.now - milliseconds(1);
  BOOST_TEST((one.offer(late).verdict == QueueVerdict::kQueued));
  one.pass(seconds(1));
  BOOST_TEST(one.next() == 1U);
}

BOOST_AUTO_TEST_CASE(LateWorkIsRefusedWhereNothingIsLeft) {
  Fixture one(2, 0);
  std::uint64_t id = 0;
  for (int step = 0; step < 100; ++step) {
    one.pass(milliseconds(100));
    while (one.next() != 0) {
    }
    one.offer(one.entry(++id));
  }
  QueueEntry late = one.entry(++id);
  late.softStartDeadline = one.now - milliseconds(1);
  BOOST_TEST((one.offer(late).verdict == QueueVerdict::kRefused));
}

BOOST_AUTO_TEST_CASE(EqualCallsGiveEqualResults) {
  Fixture one;
  Fixture other;
  for (std::uint64_t id = 1; id <= 50; ++id) {
    const QueueOffer a = one.offer(one.entry(id, id % 3, id % 5));
    const QueueOffer b = other.offer(other.entry(id, id % 3, id % 5));
    BOOST_TEST((a.verdict == b.verdict));
    BOOST_TEST(a.wait.count() == b.wait.count());
  }
}

BOOST_AUTO_TEST_CASE(WithoutQueueingTheWaitIsTold) {
  Fixture one;
  one.fill();
  const QueueOffer offer = one.offer(one.entry(1), false);
  BOOST_TEST((offer.verdict == QueueVerdict::kRefused));
  BOOST_TEST(offer.wait.count() > 0);
  BOOST_TEST(one.queue.size() == 0U);
}

BOOST_AUTO_TEST_CASE(ExpiredLeaveTheQueue) {
  Fixture one(1);
  one.fill();
  one.offer(one.entry(1));
  BOOST_TEST(one.queue.removeExpired(one.replica, one.now).empty());
  one.now += seconds(5);
  const std::vector<QueueRefusal> refusals = one.queue.removeExpired(one.replica, one.now);
  BOOST_REQUIRE(refusals.size() == 1U);
  BOOST_TEST(refusals[0].id == 1U);
  BOOST_TEST((refusals[0].waited == seconds(5)));
  BOOST_TEST(one.queue.size() == 0U);
}

BOOST_AUTO_TEST_CASE(PushedBackRequestLeavesWhenItsPlaceShowsIt) {
  Fixture one(1, 0);
  one.fill();
  one.offer(one.entry(1, 2));
  for (std::uint64_t id = 2; id <= 6; ++id) one.offer(one.entry(id, 0));
  const std::vector<QueueRefusal> refusals = one.queue.removeExpired(one.replica, one.now);
  BOOST_REQUIRE(refusals.size() >= 1U);
  BOOST_TEST(refusals.back().id == 1U);
  BOOST_TEST(refusals.back().ahead >= 1U);
}

BOOST_AUTO_TEST_CASE(LastInOrderGivesWayWhenFull) {
  Fixture one(100, 0, {2, milliseconds(1000)});
  one.fill();
  one.offer(one.entry(1, 1));
  one.offer(one.entry(2, 2));
  BOOST_TEST((one.offer(one.entry(3, 3)).verdict == QueueVerdict::kRefused));
  BOOST_TEST((one.offer(one.entry(4, 0)).verdict == QueueVerdict::kQueued));
  BOOST_TEST(one.queue.size() == 2U);
  const std::vector<QueueRefusal> refusals = one.queue.removeExpired(one.replica, one.now);
  BOOST_REQUIRE(refusals.size() == 1U);
  BOOST_TEST(refusals[0].id == 2U);
}

BOOST_AUTO_TEST_CASE(WithdrawnIsNotGranted) {
  Fixture one(1);
  one.fill();
  one.offer(one.entry(1));
  one.offer(one.entry(2));
  BOOST_TEST(one.queue.withdraw(1));
  BOOST_TEST(!one.queue.withdraw(1));
  one.pass(seconds(1));
  BOOST_TEST(one.next() == 2U);
}

BOOST_AUTO_TEST_CASE(ClearGivesAllInOrder) {
  Fixture one(4);
  one.fill();
  one.offer(one.entry(1, 2));
  one.offer(one.entry(2, 0));
  const std::vector<QueueEntry> entries = one.queue.clear();
  BOOST_REQUIRE(entries.size() == 2U);
  BOOST_TEST(entries[0].id == 2U);
  BOOST_TEST(one.queue.size() == 0U);
}

BOOST_AUTO_TEST_CASE(QueuedIdAskedAgainStaysOnce) {
  Fixture one(1);
  one.fill();
  one.offer(one.entry(1));
  BOOST_TEST((one.offer(one.entry(1, 3), false).verdict == QueueVerdict::kQueued));
  BOOST_TEST(one.queue.size() == 1U);
}

BOOST_AUTO_TEST_CASE(BadInputBreaksNothing) {
  Fixture one(1, 1000);
  QueueEntry large = one.entry(1, 0, 1, std::numeric_limits<std::uint32_t>::max());
  BOOST_TEST((one.offer(large).verdict == QueueVerdict::kRefused));
  QueueEntry extreme = one.entry(2, std::numeric_limits<std::uint32_t>::max());
  extreme.arrivedAt = TimePoint::min();
  extreme.softStartDeadline = TimePoint::max();
  extreme.hardStartDeadline = TimePoint::min();
  extreme.cost.run = Duration::min();
  extreme.weight = 0;
  BOOST_TEST(
      (one.queue.offer(extreme, one.replica, true, one.now).verdict == QueueVerdict::kGranted));
  one.fill();
  extreme.id = 3;
  extreme.arrivedAt = TimePoint::max();
  extreme.cost.run = Duration::max();
  BOOST_TEST(
      (one.queue.offer(extreme, one.replica, true, one.now).verdict == QueueVerdict::kQueued));
  one.now -= seconds(50);
  one.offer(one.entry(4));
  one.queue.removeExpired(one.replica, one.now);
  BOOST_TEST(one.queue.size() <= 2U);
}

BOOST_AUTO_TEST_CASE(ReplicaOfWhichNothingIsKnownGrantsWhatFits) {
  struct Unknown : ReplicaCapacity {
    bool fits(const QueueEntry& /*entry*/, bool /*inTime*/) const override { return true; }
    std::uint32_t slots() const override { return 0; }
    std::uint32_t slotsInUse() const override { return 0; }
    std::uint64_t memory() const override { return 0; }
    std::uint64_t memoryInUse() const override { return 0; }
    Duration meanRunTime() const override { return Duration::zero(); }
  } unknown;
  Fixture one;
  for (std::uint64_t id = 1; id <= 50; ++id) {
    QueueEntry entry = one.entry(id, id % 3);
    entry.cost.run = Duration::zero();
    BOOST_TEST((one.queue.offer(entry, unknown, true, one.now).verdict == QueueVerdict::kGranted));
  }
}

/// Random calls: each request ends once, as granted, refused, withdrawn or cleared; the bound on
/// entries and the room hold.
BOOST_AUTO_TEST_CASE(EachRequestEndsOnce) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    base::SeededRandom random(seed);
    Fixture one(6, 9000, {12, milliseconds(1000)});
    std::set<std::uint64_t> waiting;
    const auto ends = [&](std::uint64_t id) { BOOST_TEST(waiting.erase(id) == 1U); };
    for (std::uint64_t step = 1; step <= 3000; ++step) {
      one.pass(milliseconds(random.below(120)));
      while (const std::uint64_t id = one.next()) ends(id);
      for (const QueueRefusal& each : one.queue.removeExpired(one.replica, one.now)) {
        BOOST_TEST(each.retryAfter.count() >= 0);
        ends(each.id);
      }
      QueueEntry entry = one.entry(step, random.below(4), random.below(6), random.below(10000));
      entry.softStartDeadline = one.now + milliseconds(random.below(3000)) - milliseconds(300);
      entry.cost.run = milliseconds(random.below(2000));
      const QueueOffer offer = one.offer(entry, random.below(4) != 0);
      BOOST_TEST(offer.wait.count() >= 0);
      if (offer.verdict == QueueVerdict::kQueued) waiting.insert(step);
      const std::uint64_t other = random.below(step) + 1;
      if (random.below(10) == 0 && one.queue.withdraw(other)) ends(other);
      if (random.below(500) == 0) {
        for (const QueueEntry& each : one.queue.clear()) ends(each.id);
        BOOST_TEST(waiting.empty());
      }
      BOOST_TEST(one.queue.size() <= 12U);
      BOOST_TEST(one.replica.slotsInUse() <= 6U);
      BOOST_TEST(one.replica.memoryInUse() <= 9000U);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::admission
