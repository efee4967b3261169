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

/// A queue with its replica. Runs last one second; the soft deadline of a request is after 2 s, its
/// hard deadline after 4 s.
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
  OfferResult offer(const QueueEntry& entry, bool mayQueue = true) {
    const OfferResult offer = queue.offer(entry, replica, mayQueue, now);
    if (offer.verdict == QueueVerdict::kGranted) replica.start(entry, now);
    return offer;
  }
  /// Fills all slots with one-second runs of another tenant that the queue did not grant.
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

BOOST_AUTO_TEST_CASE(RequestStartsImmediatelyIfCapacityIsFree) {
  Fixture fixture;
  BOOST_TEST((fixture.offer(fixture.entry(1)).verdict == QueueVerdict::kGranted));
  BOOST_TEST((fixture.offer(fixture.entry(2, 3)).verdict == QueueVerdict::kGranted));
  const OfferResult third = fixture.offer(fixture.entry(3));
  BOOST_TEST((third.verdict == QueueVerdict::kQueued));
  BOOST_TEST(third.ahead == 0U);
  BOOST_TEST(third.wait.count() > 0);
  BOOST_TEST(fixture.next() == 0U);
  fixture.pass(seconds(1));
  BOOST_TEST(fixture.next() == 3U);
  BOOST_TEST(fixture.queue.size() == 0U);
}

BOOST_AUTO_TEST_CASE(MoreUrgentStartsFirst) {
  Fixture fixture(1);
  fixture.fill();
  fixture.offer(fixture.entry(1, 2));
  fixture.offer(fixture.entry(2, 0));
  fixture.pass(seconds(1));
  BOOST_TEST(fixture.next() == 2U);
}

BOOST_AUTO_TEST_CASE(OnTimeStartsBeforeLate) {
  Fixture fixture(8, 0);
  fixture.fill();
  QueueEntry late = fixture.entry(1, 0);
  late.softStartDeadline = fixture.now + milliseconds(500);
  fixture.offer(late);
  QueueEntry onTime = fixture.entry(2, 1);
  onTime.softStartDeadline = fixture.now + seconds(3);
  fixture.offer(onTime);
  fixture.pass(seconds(1));
  BOOST_TEST(fixture.next() == 2U);
}

BOOST_AUTO_TEST_CASE(EarliestDueTimeStartsFirst) {
  Fixture fixture(1);
  fixture.fill();
  fixture.offer(fixture.entry(1));
  QueueEntry shorter = fixture.entry(2);
  shorter.softStartDeadline = fixture.now + milliseconds(1500);
  fixture.offer(shorter);
  fixture.pass(seconds(1));
  BOOST_TEST(fixture.next() == 2U);
}

BOOST_AUTO_TEST_CASE(RetryStartsBeforeAFirstAttempt) {
  Fixture fixture(1);
  fixture.fill();
  fixture.offer(fixture.entry(1));
  QueueEntry returned = fixture.entry(2);
  returned.arrivedAt = fixture.now - seconds(1);
  fixture.offer(returned);
  fixture.pass(seconds(1));
  BOOST_TEST(fixture.next() == 2U);
}

BOOST_AUTO_TEST_CASE(TenantWithLeastUsageStartsFirst) {
  Fixture fixture(8, 0);
  for (std::uint64_t id = 1; id <= 8; ++id) fixture.offer(fixture.entry(id, 0, 7));
  fixture.offer(fixture.entry(10, 0, 7));
  fixture.offer(fixture.entry(11, 0, 8));
  fixture.pass(seconds(1));
  BOOST_TEST(fixture.next() == 11U);
}

BOOST_AUTO_TEST_CASE(TenantWeightScalesItsShare) {
  Fixture fixture(8, 0);
  const auto offerAs = [&](std::uint64_t id, std::uint64_t tenant, std::uint32_t weight) {
    QueueEntry entry = fixture.entry(id, 0, tenant);
    entry.weight = weight;
    fixture.offer(entry);
  };
  for (std::uint64_t id = 1; id <= 5; ++id) offerAs(id, 7, 4);
  for (std::uint64_t id = 6; id <= 8; ++id) offerAs(id, 8, 1);
  offerAs(10, 8, 1);
  offerAs(11, 7, 4);
  fixture.pass(seconds(1));
  BOOST_TEST(fixture.next() == 11U);
}

