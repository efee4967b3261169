// Tests planned stops of relaying nodes, with real connections of callers and replicas.
#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <string>

#include "relay_fleet.h"

namespace covewing::live {

namespace {

using Socket = boost::asio::ip::tcp::socket;

constexpr std::size_t kStopped = 0;
constexpr base::Duration kGrace = std::chrono::milliseconds(3400);
constexpr unsigned kGatewayTimeout = 504;

struct StopFixture {
  void stop() {
    fleet.stopNode(kStopped, [this] { stopped = true; });
  }

  /// Reads to the end of the connection, while the nodes run. Returns what was received.
  std::string readAll(Socket& socket) {
    std::string received;
    std::array<char, 65536> buffer{};
    boost::system::error_code error;
    socket.non_blocking(true);
    for (int round = 0; round < 500; ++round) {
      const auto bytes = socket.read_some(boost::asio::buffer(buffer), error);
      received.append(buffer.data(), bytes);
      if (error == boost::asio::error::would_block) {
        fleet.run(std::chrono::milliseconds(10));
      } else if (error) {
        break;
      }
    }
    return received;
  }

  /// Number of bytes of the large body, which come in chunks.
  static std::size_t bodyBytes(const std::string& response) {
    const auto head = std::min(response.find("\r\n\r\n"), response.size());
    return static_cast<std::size_t>(
        std::count(response.begin() + static_cast<std::ptrdiff_t>(head), response.end(), 'x'));
  }

  RelayFleet fleet{0, kGrace};
  bool stopped = false;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(PlannedStopTest, StopFixture)

// Guards against a node that ends while the end of a whole response waits for a slow caller.
BOOST_AUTO_TEST_CASE(ResponseReachesACallerThatBeginsToReadLate) {
  auto caller = fleet.sendUnread(kStopped, CrashingReplica::kLarge);
  fleet.run(std::chrono::milliseconds(300));
  stop();
  // Longer than callers are given to notice that the node stops.
  fleet.run(std::chrono::milliseconds(2850));
  BOOST_TEST(!stopped);
  const auto response = readAll(caller);
  BOOST_TEST(bodyBytes(response) == CrashingReplica::kLargeBytes);
  BOOST_TEST(response.ends_with("0\r\n\r\n"));
}

// Guards against a node that lasts to the end of its time though everything was delivered.
BOOST_AUTO_TEST_CASE(NodeEndsOnceEverythingIsDelivered) {
  const auto response = fleet.send(kStopped, "work");
  fleet.run(std::chrono::milliseconds(300));
  BOOST_TEST(response->status == 200U);
  stop();
  fleet.run(std::chrono::milliseconds(2900));
  BOOST_TEST(stopped);
}

// Guards against a request that is closed without an answer because its replica is still at work at
// the end of the node's time.
BOOST_AUTO_TEST_CASE(RequestThatOutlastsTheNodeIsAnsweredWithoutAPromise) {
  stop();
  const auto response = fleet.send(kStopped, std::string{CrashingReplica::kUnanswered});
  fleet.run(kGrace);
  BOOST_TEST(stopped);
  BOOST_TEST(response->status == kGatewayTimeout);
  BOOST_TEST(fleet.logged(base::Event::kNodeStopped) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::live
