// Guards against a server that new callers cannot reach because others keep connections open that
// they do not use, and against the loss of requests when such connections are closed.
#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

#include "live/descriptor_limits.h"
#include "live/http_server.h"
#include "live/http_test_client.h"

namespace covewing::live {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaximum = 20;
constexpr std::string_view kRequest = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody";
/// Idle connections of this age may be closed to make room.
constexpr milliseconds kSettled{300};
/// "At once" for a caller: well below the time after which callers give up connecting.
constexpr milliseconds kAtOnce{500};

HttpLimits limitsWithMaximum(std::size_t connections) {
  HttpLimits limits;
  limits.connections = connections;
  return limits;
}

/// A server and its callers, each on a connection of its own.
struct LimitedServer {
  explicit LimitedServer(std::size_t maximum = kMaximum)
      : server(context, limitsWithMaximum(maximum), [this](const HttpExchangePtr& exchange) {
          ++requests;
          if (holding) {
            held.push_back(exchange);
          } else {
            exchange->respond({200, {}, "answer"});
          }
        }) {
    base::Reason reason;
    endpoint = server.listen({kLoopback, 0}, reason).value();
  }

  TestClient& connect() {
    clients.push_back(std::make_unique<TestClient>(context, endpoint));
    return *clients.back();
  }
  void connect(std::size_t count) {
    for (std::size_t index = 0; index < count; ++index) connect();
  }
  void sendAll() {
    for (const auto& client : clients) client->send(kRequest);
  }
  void run(milliseconds span) {
    context.restart();
    context.run_for(span);
  }
  void serve(std::size_t count) {
    runUntil(
        context, [&] { return requests >= count || resetClients() > 0; },
        [&] { return std::to_string(count) + " requests; read: " + std::to_string(requests); });
  }
  void waitForConnections(std::size_t count) {
    runUntil(context, [&] { return server.openConnections() == count; });
  }
  std::size_t answered() const {
    return count([](const TestClient& client) { return client.has("answer"); });
  }
  std::size_t closedClients() const {
    return count([](const TestClient& client) { return client.closed(); });
  }
  std::size_t resetClients() const {
    return count(
        [](const TestClient& client) { return client.closed() && !client.closedInOrder(); });
  }

  boost::asio::io_context context;
  bool holding = false;
  std::size_t requests = 0;
  std::vector<HttpExchangePtr> held;
  HttpServer server;
  base::Endpoint endpoint;
  std::vector<std::unique_ptr<TestClient>> clients;

