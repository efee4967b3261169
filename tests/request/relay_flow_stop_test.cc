// Tests what becomes of relayed requests while their node stops as planned.
#include <boost/test/unit_test.hpp>

#include "relay_fixture.h"

namespace covewing::request {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr unsigned kServiceUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;

struct StoppingFixture : RelayFixture {
  /// All replicas of the application want no requests for `span`.
  void restAll(base::Duration span) {
    for (const char* name : {"a", "b", "c"})
      replicas.find(name)->notices().startBackOff(time.now() + span);
  }
  /// The replicas of the application answer requests on this path after `took` each.
  void serve(const std::string& path, base::Duration took) {
    constexpr int kRequests = 8;
    for (int count = 0; count < kRequests; ++count) {
      tables.confirmed = time.now();
      request(path);
      time.advance(took);
      client.last().respond(200, "done");
    }
  }
  /// The node gives its last responses so long from now.
  void stopWithin(base::Duration left) { service.stopBy(time.now() + left); }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(RelayFlowStopTest, StoppingFixture)

// Guards against a request that waits until the process ends and is closed without an answer.
BOOST_AUTO_TEST_CASE(RequestThatWaitsLongerThanItsNodeLastsIsRefusedAtOnce) {
  restAll(milliseconds(1500));
  auto& caller = request("unsafe");
  BOOST_TEST(caller.open());
  stopWithin(seconds(1));
  BOOST_REQUIRE(caller.refusal.has_value());
  BOOST_TEST(caller.refusal->status == kServiceUnavailable);
  BOOST_TEST(caller.refusal->closeConnection);
  BOOST_TEST((caller.refusal->retryAfter > milliseconds(0)));
  BOOST_TEST(client.sent.empty());
}

// Guards against a refusal of a request that can still be served by the stopping node.
BOOST_AUTO_TEST_CASE(RequestWhoseWaitEndsInTimeIsServed) {
  restAll(milliseconds(300));
  auto& caller = request("unsafe");
  stopWithin(seconds(2));
  BOOST_TEST(caller.open());
  time.advance(milliseconds(310));
  BOOST_REQUIRE(client.sent.size() == 1U);
  client.last().respond(200, "done");
  BOOST_TEST(caller.body == "done");
}

// Guards against a request that is sent to a replica though its answer would come behind the end of
// the node, so that it could not be repeated elsewhere.
BOOST_AUTO_TEST_CASE(RequestIsNotSentIfItsAnswerUsuallyTakesLongerThanTheNodeLasts) {
  serve("unsafe", milliseconds(900));
  const auto sent = client.sent.size();
  stopWithin(milliseconds(800));
  auto& caller = request("unsafe");
  BOOST_REQUIRE(caller.refusal.has_value());
  BOOST_TEST(caller.refusal->status == kServiceUnavailable);
  BOOST_TEST(client.sent.size() == sent);
}

BOOST_AUTO_TEST_CASE(RetryIsNotSentIfItsAnswerUsuallyTakesLongerThanTheNodeLasts) {
  serve("safe", milliseconds(300));
  auto& caller = request("safe");
  const auto sent = client.sent.size();
  stopWithin(milliseconds(250));
  client.last().refuseNotExecuted();
  BOOST_TEST(client.sent.size() == sent);
  BOOST_REQUIRE(caller.refusal.has_value());
  BOOST_TEST(caller.refusal->status == kServiceUnavailable);
}

// Guards against a promise that a request was not run while a replica may be at work on it.
BOOST_AUTO_TEST_CASE(RequestAtAReplicaIsGivenUpWithoutAPromiseWhenTheNodeEnds) {
  auto& caller = request("unsafe");
  stopWithin(seconds(1));
  BOOST_TEST(caller.open());
  time.advance(seconds(1));
  service.endRequests();
  BOOST_REQUIRE(caller.refusal.has_value());
  BOOST_TEST(caller.refusal->status == kGatewayTimeout);
  BOOST_TEST(!client.last().open);
  BOOST_TEST(service.openRequests() == 0U);
}

BOOST_AUTO_TEST_CASE(RequestThatItsReplicaRefusesAtTheEndIsReportedAsNotRun) {
  auto& caller = request("unsafe");
  stopWithin(seconds(1));
  client.last().head(kServiceUnavailable, /*notExecuted=*/true);
  service.endRequests();
  BOOST_REQUIRE(caller.refusal.has_value());
  BOOST_TEST(caller.refusal->status == kServiceUnavailable);
}

// Guards against a stream that stays open until the process ends: its caller could not tell where
// it broke, and would learn of it late.
BOOST_AUTO_TEST_CASE(StreamIsBrokenOffWhenTheNodeEnds) {
  auto& caller = request("resumable");
  client.last().head(200);
  client.last().handler->onBody("id: 1\ndata: begun\n\n");
  stopWithin(seconds(1));
  BOOST_TEST(caller.open());
  service.endRequests();
  BOOST_TEST(caller.aborted);
  BOOST_TEST(!caller.ended);
}

// Guards against a wait for the tenant's limit that outlasts the node.
BOOST_AUTO_TEST_CASE(NothingIsOpenOnceAllRequestsHaveEnded) {
  restAll(seconds(10));
  request("safe");
  request("once");
  request("resumable");
  stopWithin(seconds(1));
  service.endRequests();
  BOOST_TEST(service.openRequests() == 0U);
  for (const auto& view : views) BOOST_TEST(view->finals == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::request