BOOST_AUTO_TEST_CASE(OldUsageDecays) {
  Fixture fixture(8, 0);
  for (std::uint64_t id = 1; id <= 8; ++id) fixture.offer(fixture.entry(id, 0, 7));
  fixture.pass(seconds(12));
  fixture.fill();
  fixture.offer(fixture.entry(10, 0, 7));
  fixture.offer(fixture.entry(11, 0, 8));
  fixture.pass(seconds(1));
  BOOST_TEST(fixture.next() == 10U);
}

BOOST_AUTO_TEST_CASE(CapacityIsReservedForExpectedMoreUrgentRequests) {
  Fixture fixture(8, 0);
  // Four urgent requests per second that each run for a second use about four slots.
  std::uint64_t id = 0;
  for (int step = 0; step < 12; ++step) {
    fixture.pass(milliseconds(250));
    fixture.offer(fixture.entry(++id, 0));
  }
  fixture.pass(milliseconds(500));
  std::size_t granted = 0;
  while (fixture.offer(fixture.entry(++id, 2)).verdict == QueueVerdict::kGranted) ++granted;
  BOOST_TEST(granted >= 3U);
  BOOST_TEST(granted < 8U - fixture.replica.slotsInUse() + granted);
  BOOST_TEST((fixture.offer(fixture.entry(++id, 0)).verdict == QueueVerdict::kGranted));
}

BOOST_AUTO_TEST_CASE(NoReserveWithoutMoreUrgentArrivals) {
  Fixture fixture(4, 0);
  fixture.offer(fixture.entry(1, 0));
  fixture.pass(seconds(8));
  for (std::uint64_t id = 2; id <= 5; ++id) {
    BOOST_TEST((fixture.offer(fixture.entry(id, 2)).verdict == QueueVerdict::kGranted));
  }
}

BOOST_AUTO_TEST_CASE(ReserveIsAtMostHalf) {
  Fixture fixture(8, 0);
  std::uint64_t id = 0;
  for (int step = 0; step < 100; ++step) {
    fixture.pass(milliseconds(20));
    fixture.offer(fixture.entry(++id, 0), false);
  }
  fixture.pass(milliseconds(999));
  std::size_t granted = 0;
  while (fixture.offer(fixture.entry(++id, 2)).verdict == QueueVerdict::kGranted) ++granted;
  BOOST_TEST(granted >= 4U);
}

BOOST_AUTO_TEST_CASE(HeadThatLacksMemoryIsNotOvertakenForever) {
  Fixture fixture(24, 10000);
  std::uint64_t id = 0;
  for (int run = 0; run < 10; ++run) {
    fixture.offer(fixture.entry(++id, 0, 1, 1000));
    fixture.pass(milliseconds(50));
  }
  QueueEntry large = fixture.entry(1000, 0, 1, 6000);
  large.softStartDeadline = fixture.now + milliseconds(1900);
  BOOST_TEST((fixture.offer(large).verdict == QueueVerdict::kQueued));
  bool started = false;
  for (int step = 0; step < 38 && !started; ++step) {
    fixture.offer(fixture.entry(++id, 0, 1, 1000));
    fixture.pass(milliseconds(50));
    for (std::uint64_t granted = fixture.next(); granted != 0; granted = fixture.next()) {
      started = started || granted == 1000;
    }
  }
  BOOST_TEST(started);
}

