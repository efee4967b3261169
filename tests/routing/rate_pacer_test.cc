// Number of requests that a replica's home lets pass for the rate that the replica reports.
#include "routing/rate_pacer.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

#include "base/random.h"

namespace covewing::routing {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct PacerFixture {
  /// Requests arrive every few milliseconds and pass when they may.
  std::size_t pass(base::Duration span) {
    std::size_t count = 0;
    for (const auto end = now + span; now < end; now += milliseconds(5)) {
      if (!pacer.mayPass(now)) continue;
      pacer.onPassed(now);
      passed.push_back(now);
      ++count;
    }
    return count;
  }
  std::size_t maximumIn(base::Duration window) const {
    std::size_t maximum = 0;
    for (std::size_t last = 0; last < passed.size(); ++last) {
      const auto first = std::ranges::lower_bound(passed, passed[last] - window);
      maximum = std::max(maximum, last + 1 - static_cast<std::size_t>(first - passed.begin()));
    }
    return maximum;
  }

  RatePacer pacer;
  base::TimePoint now{seconds(100)};
  std::vector<base::TimePoint> passed;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(RatePacerTest, PacerFixture)

BOOST_AUTO_TEST_CASE(AllPassWithoutALimit) {
  BOOST_TEST(pass(seconds(1)) == 200U);
  BOOST_TEST(!pacer.limited());
}

BOOST_AUTO_TEST_CASE(NearlyTheFullRateIsUsed) {
  for (const double rate : {0.5, 1.0, 7.0, 20.0}) {
    pacer.setRate(rate, now);
    const auto count = static_cast<double>(pass(seconds(60)));
    BOOST_TEST(count >= 0.97 * rate * 60, rate);
    BOOST_TEST(count <= rate * 60 + rate / 4 + 1, rate);
    pacer.setRate(std::nullopt, now);
  }
}

BOOST_AUTO_TEST_CASE(NewLimitStartsWithOneRequestAndNoCredit) {
  pass(seconds(1));
  pacer.setRate(20, now);
  BOOST_TEST(pass(milliseconds(45)) == 1U);
}

BOOST_AUTO_TEST_CASE(UnusedRateIsCreditedBriefly) {
  pacer.setRate(20, now);
  pass(seconds(1));
  now += seconds(10);
  // A quarter of a second's worth of the rate, one request, and one for the time that passes.
  BOOST_TEST(pass(milliseconds(50)) <= 7U);
}

BOOST_AUTO_TEST_CASE(CreditOfAHigherRateIsLostUnderALowerOne) {
  pacer.setRate(20, now);
  pass(seconds(1));
  now += seconds(10);
  pacer.setRate(1, now);
  BOOST_TEST(pass(milliseconds(700)) == 1U);
}

BOOST_AUTO_TEST_CASE(HigherRateAppliesAtOnce) {
  pacer.setRate(0.1, now);
  BOOST_TEST(pass(seconds(1)) == 1U);
  pacer.setRate(10, now);
  BOOST_TEST(pass(seconds(1)) >= 9U);
}

BOOST_AUTO_TEST_CASE(ReplicaWithZeroRateIsProbedOccasionally) {
  pacer.setRate(0, now);
  BOOST_TEST(pass(seconds(60)) == 6U);
}

BOOST_AUTO_TEST_CASE(UnsentRequestReturnsItsShareOfTheRate) {
  pacer.setRate(1, now);
  BOOST_TEST(pass(milliseconds(100)) == 1U);
  BOOST_TEST(!pacer.mayPass(now));
  pacer.onNotSent();
  BOOST_TEST(pacer.mayPass(now));
}

// Guards against polls of a replica's cache events that take the place of requests: at a low rate a
// single one kept the replica below the rate that it reports.
BOOST_AUTO_TEST_CASE(RareControlCallDelaysNoRequest) {
  pacer.setRate(0.6, now);
  BOOST_TEST(pass(seconds(1)) == 1U);
  pacer.onControlCall(now);
  BOOST_TEST(pass(seconds(8)) == 5U);
  now += seconds(20);
  pass(seconds(1));
  pacer.onControlCall(now);
  BOOST_TEST(pass(seconds(8)) == 5U);
}

// Guards against a replica that gets its whole rate in requests and many control calls besides.
BOOST_AUTO_TEST_CASE(FrequentControlCallsTakeTheirShareOfTheRate) {
  constexpr double kRate = 5;
  pacer.setRate(kRate, now);
  for (int second = 0; second < 60; ++second) {
    pass(milliseconds(500));
    pacer.onControlCall(now);
    passed.push_back(now);
    pass(milliseconds(500));
    pacer.onControlCall(now);
    passed.push_back(now);
  }
  BOOST_TEST(static_cast<double>(maximumIn(seconds(4))) <= 4.75 * kRate + 3);
}

BOOST_AUTO_TEST_CASE(NoWindowExceedsTheRateByMuch) {
  base::SeededRandom random(11);
  for (int run = 0; run < 50; ++run) {
    const double rate = 0.2 + random.unit() * 20;
    pacer = {};
    passed.clear();
    pacer.setRate(rate, now);
    for (int step = 0; step < 20; ++step) {
      pass(milliseconds(static_cast<std::int64_t>(random.below(2000))));
      now += milliseconds(static_cast<std::int64_t>(random.below(1500)));
    }
    BOOST_TEST(static_cast<double>(maximumIn(seconds(4))) <= 4.25 * rate + 2, rate);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::routing
