// What a copy of a table can tell others.
#include "config/table_copy.h"

#include <boost/test/unit_test.hpp>

#include "config/service_clock.h"

namespace covewing::config {

using clients::FeedRow;
using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(TableCopyTest)

BOOST_AUTO_TEST_CASE(NothingIsToldBeforeTheFirstWholeCopy) {
  const TableCopy copy;
  BOOST_TEST(!copy.changesAfter(0).has_value());
  BOOST_TEST(!copy.revision().has_value());
}

BOOST_AUTO_TEST_CASE(ChangesBeforeTheFirstCopyAreUnknown) {
  TableCopy copy;
  copy.replace({{"a", "1", 3}}, 10);
  BOOST_TEST(!copy.changesAfter(9).has_value());
  BOOST_REQUIRE(copy.changesAfter(10).has_value());
  BOOST_TEST(copy.changesAfter(10)->empty());
}

BOOST_AUTO_TEST_CASE(ChangesAndRemovalsAreToldInOrder) {
  TableCopy copy;
  copy.replace({{"a", "1", 3}, {"b", "1", 4}}, 10);
  copy.apply({{"c", "1", 11}, {"a", std::nullopt, 12}, {"b", "2", 13}}, 13);
  const auto changes = copy.changesAfter(11);
  BOOST_REQUIRE(changes.has_value());
  BOOST_REQUIRE(changes->size() == 2U);
  BOOST_TEST(changes->front().key == "a");
  BOOST_TEST(!changes->front().value.has_value());
  BOOST_TEST(changes->back().value.value() == "2");
  BOOST_TEST(copy.all().size() == 2U);
}

BOOST_AUTO_TEST_CASE(RowThatALaterWholeCopyLacksIsToldAsRemoved) {
  TableCopy copy;
  copy.replace({{"a", "1", 3}, {"b", "1", 4}}, 10);
  copy.replace({{"b", "1", 4}}, 20);
  const auto changes = copy.changesAfter(10);
  BOOST_REQUIRE(changes.has_value());
  BOOST_REQUIRE(changes->size() == 1U);
  BOOST_TEST(changes->front().key == "a");
  BOOST_TEST(!changes->front().value.has_value());
}

BOOST_AUTO_TEST_CASE(OlderStateOfARowIsPassedOver) {
  TableCopy copy;
  copy.replace({{"a", "new", 9}}, 9);
  copy.apply({{"a", "old", 7}}, 9);
  BOOST_TEST(copy.all().front().value.value() == "new");
}

BOOST_AUTO_TEST_CASE(ForgottenRemovalsMakeOlderQuestionsUnanswerable) {
  TableCopy copy(1);
  copy.replace({{"a", "1", 1}, {"b", "1", 2}}, 10);
  copy.apply({{"a", std::nullopt, 11}, {"b", std::nullopt, 12}}, 12);
  BOOST_TEST(!copy.changesAfter(10).has_value());
  BOOST_REQUIRE(copy.changesAfter(11).has_value());
  BOOST_TEST(copy.changesAfter(11)->size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ServiceClockTest)

namespace {

/// The service's clock is 500 s ahead of this node's.
base::Duration serviceAt(base::TimePoint moment) {
  return moment.time_since_epoch() + seconds(500);
}

constexpr base::TimePoint kStart{seconds(100)};
constexpr base::Duration kHold = milliseconds(800);

}  // namespace

BOOST_AUTO_TEST_CASE(FirstAnswerProvesNoMoreThanTheSendingOfItsCall) {
  ServiceClock clock;
  const auto made =
      clock.madeAt(serviceAt(kStart + milliseconds(900)), kStart, kHold, kStart + seconds(1));
  BOOST_TEST((made == kStart));
}

BOOST_AUTO_TEST_CASE(HeldCallProvesUntilWhenItWasHeldOnceAQuickOneBoundsTheClock) {
  ServiceClock clock;
  clock.madeAt(serviceAt(kStart + milliseconds(2)), kStart, kHold, kStart + milliseconds(4));
  const auto sent = kStart + seconds(1);
  const auto made =
      clock.madeAt(serviceAt(sent + milliseconds(802)), sent, kHold, sent + seconds(2));
  BOOST_TEST((made == sent + milliseconds(800)));
}

BOOST_AUTO_TEST_CASE(AnswerThatWasUnderWayForLongProvesOnlyWhenItWasMade) {
  ServiceClock clock;
  clock.madeAt(serviceAt(kStart + milliseconds(2)), kStart, kHold, kStart + milliseconds(4));
  const auto sent = kStart + seconds(1);
  const auto made =
      clock.madeAt(serviceAt(sent + milliseconds(3)), sent, kHold, sent + seconds(30));
  BOOST_TEST((made == sent + milliseconds(1)));
}

BOOST_AUTO_TEST_CASE(ProofIsNeverLaterThanTheArrivalNorEarlierThanTheSending) {
  ServiceClock clock;
  clock.madeAt(serviceAt(kStart), kStart, kHold, kStart);
  const auto sent = kStart + seconds(1);
  const auto arrived = sent + milliseconds(10);
  const auto late = serviceAt(arrived + milliseconds(5));
  BOOST_TEST((clock.madeAt(late, sent, kHold, arrived) == arrived));
  BOOST_TEST((clock.madeAt(seconds(1), sent, kHold, arrived) == sent));
}

// Its clock has leapt ahead of the node's: how long the answer was under way cannot be told.
BOOST_AUTO_TEST_CASE(AnswerFromTheFutureProvesNoMoreThanTheSendingOfItsCall) {
  ServiceClock clock;
  clock.madeAt(serviceAt(kStart), kStart, kHold, kStart);
  const auto sent = kStart + seconds(1);
  const auto arrived = sent + milliseconds(10);
  BOOST_TEST((clock.madeAt(serviceAt(sent) + seconds(60), sent, kHold, arrived) == sent));
  BOOST_TEST(clock.needsQuickCall(arrived));
}

BOOST_AUTO_TEST_CASE(AnswerIsNotMadeLaterThanItsCallMayBeHeld) {
  ServiceClock clock;
  clock.madeAt(serviceAt(kStart), kStart, kHold, kStart);
  const auto sent = kStart + seconds(1);
  const auto made = clock.madeAt(serviceAt(sent + seconds(5)), sent, kHold, sent + seconds(7));
  BOOST_TEST((made == sent + kHold));
}

BOOST_AUTO_TEST_CASE(BoundIsForgottenAfterTwoWindows) {
  ServiceClock clock(seconds(5));
  clock.madeAt(serviceAt(kStart), kStart, kHold, kStart);
  auto sent = kStart + seconds(6);
  clock.madeAt(serviceAt(sent + milliseconds(50)), sent, kHold, sent + milliseconds(60));
  sent += seconds(6);
  // Only calls of 50 ms and more bound the clock now.
  const auto made =
      clock.madeAt(serviceAt(sent + milliseconds(50)), sent, kHold, sent + milliseconds(60));
  BOOST_TEST((made == sent));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::config