BOOST_AUTO_TEST_CASE(SmallRequestsOvertakeIfTheyDoNotDelayTheHead) {
  Fixture fixture(24, 10000);
  QueueEntry running = fixture.entry(1, 0, 1, 8000);
  running.cost.runTime = seconds(2);
  fixture.offer(running);
  BOOST_TEST((fixture.offer(fixture.entry(2, 0, 1, 5000)).verdict == QueueVerdict::kQueued));
  QueueEntry shortRun = fixture.entry(3, 0, 1, 1500);
  BOOST_TEST((fixture.offer(shortRun).verdict == QueueVerdict::kGranted));
  QueueEntry longRun = fixture.entry(4, 0, 1, 500);
  longRun.cost.runTime = seconds(4);
  BOOST_TEST((fixture.offer(longRun).verdict == QueueVerdict::kGranted));
}

/// A replica with free capacity, but too much to prefill to start a long prompt on time.
struct ReadingReplica : VirtualReplica {
  bool fits(const QueueEntry& entry, bool /*onTime*/) const override {
    return entry.cost.prefillTokens < 1000;
  }
};

BOOST_AUTO_TEST_CASE(HeadBlockedByPrefillIsOvertakenForHalfItsTime) {
  ReadingReplica replica;
  Fixture fixture;
  const auto verdict = [&](const QueueEntry& entry) {
    return fixture.queue.offer(entry, replica, true, fixture.now).verdict;
  };
  for (std::uint64_t id = 100; id < 120; ++id) replica.start(fixture.entry(id), fixture.now);
  BOOST_TEST((verdict(fixture.entry(1, 0, 1, 2000)) == QueueVerdict::kQueued));
  fixture.now += milliseconds(900);
  BOOST_TEST((verdict(fixture.entry(2, 0, 1, 500)) == QueueVerdict::kGranted));
  fixture.now += milliseconds(200);
  BOOST_TEST((verdict(fixture.entry(3, 0, 1, 500)) == QueueVerdict::kQueued));
  BOOST_TEST((verdict(fixture.entry(4, 0, 1, 100)) == QueueVerdict::kGranted));
  // Once it is late it blocks no other request.
  fixture.now += seconds(1);
  BOOST_TEST(fixture.queue.next(replica, fixture.now).has_value());
}

BOOST_AUTO_TEST_CASE(WithoutShortageTheHeadHoldsBackNoRequest) {
  ReadingReplica replica;
  Fixture fixture;
  fixture.queue.offer(fixture.entry(1, 0, 1, 2000), replica, true, fixture.now);
  fixture.now += milliseconds(1500);
  BOOST_TEST(
      (fixture.queue.offer(fixture.entry(2, 0, 1, 500), replica, true, fixture.now).verdict ==
       QueueVerdict::kGranted));
}

BOOST_AUTO_TEST_CASE(UnservableRequestIsRefusedImmediately) {
  Fixture fixture(2, 0);
  fixture.fill();
  std::uint64_t id = 0;
  OfferResult last;
  do {
    last = fixture.offer(fixture.entry(++id));
  } while (last.verdict == QueueVerdict::kQueued && id < 100);
  BOOST_TEST((last.verdict == QueueVerdict::kRefused));
  // With two slots and runs of a second, four requests start within two seconds.
  BOOST_TEST(id >= 3U);
  BOOST_TEST(id <= 6U);
  BOOST_TEST(last.wait.count() > 0);
  BOOST_TEST(last.ahead == fixture.queue.size());
}

BOOST_AUTO_TEST_CASE(RetriesOfRefusedRequestsAreSpread) {
  Fixture fixture(2, 0);
  fixture.fill();
  std::multiset<Duration> times;
  for (std::uint64_t id = 1; id <= 20; ++id) {
    const OfferResult offer = fixture.offer(fixture.entry(id));
    if (offer.verdict == QueueVerdict::kRefused) times.insert(offer.wait);
  }
  BOOST_REQUIRE(times.size() >= 12U);
  // Two requests start per second: no second has more than about twice as many retries.
  for (const Duration from : times) {
    const auto together =
        std::distance(times.lower_bound(from), times.upper_bound(from + milliseconds(999)));
    BOOST_TEST(together <= 4);
  }
}

