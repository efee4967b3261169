// What the HTTP server does where the memory that it may hold for its peers is used up.
#include <boost/test/unit_test.hpp>

#include "live/http_server.h"
#include "live/http_test_client.h"

namespace covewing::live {

namespace {

constexpr std::size_t kTotal = 200'000;
constexpr std::size_t kLargeBody = 400'000;

/// A server that may hold kTotal bytes.
struct SmallServer {
  SmallServer() {
    base::Reason reason;
    endpoint = server.listen({kLoopback, 0}, reason).value();
  }

  void run() {
    context.restart();
    context.run_for(std::chrono::milliseconds(50));
  }

  boost::asio::io_context context;
  MemoryAccountPtr account =
      std::make_shared<MemoryAccount>(MemoryBounds{kTotal, {kTotal, kTotal, kTotal, kTotal}});
  std::vector<HttpExchangePtr> exchanges;
  HttpServer server{context,
                    {},
                    [this](const HttpExchangePtr& exchange) { exchanges.push_back(exchange); },
                    {account}};
  base::Endpoint endpoint;
};

std::string headOf(std::size_t bodyBytes) {
  return "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(HttpServerMemoryTest, SmallServer)

// Guards against ordinary callers that are refused while others hold all memory.
BOOST_AUTO_TEST_CASE(RequestThatIsHeldLongestMakesRoomForAnOrdinaryOne) {
  constexpr std::size_t kHeld = 100'000;
  TestClient first(context, endpoint);
  first.send(headOf(kHeld + 1) + std::string(kHeld, 'a'));
  run();
  TestClient second(context, endpoint);
  second.send(headOf(kHeld) + std::string(kHeld, 'b'));
  runUntil(context, [this] { return !exchanges.empty(); });
  first.waitFor("RequestMemoryUsedUp");
  BOOST_TEST(first.has("HTTP/1.1 503"));
  BOOST_TEST(first.has("Connection: close"));
  BOOST_TEST(exchanges.front()->request().body.size() == kHeld);
  exchanges.front()->respond({200, {}, "served"});
  second.waitFor("served");
}

// Guards against a caller that sends a body whole before it learns that there is no room for it.
BOOST_AUTO_TEST_CASE(AnnouncedBodyForWhichThereCannotBeRoomIsRefusedAtItsHead) {
  TestClient client(context, endpoint);
  client.send(headOf(kLargeBody));
  client.waitFor("RequestMemoryUsedUp");
  BOOST_TEST(client.has("HTTP/1.1 503"));
  BOOST_TEST(account->refused() == 1U);
  BOOST_TEST(exchanges.empty());
}

// Guards against further messages that are dropped because those that were closed still count.
BOOST_AUTO_TEST_CASE(ClosedConnectionHoldsNothing) {
  constexpr std::size_t kHeld = 50'000;
  TestClient client(context, endpoint);
  client.send(headOf(kHeld + 1) + std::string(kHeld, 'a'));
  run();
  BOOST_TEST(account->held() >= kHeld);
  server.close();
  BOOST_TEST(account->held() == 0U);
}

// Guards against memory that is counted as free while a request that was passed on still holds it.
BOOST_AUTO_TEST_CASE(BodyStaysEnteredUntilItsLastHolderLetsGo) {
  constexpr std::size_t kBody = 50'000;
  TestClient client(context, endpoint);
  client.send(headOf(kBody) + std::string(kBody, 'a'));
  runUntil(context, [this] { return !exchanges.empty(); });
  auto body = exchanges.front()->takeBody();
  exchanges.front()->respond({200, {}, "served"});
  exchanges.clear();
  client.waitFor("served");
  client.close();
  runUntil(context, [this] { return server.openConnections() == 0; });
  BOOST_TEST(account->held() >= kBody);
  body = {};
  BOOST_TEST(account->held() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::live
