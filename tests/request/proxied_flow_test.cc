// Tests proxied requests: which methods may be retried, claims, and responses that belong to other
// requests.
#include <boost/test/unit_test.hpp>

#include "request/fakes.h"

namespace covewing::request {

using base::ResultCode;
using clients::DispatchFailure;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Behaviour = FakeTable::Behaviour;

BOOST_FIXTURE_TEST_SUITE(ProxiedFlowTest, RequestFixture)

BOOST_AUTO_TEST_CASE(IdempotentMethodIsRetriedAfterAnUnknownOutcome) {
  const auto active = proxy("GET");
  applications.calls.back().fail(DispatchFailure::kOutcomeUnknown, ResultCode::kBackEndLost);
  time.advance(milliseconds(50));
  BOOST_REQUIRE(applications.calls.size() == 2);
  BOOST_TEST(applications.calls.back().backEnd.name == "replica-b");
  applications.calls.back().respond();
  BOOST_TEST(proxiedSink.response.has_value());
}

BOOST_AUTO_TEST_CASE(NotRepeatableMethodIsSentOnce) {
  const auto active = proxy("POST");
  applications.calls.back().fail(DispatchFailure::kOutcomeUnknown, ResultCode::kBackEndTimeout);
  time.advance(seconds(20));
  BOOST_TEST(applications.calls.size() == 1U);
  BOOST_REQUIRE(proxiedSink.refused.has_value());
  BOOST_TEST((proxiedSink.refused->outcome == Outcome::kUnknown));
}

BOOST_AUTO_TEST_CASE(NonIdempotentMethodIsSentOnceEvenIfNotMarked) {
  configuration.tenant->applications.front().notRepeatableMethods.clear();
  const auto active = proxy("POST");
  applications.calls.back().fail(DispatchFailure::kOutcomeUnknown, ResultCode::kBackEndLost);
  time.advance(seconds(1));
  BOOST_TEST(applications.calls.size() == 1U);
}

BOOST_AUTO_TEST_CASE(ResponseToAnotherRequestIsNeverDelivered) {
  const auto active = proxy("POST");
  applications.calls.back().respond(base::RequestId{"somebody-else"});
  BOOST_TEST(!proxiedSink.response.has_value());
  BOOST_REQUIRE(proxiedSink.refused.has_value());
  BOOST_TEST((proxiedSink.refused->outcome == Outcome::kUnknown));
}

BOOST_AUTO_TEST_CASE(ResponseAfterTheDeadlineIsDropped) {
  configuration.tenant->deadline = milliseconds(200);
  const auto active = proxy("POST");
  time.advance(milliseconds(300));
  BOOST_REQUIRE(proxiedSink.refused.has_value());
  applications.calls.back().respond();
  BOOST_TEST(!proxiedSink.response.has_value());
}

BOOST_AUTO_TEST_CASE(ClaimPrecedesDispatch) {
  const auto active = proxy("POST", "payment-1");
  BOOST_TEST(table.rows.size() == 1U);
  BOOST_REQUIRE(applications.calls.size() == 1);
  applications.calls.back().respond();
  BOOST_TEST(proxiedSink.response.has_value());
  BOOST_TEST(table.rows.size() == 1U);
}

BOOST_AUTO_TEST_CASE(SecondRequestWithTheKeyIsRefused) {
  const auto first = proxy("POST", "payment-1");
  applications.calls.back().respond();
  const auto second = proxy("POST", "payment-1");
  BOOST_TEST(applications.calls.size() == 1U);
  BOOST_REQUIRE(proxiedSink.refused.has_value());
  BOOST_TEST((proxiedSink.refused->reason.code == ResultCode::kDuplicateRequest));
  BOOST_TEST((proxiedSink.refused->outcome == Outcome::kNotRun));
}

BOOST_AUTO_TEST_CASE(NotDispatchedWithoutAClaim) {
  table.defaultBehaviour = Behaviour::kUnavailable;
  const auto active = proxy("POST", "payment-1");
  time.advance(seconds(3));
  BOOST_TEST(applications.calls.empty());
  BOOST_REQUIRE(proxiedSink.refused.has_value());
  BOOST_TEST((proxiedSink.refused->reason.code == ResultCode::kClaimUnavailable));
  BOOST_TEST((proxiedSink.refused->outcome == Outcome::kNotRun));
}

BOOST_AUTO_TEST_CASE(ClaimOfARequestThatDidNotRunIsReleased) {
  admission.retries = 0;
  const auto active = proxy("POST", "payment-1");
  applications.calls.back().fail(DispatchFailure::kRefusedNotRun, ResultCode::kBackEndRefused);
  time.advance(milliseconds(5));
  BOOST_TEST((proxiedSink.refused->outcome == Outcome::kNotRun));
  BOOST_TEST(table.rows.empty());
}

BOOST_AUTO_TEST_CASE(ClaimOfARequestThatMayHaveRunIsKept) {
  const auto active = proxy("POST", "payment-1");
  applications.calls.back().fail(DispatchFailure::kOutcomeUnknown, ResultCode::kBackEndLost);
  time.advance(seconds(1));
  BOOST_TEST(table.rows.size() == 1U);
}

BOOST_AUTO_TEST_CASE(DisconnectDuringTheClaimReleasesIt) {
  table.latency = milliseconds(20);
  auto active = proxy("POST", "payment-1");
  BOOST_TEST(table.rows.size() == 1U);
  active.reset();
  time.advance(milliseconds(100));
  BOOST_TEST(applications.calls.empty());
  BOOST_TEST(table.rows.empty());
}

BOOST_AUTO_TEST_CASE(LongestMatchingPathApplies) {
  ProxiedRequest request;
  request.bearerKey = "key";
  request.method = "POST";
  request.target = "/standings/draft/1";
  base::Reason reason;
  const auto plan = checkProxied({configuration, fleet, zones}, request, reason);
  BOOST_REQUIRE(plan.has_value());
  BOOST_TEST(plan->application == "drafts");
  BOOST_TEST(!plan->notRepeatable);
  request.target = "/standingsx";
  BOOST_TEST(!checkProxied({configuration, fleet, zones}, request, reason).has_value());
  BOOST_TEST((reason.code == ResultCode::kUnknownPath));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::request