BOOST_AUTO_TEST_CASE(RetryIsNotRefusedInFavourOfAFirstAttempt) {
  Fixture fixture(4, 0);
  fixture.fill();
  std::uint64_t id = 0;
  while (fixture.offer(fixture.entry(++id)).verdict == QueueVerdict::kQueued) {
  }
  QueueEntry returned = fixture.entry(id);
  fixture.pass(seconds(1));
  while (fixture.next() != 0) {
  }
  while (fixture.offer(fixture.entry(++id)).verdict == QueueVerdict::kQueued) {
  }
  returned.softStartDeadline = fixture.now + seconds(2);
  returned.hardStartDeadline = fixture.now + seconds(4);
  BOOST_TEST((fixture.offer(returned).verdict == QueueVerdict::kQueued));
  BOOST_TEST((fixture.offer(fixture.entry(++id)).verdict == QueueVerdict::kRefused));
}

BOOST_AUTO_TEST_CASE(NoRequestIsRefusedWhileHalfOfTheSlotsAreFree) {
  Fixture fixture(8, 10000);
  // The memory is full while half of the slots are free.
  for (std::uint64_t id = 1; id <= 4; ++id) fixture.offer(fixture.entry(id, 0, 1, 2500));
  for (std::uint64_t id = 5; id <= 60; ++id) {
    BOOST_TEST((fixture.offer(fixture.entry(id, 2, 1, 2500)).verdict == QueueVerdict::kQueued));
  }
  BOOST_TEST(fixture.queue.removeExpired(fixture.replica, fixture.now).empty());
}

BOOST_AUTO_TEST_CASE(IdleReplicaWithUnknownSlotsRefusesNoRequest) {
  struct Idle : VirtualReplica {
    Idle() : VirtualReplica(0, 0) {}
    bool fits(const QueueEntry& /*entry*/, bool /*onTime*/) const override { return false; }
  } idle;
  Fixture fixture;
  for (std::uint64_t id = 1; id <= 50; ++id) {
    BOOST_TEST((fixture.queue.offer(fixture.entry(id, id % 3), idle, true, fixture.now).verdict ==
                QueueVerdict::kQueued));
  }
}

BOOST_AUTO_TEST_CASE(IdleReplicaAcceptsALargeRequestDespiteAReserve) {
  Fixture fixture(8, 10000);
  std::uint64_t id = 0;
  for (int step = 0; step < 12; ++step) {
    fixture.pass(milliseconds(250));
    fixture.offer(fixture.entry(++id, 0, 1, 900));
  }
  // All runs end early, within the time in which more urgent requests are expected.
  fixture.replica.endRuns(fixture.now + seconds(2));
  BOOST_TEST(fixture.replica.slotsInUse() == 0U);
  BOOST_TEST((fixture.offer(fixture.entry(++id, 2, 1, 8000)).verdict == QueueVerdict::kGranted));
}

BOOST_AUTO_TEST_CASE(RequestPastItsHardDeadlineIsNotGranted) {
  Fixture fixture(1);
  fixture.fill();
  fixture.offer(fixture.entry(1));
  fixture.pass(seconds(5));
  BOOST_TEST(fixture.next() == 0U);
  BOOST_TEST(fixture.queue.removeExpired(fixture.replica, fixture.now).size() == 1U);
}

BOOST_AUTO_TEST_CASE(RequestLargerThanTheMemoryHoldsBackNoOther) {
  Fixture fixture(4, 10000);
  fixture.offer(fixture.entry(1, 0, 1, 6000));
  fixture.offer(fixture.entry(2, 0, 1, 6000));
  fixture.offer(fixture.entry(3, 1, 1, 4500));
  BOOST_TEST(fixture.queue.size() == 2U);
  fixture.replica.setCapacity(4, 5000);
  fixture.pass(seconds(1));
  BOOST_TEST(fixture.next() == 3U);
  const std::vector<QueueRefusal> refusals =
      fixture.queue.removeExpired(fixture.replica, fixture.now);
  BOOST_REQUIRE(refusals.size() == 1U);
  BOOST_TEST(refusals[0].id == 2U);
}

