// Whom polls for cache events name as their receiver, and whose responses are used.
#include "platform/cache_events_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include "live/http_server.h"
#include "live/http_test_client.h"
#include "platform/replica_instance.h"
#include "platform/weights_order_client.h"

namespace covewing::platform {

namespace {

constexpr std::uint64_t kStart = 1'764'720'000'000;

struct FeedFixture {
  FeedFixture() {
    base::Reason reason;
    address = server.listen({live::kLoopback, 0}, reason).value();
  }

  void handle(const live::HttpExchangePtr& exchange) {
    request = exchange->request();
    identifiers.emplace_back(request.header("X-Covewing-Request-Id"));
    if (!responds) {
      held = exchange;
      held->onDisconnect([this] { disconnected = true; });
      return;
    }
    exchange->respond({status, headers, body});
  }

  clients::ReplicaTarget replica() const { return {instanceName("i-1", kStart), address}; }
  clients::CacheStoreTarget store() const { return clients::CacheStoreTarget{address}; }

  clients::CacheFeedReply poll(const clients::CacheFeedTarget& target) {
    std::optional<clients::CacheFeedReply> reply;
    const auto call = client.poll(target, 0, std::chrono::milliseconds(10),
                                  [&](const clients::CacheFeedReply& one) { reply = one; });
    live::runUntil(context, [&] { return reply.has_value(); });
    return *reply;
  }

  boost::asio::io_context context{1};
  live::HttpRequest request;
  std::vector<std::string> identifiers;
  unsigned status = 200;
  std::vector<live::HeaderField> headers;
  std::string body = R"({"epoch":7,"next_page_token":2,"lost":false,
                         "events":[[1,"+","salt","aa",50,"m"]]})";
  bool responds = true;
  bool disconnected = false;
  live::HttpExchangePtr held;
  live::HttpServer server{
      context, {}, [this](const live::HttpExchangePtr& exchange) { handle(exchange); }};
  base::Endpoint address;
  live::HttpClient http{context, limits()};
  CallIds callIds{"node-7", 0x19};
  CacheEventsClient client{http, callIds};

  static live::HttpClientLimits limits() {
    live::HttpClientLimits limits;
    limits.requestIdHeader = "X-Covewing-Request-Id";
    limits.skipMismatchedResponses = true;
    limits.acceptsUnnamedResponses = true;
    return limits;
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(CacheEventsClientTest, FeedFixture)

// Guards against polls that a replica of another service runs as a request: it has the address of a
// replica that has ended.
BOOST_AUTO_TEST_CASE(PollNamesTheInstanceThatItIsMeantFor) {
  const auto reply = poll(replica());
  BOOST_TEST(request.header("X-Covewing-Expected-Instance") == "i-1");
  BOOST_TEST((reply.status == clients::CacheFeedStatus::kOk));
  BOOST_TEST(reply.events.size() == 1U);
}

// Guards against polls that a replica runs at the former address of a store: a store has no
// instance to name, and a replica rejects what names no request.
BOOST_AUTO_TEST_CASE(PollOfAStoreNamesNoRequest) {
  const auto reply = poll(store());
  BOOST_TEST(request.header("X-Covewing-Request-Id").empty());
  BOOST_TEST(request.header("X-Covewing-Expected-Instance").empty());
  BOOST_TEST((reply.status == clients::CacheFeedStatus::kOk));
}

// Guards against cache contents and notices that another replica reports being taken for those of
// the replica that was polled.
BOOST_AUTO_TEST_CASE(NothingThatAnotherInstanceReportsIsUsed) {
  headers = {{"X-Covewing-Instance-Id", "i-2"}, {"Server-Leaving", "1"}, {"Server-Limit", "3"}};
  const auto reply = poll(replica());
  BOOST_TEST((reply.status == clients::CacheFeedStatus::kOtherInstance));
  BOOST_TEST(reply.events.empty());
  BOOST_TEST(!reply.leaving);
  BOOST_TEST(!reply.rateLimit.limited());
  BOOST_TEST(reply.responder.name == "i-2");
}

BOOST_AUTO_TEST_CASE(RejectionByAnotherInstanceIsReportedWithTheIdentifierOfTheCall) {
  status = 421;
  headers = {};
  const auto reply = poll(replica());
  BOOST_TEST((reply.status == clients::CacheFeedStatus::kOtherInstance));
  BOOST_TEST(reply.responder.callId == request.header("X-Covewing-Request-Id"));
  BOOST_TEST(reply.responder.status == 421U);
}

BOOST_AUTO_TEST_CASE(CallsOfAllKindsHaveIdentifiersOfTheirOwn) {
  poll(replica());
  WeightsOrderClient weights(http, callIds);
  bool done = false;
  weights.report(replica(), "m", [&](const auto& /*report*/) { done = true; });
  live::runUntil(context, [&] { return done; });
  done = false;
  weights.order(replica(), {"m", 2, "node-7", 41, 3}, [&](auto /*status*/) { done = true; });
  live::runUntil(context, [&] { return done; });
  BOOST_TEST((identifiers == std::vector<std::string>{"call-node-7-19-1", "call-node-7-19-2",
                                                      "call-node-7-19-3"}));
}

// Guards against a poll that goes on at an address after its replica's entry is gone.
BOOST_AUTO_TEST_CASE(CancelledPollClosesItsConnection) {
  responds = false;
  auto call = client.poll(replica(), 0, std::chrono::seconds(1),
                          [](const clients::CacheFeedReply& /*reply*/) { BOOST_TEST(false); });
  live::runUntil(context, [&] { return held != nullptr; });
  call.reset();
  live::runUntil(context, [&] { return disconnected; });
  BOOST_TEST(disconnected);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::platform
