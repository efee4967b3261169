// Guards against callers' connections that take the descriptors which the node needs to serve them.
#include "live/descriptor_budget.h"

#include <sys/resource.h>

#include <boost/test/unit_test.hpp>

#include "base/time.h"
#include "live/connection_room_monitor.h"
#include "support/recording_log.h"

namespace covewing::live {

namespace {

constexpr std::size_t kMachineDescriptors = 4100;

class SettableClock final : public base::Clock {
 public:
  base::TimePoint now() const override { return time; }
  base::TimePoint time = base::TimePoint{} + std::chrono::hours(1);
};

}  // namespace

BOOST_AUTO_TEST_SUITE(DescriptorBudgetTest)

BOOST_AUTO_TEST_CASE(WholeReserveIsKeptOnAMachineOfThePlannedSize) {
  const auto budget = divideDescriptors(kMachineDescriptors);
  BOOST_TEST(budget.reserve == kReserveDescriptors);
  BOOST_TEST(budget.callerConnections == kMachineDescriptors - kReserveDescriptors);
  BOOST_TEST(budget.peerRelayConnections == kPeerRelayDescriptors);
}

BOOST_AUTO_TEST_CASE(ReserveAndCallersNeverExceedTheLimit) {
  for (std::size_t limit = 2; limit < 2 * kMachineDescriptors; ++limit) {
    const auto budget = divideDescriptors(limit);
    BOOST_REQUIRE(budget.reserve + budget.callerConnections <= limit);
    BOOST_REQUIRE(budget.callerConnections >= limit / 2);
    BOOST_REQUIRE(budget.peerRelayConnections <= std::max<std::size_t>(budget.reserve, 1));
  }
}

BOOST_AUTO_TEST_CASE(FewDescriptorsAreHalved) {
  constexpr std::size_t kFew = 300;
  BOOST_TEST(divideDescriptors(kFew).callerConnections == kFew / 2);
}

BOOST_AUTO_TEST_CASE(UnlimitedDescriptorsDoNotMeanUnlimitedConnections) {
  BOOST_TEST(divideDescriptors(RLIM_INFINITY).callerConnections == kMaximumCallerConnections);
}

BOOST_AUTO_TEST_CASE(LimitIsThatOfTheProcess) {
  rlimit before{};
  getrlimit(RLIMIT_NOFILE, &before);
  rlimit lower = before;
  lower.rlim_cur = before.rlim_cur - 1;
  setrlimit(RLIMIT_NOFILE, &lower);
  BOOST_TEST(descriptorLimit() == lower.rlim_cur);
  setrlimit(RLIMIT_NOFILE, &before);
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

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::live