BOOST_AUTO_TEST_CASE(RunsUnknownToTheHomeNodeHoldBackNoSmallRequest) {
  Fixture fixture(24, 10000);
  // A restarted home node: the running requests were granted before.
  for (int run = 0; run < 16; ++run)
    fixture.replica.start(fixture.entry(0, 0, 1, 500), fixture.now);
  BOOST_TEST((fixture.offer(fixture.entry(1, 0, 1, 6000)).verdict == QueueVerdict::kQueued));
  QueueEntry shortRun = fixture.entry(2, 0, 1, 500);
  shortRun.cost.runTime = milliseconds(300);
  BOOST_TEST((fixture.offer(shortRun).verdict == QueueVerdict::kGranted));
  QueueEntry longRun = fixture.entry(3, 0, 1, 500);
  longRun.cost.runTime = seconds(4);
  BOOST_TEST((fixture.offer(longRun).verdict == QueueVerdict::kQueued));
}

/// Urgent requests demand the whole capacity; one less urgent request arrives every second and a
/// half.
BOOST_AUTO_TEST_CASE(RareUrgencyLevelDoesNotStarve) {
  Fixture fixture(4, 0);
  std::uint64_t id = 0;
  int requested = 0;
  std::set<std::uint64_t> rareIds;
  int served = 0;
  for (int step = 0; step < 4000; ++step) {
    fixture.pass(milliseconds(50));
    fixture.queue.removeExpired(fixture.replica, fixture.now);
    if (step % 30 == 0) {
      ++requested;
      rareIds.insert(++id);
      served += fixture.offer(fixture.entry(id, 2)).verdict == QueueVerdict::kGranted ? 1 : 0;
    }
    fixture.offer(fixture.entry(++id, 0));
    for (std::uint64_t next = fixture.next(); next != 0; next = fixture.next()) {
      served += rareIds.contains(next) ? 1 : 0;
    }
  }
  BOOST_TEST(served * 11 >= requested);
  BOOST_TEST(served * 5 <= requested);
}

BOOST_AUTO_TEST_CASE(LateRequestsGetTheRemainingCapacity) {
  Fixture fixture(8, 0);
  fixture.fill();
  QueueEntry late = fixture.entry(1);
  late.softStartDeadline = fixture.now - milliseconds(1);
  BOOST_TEST((fixture.offer(late).verdict == QueueVerdict::kQueued));
  fixture.pass(seconds(1));
  BOOST_TEST(fixture.next() == 1U);
}

BOOST_AUTO_TEST_CASE(LateRequestIsRefusedIfNoCapacityRemains) {
  Fixture fixture(2, 0);
  std::uint64_t id = 0;
  for (int step = 0; step < 100; ++step) {
    fixture.pass(milliseconds(100));
    while (fixture.next() != 0) {
    }
    fixture.offer(fixture.entry(++id));
  }
  QueueEntry late = fixture.entry(++id);
  late.softStartDeadline = fixture.now - milliseconds(1);
  BOOST_TEST((fixture.offer(late).verdict == QueueVerdict::kRefused));
}

BOOST_AUTO_TEST_CASE(EqualCallsGiveEqualResults) {
  Fixture fixture;
  Fixture other;
  for (std::uint64_t id = 1; id <= 50; ++id) {
    const OfferResult a = fixture.offer(fixture.entry(id, id % 3, id % 5));
    const OfferResult b = other.offer(other.entry(id, id % 3, id % 5));
    BOOST_TEST((a.verdict == b.verdict));
    BOOST_TEST(a.wait.count() == b.wait.count());
  }
}

BOOST_AUTO_TEST_CASE(RefusalWithoutQueueingReportsTheWait) {
  Fixture fixture;
  fixture.fill();
  const OfferResult offer = fixture.offer(fixture.entry(1), false);
  BOOST_TEST((offer.verdict == QueueVerdict::kRefused));
  BOOST_TEST(offer.wait.count() > 0);
  BOOST_TEST(fixture.queue.size() == 0U);
}

