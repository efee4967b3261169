// Which era of the table service a node knows, and for how long rows by others may be missing.
#include "config/store_eras.h"

#include <boost/test/unit_test.hpp>

#include "support/recording_log.h"
#include "support/virtual_time.h"

namespace covewing::config {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct ErasFixture {
  ErasFixture() {
    time.advance(seconds(10));
    eras.onReturn([this](const StoreReturn& what) { returns.push_back(what); });
  }
  test_support::VirtualTime time;
  test_support::RecordingLog log;
  StoreEras eras{time, log};
  std::vector<StoreReturn> returns;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(StoreErasTest, ErasFixture)

BOOST_AUTO_TEST_CASE(FirstEraIsNoReturn) {
  BOOST_TEST(eras.note(7, "an answer"));
  BOOST_TEST(returns.empty());
  BOOST_TEST(!eras.writingAgain());
  BOOST_TEST(eras.current() == 7U);
}

BOOST_AUTO_TEST_CASE(RiseIsAReturnOnce) {
  eras.note(0, "an answer");
  BOOST_TEST(eras.note(1, "an answer"));
  BOOST_TEST(eras.note(1, "another node"));
  BOOST_REQUIRE(returns.size() == 1U);
  BOOST_TEST(returns.front().former == 0U);
  BOOST_TEST(returns.front().now == 1U);
  BOOST_TEST(log.count(base::Event::kStoreReturned) == 1U);
  BOOST_TEST(eras.writingAgain());
  time.advance(kWrittenAgainWithin);
  BOOST_TEST(!eras.writingAgain());
}

BOOST_AUTO_TEST_CASE(LowerEraIsOfAHistoryThatHasEnded) {
  eras.note(2, "an answer");
  BOOST_TEST(!eras.note(1, "a late answer"));
  BOOST_TEST(eras.current() == 2U);
  BOOST_TEST(returns.empty());
}

BOOST_AUTO_TEST_CASE(SecondReturnBeginsTheTimeAnew) {
  eras.note(0, "an answer");
  eras.note(1, "an answer");
  time.advance(kWrittenAgainWithin - milliseconds(100));
  eras.note(2, "an answer");
  time.advance(milliseconds(200));
  BOOST_TEST(eras.writingAgain());
}

BOOST_AUTO_TEST_CASE(ReturnThatOthersNoticedJustNowCountsForANodeThatHasJustStarted) {
  eras.note(1, "an answer");
  eras.onReturnTold(milliseconds(500));
  BOOST_TEST(eras.writingAgain());
  time.advance(milliseconds(1500));
  BOOST_TEST(!eras.writingAgain());
}

BOOST_AUTO_TEST_CASE(ReturnLongAgoDoesNot) {
  eras.note(1, "an answer");
  eras.onReturnTold(kWrittenAgainWithin);
  BOOST_TEST(!eras.writingAgain());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::config