 private:
  template <class Predicate>
  std::size_t count(Predicate predicate) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(clients, [&](const auto& client) { return predicate(*client); }));
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(ConnectionLimitTest)

BOOST_AUTO_TEST_CASE(NewCallerIsServedAtOnceWhereAllConnectionsAreIdle) {
  LimitedServer limited;
  limited.connect(2 * kMaximum);
  limited.run(kSettled);
  BOOST_TEST(limited.server.openConnections() == kMaximum);
  auto& caller = limited.connect();
  caller.send(kRequest);
  limited.run(kAtOnce);
  BOOST_TEST(caller.has("answer"));
  // The caller leaves, as its answer asked.
  BOOST_TEST(caller.has("Connection: close"));
  caller.close();
  limited.run(kAtOnce);
  BOOST_TEST(limited.server.openConnections() == kMaximum - 1);
  BOOST_TEST(limited.resetClients() == 0U);
}

BOOST_AUTO_TEST_CASE(ConnectionThatWasIdleLongestIsClosedFirst) {
  LimitedServer limited;
  limited.connect(kMaximum / 2);
  limited.run(kSettled);
  limited.clients.front()->send(kRequest);
  limited.clients.front()->waitFor("answer");
  limited.connect(kMaximum / 2);
  limited.waitForConnections(kMaximum);
  limited.run(kSettled);
  auto& caller = limited.connect();
  caller.send(kRequest);
  limited.run(kAtOnce);
  BOOST_TEST(caller.has("answer"));
  // The caller's own connection closes after the answer, as that has announced.
  const auto leaving = static_cast<std::size_t>(caller.closed() ? 1 : 0);
  BOOST_TEST(limited.closedClients() - leaving == 1U);
  BOOST_TEST(!limited.clients.front()->closed());
}

// Guards against resets where requests on old connections have arrived and are not read yet.
BOOST_AUTO_TEST_CASE(UnreadRequestsOnOldConnectionsAreAnswered) {
  LimitedServer limited;
  limited.connect(kMaximum);
  limited.waitForConnections(kMaximum);
  limited.run(kSettled);
  limited.connect(kMaximum / 2);
  limited.sendAll();
  limited.serve(limited.clients.size());
  limited.run(kAtOnce);
  BOOST_TEST(limited.answered() == limited.clients.size());
  BOOST_TEST(limited.resetClients() == 0U);
}

BOOST_AUTO_TEST_CASE(NewCallerWaitsWhereAllConnectionsAreBusy) {
  LimitedServer limited;
  limited.holding = true;
  limited.connect(kMaximum);
  limited.sendAll();
  limited.serve(kMaximum);
  auto& caller = limited.connect();
  caller.send(kRequest);
  limited.run(kAtOnce);
  BOOST_TEST(limited.requests == kMaximum);
  BOOST_TEST(limited.closedClients() == 0U);
  BOOST_TEST(limited.server.openConnections() == kMaximum);
  limited.holding = false;
  limited.held.front()->respond({200, {}, "answer"});
  limited.run(kAtOnce);
  BOOST_TEST(caller.has("answer"));
  BOOST_TEST(limited.clients.front()->has("Connection: close"));
  BOOST_TEST(limited.resetClients() == 0U);
}

// Guards against callers that wait until peers that have sent a part of a request run out of time.
BOOST_AUTO_TEST_CASE(SlowestSenderMakesRoomForANewCaller) {
  LimitedServer limited;
  limited.connect(kMaximum);
  limited.waitForConnections(kMaximum);
  auto& slowest = *limited.clients.at(kMaximum / 2);
  for (const auto& client : limited.clients)
    client->send(kRequest.substr(0, client.get() == &slowest ? 5 : kRequest.size() - 1));
  limited.run(2 * kAtOnce);
  auto& caller = limited.connect();
  caller.send(kRequest);
  limited.run(kAtOnce);
  BOOST_TEST(caller.has("answer"));
  BOOST_TEST(slowest.closed());
  const auto leaving = static_cast<std::size_t>(caller.closed() ? 1 : 0);
  BOOST_TEST(limited.closedClients() - leaving == 1U);
}

// Guards against callers that wait until peers that read nothing run out of time.
BOOST_AUTO_TEST_CASE(PeerThatReadsNoResponseMakesRoomForANewCaller) {
  constexpr std::size_t kBeyondSocketBuffers = 64U << 20U;
  LimitedServer limited;
  limited.holding = true;
  limited.connect(kMaximum - 1);
  limited.sendAll();
  limited.serve(kMaximum - 1);
  limited.clients.push_back(
      std::make_unique<TestClient>(limited.context, limited.endpoint, /*reading=*/false));
  limited.clients.back()->send(kRequest);
  limited.serve(kMaximum);
  limited.held.back()->respond({200, {}, std::string(kBeyondSocketBuffers, 'a')});
  limited.held.pop_back();
  limited.run(2 * kAtOnce);
  limited.holding = false;
  auto& caller = limited.connect();
  caller.send(kRequest);
  limited.run(kAtOnce);
  BOOST_TEST(caller.has("answer"));
  // Those whose requests are being served stay.
  BOOST_TEST(limited.server.openConnections() >= kMaximum - 1);
  BOOST_TEST(limited.closedClients() == (caller.closed() ? 1U : 0U));
}

BOOST_AUTO_TEST_CASE(CallersOfANearlyFullServerAreAskedToLeave) {
  LimitedServer limited;
  limited.connect(kMaximum / 2);
  limited.sendAll();
  limited.serve(kMaximum / 2);
  limited.run(kSettled);
  BOOST_TEST(limited.closedClients() == 0U);
  limited.connect(kMaximum / 2);
  limited.waitForConnections(kMaximum);
  limited.clients.back()->send(kRequest);
  limited.run(kAtOnce);
  BOOST_TEST(limited.clients.back()->has("Connection: close"));
  BOOST_TEST(limited.clients.back()->closedInOrder());
}

// Guards against an answer after which the connection closes although its head has said that it
// stays: the caller's next request would be lost.
BOOST_AUTO_TEST_CASE(ConnectionOfAStreamStaysAsItsHeadHasSaid) {
  LimitedServer limited;
  limited.holding = true;
  auto& caller = limited.connect();
  caller.send(kRequest);
  limited.serve(1);
  limited.held.front()->beginStream(200, {});
  limited.connect(kMaximum - 1);
  limited.waitForConnections(kMaximum);
  limited.held.front()->end();
  caller.waitFor("0\r\n\r\n");
  limited.run(kSettled);
  BOOST_TEST(!caller.has("Connection: close"));
  BOOST_TEST(!caller.closed());
}

BOOST_AUTO_TEST_CASE(NewCallerIsServedWhereNoDescriptorIsFree) {
  constexpr std::size_t kIdle = 10;
  LimitedServer limited;
  limited.connect(kIdle);
  limited.waitForConnections(kIdle);
  limited.run(kSettled);
  auto& caller = limited.connect();
  caller.send(kRequest);
  const NoFreeDescriptors exhausted;
  limited.run(kAtOnce);
  BOOST_TEST(caller.has("answer"));
  BOOST_TEST(limited.closedClients() == 1U);
  BOOST_TEST(limited.resetClients() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::live