BOOST_AUTO_TEST_CASE(ExpiredRequestsLeaveTheQueue) {
  Fixture fixture(1);
  fixture.fill();
  fixture.offer(fixture.entry(1));
  BOOST_TEST(fixture.queue.removeExpired(fixture.replica, fixture.now).empty());
  fixture.now += seconds(5);
  const std::vector<QueueRefusal> refusals =
      fixture.queue.removeExpired(fixture.replica, fixture.now);
  BOOST_REQUIRE(refusals.size() == 1U);
  BOOST_TEST(refusals[0].id == 1U);
  BOOST_TEST((refusals[0].waited == seconds(5)));
  BOOST_TEST(fixture.queue.size() == 0U);
}

BOOST_AUTO_TEST_CASE(OvertakenRequestLeavesOnceItCannotBeServed) {
  Fixture fixture(1, 0);
  fixture.fill();
  fixture.offer(fixture.entry(1, 2));
  for (std::uint64_t id = 2; id <= 6; ++id) fixture.offer(fixture.entry(id, 0));
  const std::vector<QueueRefusal> refusals =
      fixture.queue.removeExpired(fixture.replica, fixture.now);
  BOOST_REQUIRE(refusals.size() >= 1U);
  BOOST_TEST(refusals.back().id == 1U);
  BOOST_TEST(refusals.back().ahead >= 1U);
}

BOOST_AUTO_TEST_CASE(LastInOrderIsDisplacedWhenTheQueueIsFull) {
  Fixture fixture(100, 0, {2, milliseconds(1000)});
  fixture.fill();
  fixture.offer(fixture.entry(1, 1));
  fixture.offer(fixture.entry(2, 2));
  BOOST_TEST((fixture.offer(fixture.entry(3, 3)).verdict == QueueVerdict::kRefused));
  BOOST_TEST((fixture.offer(fixture.entry(4, 0)).verdict == QueueVerdict::kQueued));
  BOOST_TEST(fixture.queue.size() == 2U);
  const std::vector<QueueRefusal> refusals =
      fixture.queue.removeExpired(fixture.replica, fixture.now);
  BOOST_REQUIRE(refusals.size() == 1U);
  BOOST_TEST(refusals[0].id == 2U);
}

BOOST_AUTO_TEST_CASE(WithdrawnRequestIsNotGranted) {
  Fixture fixture(1);
  fixture.fill();
  fixture.offer(fixture.entry(1));
  fixture.offer(fixture.entry(2));
  BOOST_TEST(fixture.queue.withdraw(1));
  BOOST_TEST(!fixture.queue.withdraw(1));
  fixture.pass(seconds(1));
  BOOST_TEST(fixture.next() == 2U);
}

BOOST_AUTO_TEST_CASE(ClearReturnsAllInOrder) {
  Fixture fixture(4);
  fixture.fill();
  fixture.offer(fixture.entry(1, 2));
  fixture.offer(fixture.entry(2, 0));
  const std::vector<QueueEntry> entries = fixture.queue.clear();
  BOOST_REQUIRE(entries.size() == 2U);
  BOOST_TEST(entries[0].id == 2U);
  BOOST_TEST(fixture.queue.size() == 0U);
}

BOOST_AUTO_TEST_CASE(RepeatedOfferOfAQueuedIdIsNotDuplicated) {
  Fixture fixture(1);
  fixture.fill();
  fixture.offer(fixture.entry(1));
  BOOST_TEST((fixture.offer(fixture.entry(1, 3), false).verdict == QueueVerdict::kQueued));
  BOOST_TEST(fixture.queue.size() == 1U);
}

