// Rate limit of a replica as derived from responses that overtake each other.
#include "routing/instance_rate_limit.h"

#include <boost/test/unit_test.hpp>

namespace covewing::routing {

using clients::RateLimitNotice;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr base::TimePoint kStart{std::chrono::seconds(100)};

struct LimitFixture {
  /// A response whose request was sent, and which was read, at these times after the start.
  bool respond(const RateLimitNotice& notice, milliseconds sent, milliseconds read) {
    return limit.update({notice, kStart + sent, kStart + read});
  }

  InstanceRateLimit limit;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(RunRateLimitTest, LimitFixture)

BOOST_AUTO_TEST_CASE(LimitAppliesFromTheFirstResponseThatReportsIt) {
  BOOST_TEST(!limit.perSecond().has_value());
  BOOST_TEST(respond(RateLimitNotice::of(2), milliseconds(0), milliseconds(10)));
  BOOST_TEST(limit.perSecond().value() == 2.0);
  BOOST_TEST(!respond(RateLimitNotice::of(2), milliseconds(20), milliseconds(30)));
}

BOOST_AUTO_TEST_CASE(OvertakenResponseDoesNotEndALimit) {
  respond(RateLimitNotice::of(2), milliseconds(50), milliseconds(60));
  BOOST_TEST(!respond(RateLimitNotice::unlimited(), milliseconds(0), milliseconds(100)));
  BOOST_TEST(limit.perSecond().value() == 2.0);
  // This request was sent after the latest response that reported the limit had been read.
  respond(RateLimitNotice::of(2), milliseconds(70), milliseconds(200));
  BOOST_TEST(!respond(RateLimitNotice::unlimited(), milliseconds(150), milliseconds(300)));
  BOOST_TEST(respond(RateLimitNotice::unlimited(), milliseconds(210), milliseconds(310)));
  BOOST_TEST(!limit.perSecond().has_value());
}

BOOST_AUTO_TEST_CASE(LowerLimitAppliesAtOnceAndAHigherOneFromALaterRequest) {
  respond(RateLimitNotice::of(5), milliseconds(50), milliseconds(60));
  BOOST_TEST(respond(RateLimitNotice::of(1), milliseconds(0), milliseconds(70)));
  BOOST_TEST(!respond(RateLimitNotice::of(5), milliseconds(65), milliseconds(80)));
  BOOST_TEST(limit.perSecond().value() == 1.0);
  BOOST_TEST(respond(RateLimitNotice::of(5), milliseconds(75), milliseconds(90)));
}

BOOST_AUTO_TEST_CASE(LimitsDoNotExpire) {
  respond(RateLimitNotice::of(1), milliseconds(0), milliseconds(10));
  BOOST_TEST(!respond({}, std::chrono::hours(1), std::chrono::hours(1)));
  BOOST_TEST(limit.perSecond().value() == 1.0);
  BOOST_TEST((limit.known(kStart + seconds(5)).age == milliseconds(4990)));
}

BOOST_AUTO_TEST_CASE(OlderReportOfAnotherNodeIsIgnored) {
  respond(RateLimitNotice::of(1), milliseconds(0), milliseconds(10));
  respond(RateLimitNotice::unlimited(), milliseconds(1000), milliseconds(1010));
  const auto now = kStart + seconds(5);
  BOOST_TEST(!limit.update(evidenceOf({RateLimitNotice::of(1), milliseconds(4500)}, now)));
  BOOST_TEST(!limit.perSecond().has_value());
  BOOST_TEST(limit.update(evidenceOf({RateLimitNotice::of(1), milliseconds(3000)}, now)));
  // The message may have been in transit for some time.
  BOOST_TEST(!limit.update(evidenceOf({RateLimitNotice::unlimited(), milliseconds(2950)}, now)));
  BOOST_TEST(limit.update(evidenceOf({RateLimitNotice::unlimited(), milliseconds(2000)}, now)));
}

BOOST_AUTO_TEST_CASE(InstanceWithoutALimitReportsNothing) {
  respond(RateLimitNotice::unlimited(), milliseconds(0), milliseconds(10));
  BOOST_TEST((limit.known(kStart).notice.kind == RateLimitNotice::Kind::kNothing));
}

BOOST_AUTO_TEST_CASE(UnreadableLimitIsRecordedOnce) {
  BOOST_TEST(limit.recordUnreadable());
  BOOST_TEST(!limit.recordUnreadable());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::routing
