// Guards against timers that decide before what has arrived is looked at: a server that stood still
// or was starved found its timers due and requests in its sockets at the same moment, and closed
// the connections. Callers of whole requests got neither an answer nor a refusal, but a reset.
#include <boost/asio/local/connect_pair.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

#include "live/asio_runtime.h"
#include "live/http_server.h"
#include "live/http_test_client.h"

namespace covewing::live {

namespace {

using std::chrono::milliseconds;

/// More than the operating system reports as readable at once, so that timers that are due run
/// before some of the reads.
constexpr std::size_t kConnections = 300;
constexpr std::string_view kRequest = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody";

/// A server that answers each request at once, and its callers, each on a connection of its own.
struct LateServer {
  explicit LateServer(const HttpLimits& limits)
      : server(context, limits, [this](const HttpExchangePtr& exchange) {
          ++requests;
          exchange->respond({200, {}, "answer"});
        }) {
    base::Reason reason;
    const auto endpoint = server.listen({kLoopback, 0}, reason).value();
    for (std::size_t index = 0; index < kConnections; ++index)
      clients.push_back(std::make_unique<TestClient>(context, endpoint));
  }

  void sendAll(std::string_view bytes) {
    for (const auto& client : clients) client->send(bytes);
  }
  void serve(std::size_t count) {
    runUntil(
        context, [&] { return requests >= count || closedClients() > 0; },
        [&] { return std::to_string(count) + " requests; read: " + std::to_string(requests); });
  }
  void run(milliseconds span) {
    context.restart();
    context.run_for(span);
  }
  /// The server stands still, and its timers become due, while the bytes arrive. The first timer is
  /// due before they do, as always where many connections have timers.
  void receiveWhileStandingStill(std::string_view bytes) {
    constexpr milliseconds kUntilFirstTimer{100};
    constexpr milliseconds kUntilLastTimer{600};
    std::this_thread::sleep_for(kUntilFirstTimer);
    sendAll(bytes);
    std::this_thread::sleep_for(kUntilLastTimer);
  }
  std::size_t closedClients() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(clients, [](const auto& client) { return client->closed(); }));
  }

  boost::asio::io_context context;
  std::size_t requests = 0;
  HttpServer server;
  std::vector<std::unique_ptr<TestClient>> clients;
};

constexpr milliseconds kTimerPeriod{25};

/// An event loop whose handlers of input need more time than there is.
struct OverloadedLoop {
  using Socket = boost::asio::local::stream_protocol::socket;
  /// Two connected sockets, between which a byte goes round.
  struct Pair {
    explicit Pair(boost::asio::io_context& context) : reader(context), writer(context) {
      boost::asio::local::connect_pair(reader, writer);
      send();
    }
    void send() {
      boost::asio::write(writer, boost::asio::buffer("x", 1));
      reader.async_read_some(boost::asio::buffer(&byte, 1),
                             [this](boost::system::error_code error, std::size_t) {
                               if (error) return;
                               work();
                               send();
                             });
    }
    static void work() {
      const auto end = std::chrono::steady_clock::now() + std::chrono::microseconds(100);
      while (std::chrono::steady_clock::now() < end) {
      }
    }
    Socket reader;
    Socket writer;
    char byte = 0;
  };

  OverloadedLoop() {
    for (std::size_t index = 0; index < kConnections; ++index)
      pairs.push_back(std::make_unique<Pair>(context));
  }

  boost::asio::io_context context{1};
  std::vector<std::unique_ptr<Pair>> pairs;
};

struct Lateness {
  void add(std::chrono::steady_clock::time_point due) {
    sum += std::chrono::steady_clock::now() - due;
    ++count;
  }
  std::chrono::nanoseconds mean() const {
    return sum / static_cast<std::int64_t>(std::max<std::size_t>(count, 1));
  }
  std::chrono::nanoseconds sum{};
  std::size_t count = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(LateNodeTest)

BOOST_AUTO_TEST_CASE(RequestThatArrivedBeforeTheIdleTimeoutIsServed) {
  HttpLimits limits;
  limits.idleTimeout = milliseconds(400);
  LateServer late(limits);
  late.sendAll(kRequest);
  late.serve(kConnections);
  late.receiveWhileStandingStill(kRequest);
  late.serve(2 * kConnections);
  BOOST_TEST(late.closedClients() == 0U);
  BOOST_TEST(late.requests == 2 * kConnections);
}

BOOST_AUTO_TEST_CASE(RequestWhoseHeaderArrivedInTimeIsServed) {
  HttpLimits limits;
  limits.headerTimeout = milliseconds(400);
  LateServer late(limits);
  constexpr std::size_t kRead = 10;
  late.sendAll(kRequest.substr(0, kRead));
  late.run(milliseconds(100));
  late.receiveWhileStandingStill(kRequest.substr(kRead));
  late.serve(kConnections);
  BOOST_TEST(late.closedClients() == 0U);
}

BOOST_AUTO_TEST_CASE(RequestWhoseBodyArrivedInTimeIsServed) {
  HttpLimits limits;
  limits.requestTimeout = milliseconds(400);
  LateServer late(limits);
  const auto read = kRequest.size() - 2;
  late.sendAll(kRequest.substr(0, read));
  late.run(milliseconds(100));
  late.receiveWhileStandingStill(kRequest.substr(read));
  late.serve(kConnections);
  BOOST_TEST(late.closedClients() == 0U);
}

// Guards against timers that are starved by input where the loop is late all the time.
BOOST_AUTO_TEST_CASE(TimersOfAnOverloadedNodeAreNotStarved) {
  OverloadedLoop loop;
  AsioTimerService timers(loop.context);
  Lateness ofService;
  std::function<void()> scheduleNext = [&] {
    const auto due = std::chrono::steady_clock::now() + kTimerPeriod;
    timers.schedule(kTimerPeriod, [&, due] {
      ofService.add(due);
      scheduleNext();
    });
  };
  scheduleNext();
  boost::asio::steady_timer plain(loop.context);
  Lateness ofPlainTimer;
  std::function<void()> waitForNext = [&] {
    plain.expires_after(kTimerPeriod);
    plain.async_wait([&](boost::system::error_code error) {
      if (error) return;
      ofPlainTimer.add(plain.expiry());
      waitForNext();
    });
  };
  waitForNext();
  loop.context.run_for(std::chrono::seconds(3));
  BOOST_REQUIRE(ofService.count > 0U);
  BOOST_TEST((ofService.mean() <= 2 * ofPlainTimer.mean()));
}

// A peer that sends slowly must not keep its connection beyond the timeout.
BOOST_AUTO_TEST_CASE(ConnectionWhoseRequestDoesNotArriveIsClosed) {
  HttpLimits limits;
  limits.headerTimeout = milliseconds(200);
  LateServer late(limits);
  const auto began = std::chrono::steady_clock::now();
  for (std::size_t sent = 0; late.closedClients() == 0; ++sent) {
    late.clients.front()->send(kRequest.substr(sent % 4, 1));
    late.run(milliseconds(10));
    BOOST_REQUIRE(std::chrono::steady_clock::now() - began < std::chrono::seconds(2));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::live