BOOST_AUTO_TEST_CASE(InvalidInputIsTolerated) {
  Fixture fixture(1, 1000);
  QueueEntry large = fixture.entry(1, 0, 1, std::numeric_limits<std::uint32_t>::max());
  BOOST_TEST((fixture.offer(large).verdict == QueueVerdict::kRefused));
  QueueEntry extreme = fixture.entry(2, std::numeric_limits<std::uint32_t>::max());
  extreme.arrivedAt = TimePoint::min();
  extreme.softStartDeadline = TimePoint::max();
  extreme.hardStartDeadline = TimePoint::min();
  extreme.cost.runTime = Duration::min();
  extreme.weight = 0;
  BOOST_TEST((fixture.queue.offer(extreme, fixture.replica, true, fixture.now).verdict ==
              QueueVerdict::kGranted));
  fixture.fill();
  extreme.id = 3;
  extreme.arrivedAt = TimePoint::max();
  extreme.cost.runTime = Duration::max();
  BOOST_TEST((fixture.queue.offer(extreme, fixture.replica, true, fixture.now).verdict ==
              QueueVerdict::kQueued));
  fixture.now -= seconds(50);
  fixture.offer(fixture.entry(4));
  fixture.queue.removeExpired(fixture.replica, fixture.now);
  BOOST_TEST(fixture.queue.size() <= 2U);
}

BOOST_AUTO_TEST_CASE(UnknownReplicaGrantsWhatFits) {
  struct Unknown : ReplicaCapacity {
    bool fits(const QueueEntry& /*entry*/, bool /*onTime*/) const override { return true; }
    std::uint32_t slots() const override { return 0; }
    std::uint32_t slotsInUse() const override { return 0; }
    std::uint64_t memory() const override { return 0; }
    std::uint64_t memoryInUse() const override { return 0; }
    Duration meanRunTime() const override { return Duration::zero(); }
  } unknown;
  Fixture fixture;
  for (std::uint64_t id = 1; id <= 50; ++id) {
    QueueEntry entry = fixture.entry(id, id % 3);
    entry.cost.runTime = Duration::zero();
    BOOST_TEST(
        (fixture.queue.offer(entry, unknown, true, fixture.now).verdict == QueueVerdict::kGranted));
  }
}

/// Random calls: each request ends exactly once, as granted, refused, withdrawn or cleared. The
/// limits on entries and capacity hold.
BOOST_AUTO_TEST_CASE(EachRequestEndsOnce) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    base::SeededRandom random(seed);
    Fixture fixture(6, 9000, {12, milliseconds(1000)});
    std::set<std::uint64_t> waiting;
    const auto ends = [&](std::uint64_t id) { BOOST_TEST(waiting.erase(id) == 1U); };
    for (std::uint64_t step = 1; step <= 3000; ++step) {
      fixture.pass(milliseconds(random.below(120)));
      while (const std::uint64_t id = fixture.next()) ends(id);
      for (const QueueRefusal& each : fixture.queue.removeExpired(fixture.replica, fixture.now)) {
        BOOST_TEST(each.retryAfter.count() >= 0);
        ends(each.id);
      }
      QueueEntry entry = fixture.entry(step, random.below(4), random.below(6), random.below(10000));
      entry.softStartDeadline = fixture.now + milliseconds(random.below(3000)) - milliseconds(300);
      entry.cost.runTime = milliseconds(random.below(2000));
      const OfferResult offer = fixture.offer(entry, random.below(4) != 0);
      BOOST_TEST(offer.wait.count() >= 0);
      if (offer.verdict == QueueVerdict::kQueued) waiting.insert(step);
      const std::uint64_t other = random.below(step) + 1;
      if (random.below(10) == 0 && fixture.queue.withdraw(other)) ends(other);
      if (random.below(500) == 0) {
        for (const QueueEntry& each : fixture.queue.clear()) ends(each.id);
        BOOST_TEST(waiting.empty());
      }
      BOOST_TEST(fixture.queue.size() <= 12U);
      BOOST_TEST(fixture.replica.slotsInUse() <= 6U);
      BOOST_TEST(fixture.replica.memoryInUse() <= 9000U);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::admission
