// Guards against callers' connections that take the descriptors which the node needs to serve them.
#include "live/descriptor_budget.h"

#include <sys/resource.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>

#include "base/time.h"
#include "live/connection_room_monitor.h"
#include "live/descriptor_limits.h"
#include "live/relay_fleet.h"
#include "live/socket_state.h"
#include "support/recording_log.h"

namespace covewing::live {

namespace {

constexpr std::size_t kMachineDescriptors = 4100;
/// Idle connections of this age may be closed to make room.
constexpr std::chrono::milliseconds kSettled{300};
constexpr std::chrono::milliseconds kAtOnce{500};

class SettableClock final : public base::Clock {
 public:
  base::TimePoint now() const override { return time; }
  base::TimePoint time = base::TimePoint{} + std::chrono::hours(1);
};

}  // namespace

BOOST_AUTO_TEST_SUITE(DescriptorBudgetTest)

BOOST_AUTO_TEST_CASE(WholeReserveIsKeptOnAMachineOfThePlannedSize) {
  const auto budget = divideDescriptors(kMachineDescriptors);
  BOOST_TEST(budget.callerConnections == (kMachineDescriptors - kFixedDescriptors) / 2);
  BOOST_TEST(budget.peerRelayConnections == kPeerRelayDescriptors);
}

// Guards against requests that were accepted and cannot be passed on to a replica.
BOOST_AUTO_TEST_CASE(EachCallerFindsADescriptorForItsReplica) {
  for (std::size_t limit = 5; limit < 2 * kMachineDescriptors; ++limit) {
    const auto budget = divideDescriptors(limit);
    BOOST_REQUIRE(budget.reserve + budget.callerConnections == limit);
    const auto others = budget.reserve - budget.callerConnections;
    BOOST_REQUIRE(budget.reserve >= budget.callerConnections);
    BOOST_REQUIRE(others >= std::min(kFixedDescriptors, limit / 5 * 2));
    BOOST_REQUIRE(budget.callerConnections >= limit * 3 / 10);
    BOOST_REQUIRE(budget.peerRelayConnections <= std::max<std::size_t>(others, 1));
  }
}

BOOST_AUTO_TEST_CASE(FewDescriptorsAreDividedInProportion) {
  constexpr std::size_t kFew = 300;
  BOOST_TEST(divideDescriptors(kFew).callerConnections == kFew * 3 / 10);
}

BOOST_AUTO_TEST_CASE(UnlimitedDescriptorsDoNotMeanUnlimitedConnections) {
  BOOST_TEST(divideDescriptors(RLIM_INFINITY).callerConnections == kMaximumCallerConnections);
}

BOOST_AUTO_TEST_CASE(LimitIsThatOfTheProcess) {
  constexpr rlim_t kLow = 160;
  const LowDescriptorLimit low(kLow);
  BOOST_TEST(descriptorLimit() == kLow);
}

// Guards against a log that is filled by the attempts of a node that cannot accept.
BOOST_AUTO_TEST_CASE(ShortageIsLoggedOnceASecond) {
  constexpr int kAttempts = 50;
  SettableClock clock;
  test_support::RecordingLog log;
  ConnectionRoomMonitor monitor(clock, log);
  const AcceptDelay delay{"Too many open files", 150, 150, true};
  for (int attempt = 0; attempt < kAttempts; ++attempt) {
    monitor.onAcceptDelay("callers", delay);
    monitor.onClosedForRoom(delay.openConnections);
    clock.time += std::chrono::milliseconds(20);
  }
  BOOST_TEST(log.count(base::Event::kAcceptDelayed) == 1U);
  BOOST_TEST(log.count(base::Event::kIdleConnectionsClosed) == 1U);
  monitor.onAcceptDelay("callers", delay);
  monitor.onClosedForRoom(delay.openConnections);
  BOOST_TEST(log.count(base::Event::kAcceptDelayed) == 2U);
  BOOST_TEST(log.entries.back().second.front().value == std::to_string(kAttempts));
  BOOST_TEST(monitor.closedForRoom() == static_cast<std::uint64_t>(kAttempts) + 1);
}

// Guards against callers' connections that leave a node no descriptor for its calls to replicas.
BOOST_AUTO_TEST_CASE(IdleCallersLeaveTheReserveOfANodeUntouched) {
  constexpr std::size_t kLimit = 160;
  const auto budget = divideDescriptors(kLimit);
  std::optional<RelayFleet> fleet;
  {
    const LowDescriptorLimit low(kLimit);
    fleet.emplace();
  }
  std::vector<boost::asio::ip::tcp::socket> idle;
  for (std::size_t index = 0; index < kLimit; ++index) idle.push_back(fleet->connectIdle(0));
  fleet->run(kSettled);
  const auto response = fleet->send(0, "hello");
  fleet->run(kAtOnce);
  BOOST_TEST(response->status == 200U);
  const auto open =
      std::ranges::count_if(idle, [](const auto& socket) { return !peerHasClosed(socket); });
  BOOST_TEST(static_cast<std::size_t>(open) <= budget.callerConnections);
  BOOST_TEST(open > 0);
  BOOST_TEST(fleet->logged(base::Event::kIdleConnectionsClosed) >= 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::live
