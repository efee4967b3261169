// Behaviour after the machine was suspended: CLOCK_BOOTTIME includes the time of the suspension,
// CLOCK_MONOTONIC does not. A suspension is simulated by an offset of the boot-time clock, which
// applies to the whole process.
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "base/random.h"
#include "coordination/lease_manager.h"
#include "live/asio_runtime.h"
#include "live/boot_clock.h"
#include "live/connect_probe.h"
#include "live/lazy_deadline.h"
#include "relay_fleet.h"
#include "support/memory_table_service.h"
#include "support/recording_log.h"

namespace covewing::live {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Maximum delay of a timer after the machine resumes: the maximum wait of the loop, and as much
/// again for an overloaded machine.
constexpr base::Duration kTimerTolerance = 2 * BootWaitTraits::kMaximumWait;

/// Membership with a single node, which is thus the only candidate for the lease.
struct SingleMemberDirectory final : membership::MemberDirectory {
  SingleMemberDirectory() {
    membership::Member member;
    member.name = "node";
    member.id = base::nodeIdOf(member.name);
    member.incarnation = 1;
    members.push_back(std::move(member));
  }
  const membership::Member& self() const override { return members.front(); }
  const std::vector<membership::Member>& liveMembers() const override { return members; }
  const membership::Member* find(base::NodeId id) const override {
    return id == self().id ? &members.front() : nullptr;
  }
  std::size_t lostMembers() const override { return 0; }
  std::size_t missingSeeds() const override { return 0; }
  std::uint64_t version() const override { return 1; }

  std::vector<membership::Member> members;
};

struct LeaseEvents final : coordination::LeaseListener {
  void onLeaseWritten(const coordination::LeaseAnnouncement& /*announcement*/) override {}
  void onLeaseAcquired(const coordination::LeaseGrant& /*grant*/) override { ++acquired; }
  void onLeaseLost() override { ++lost; }
  int acquired = 0;
  int lost = 0;
};

struct Loop {
  bool runUntil(base::Duration bound, const std::function<bool()>& done) {
    const auto end = clock.now() + bound;
    while (!done() && clock.now() < end) context.run_for(milliseconds(5));
    return done();
  }
  boost::asio::io_context context;
  AsioClock clock;
  AsioTimerService timers{context};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(SuspendedMachineTest)

BOOST_AUTO_TEST_CASE(ClockIncludesTheSuspension) {
  const AsioClock clock;
  const auto before = clock.now();
  const auto suspended = suspendedTime();
  simulateSuspension(seconds(10));
  BOOST_TEST((clock.now() - before >= seconds(10)));
  BOOST_TEST((suspendedTime() - suspended >= seconds(10) - milliseconds(1)));
}

BOOST_AUTO_TEST_CASE(TimersDueDuringASuspensionRunOnceInOrderAfterResume) {
  Loop loop;
  std::vector<int> fired;
  loop.timers.schedule(seconds(7), [&] { fired.push_back(7); });
  loop.timers.schedule(seconds(5), [&] { fired.push_back(5); });
  loop.timers.schedule(seconds(60), [&] { fired.push_back(60); });
  const auto cancelled = loop.timers.schedule(seconds(6), [&] { fired.push_back(6); });
  loop.context.run_for(milliseconds(10));
  simulateSuspension(seconds(10));
  loop.timers.cancel(cancelled);
  loop.runUntil(kTimerTolerance, [&] { return fired.size() == 2; });
  loop.context.run_for(kTimerTolerance);
  BOOST_TEST(fired == (std::vector<int>{5, 7}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(ConnectionDeadlineExpiresAfterResume) {
  Loop loop;
  bool expired = false;
  LazyDeadline deadline(loop.context.get_executor(), [&] { expired = true; });
  deadline.set(seconds(2));
  deadline.set(seconds(5));
  loop.context.run_for(milliseconds(10));
  simulateSuspension(seconds(6));
  BOOST_TEST(loop.runUntil(kTimerTolerance, [&] { return expired; }));
}

BOOST_AUTO_TEST_CASE(LeaseIsNotUsedAfterExpiry) {
  Loop loop;
  base::SeededRandom random{1};
  test_support::RecordingLog log;
  test_support::MemoryTableService table{loop.clock, loop.timers, "own"};
  SingleMemberDirectory members;
  LeaseEvents events;
  coordination::LeaseOptions options;
  options.name = "weights";
  coordination::LeaseManager lease(options, {loop.clock, loop.timers, random, log, table, members},
                                   events);
  lease.start();
  BOOST_REQUIRE(loop.runUntil(seconds(2), [&] { return lease.grant().has_value(); }));
  simulateSuspension(options.duration);
  // No handler has run since the machine resumed.
  BOOST_TEST(!lease.grant().has_value());
  BOOST_TEST(loop.runUntil(seconds(2), [&] { return events.acquired == 2; }));
  BOOST_TEST(events.lost == 1);
}

BOOST_AUTO_TEST_CASE(RequestPastItsDeadlineEndsOnceAfterResume) {
  RelayFleet fleet;
  const auto response =
      fleet.send(0, std::string{CrashingReplica::kUnanswered}, /*timeout=*/std::chrono::minutes(1));
  fleet.run(milliseconds(200));
  BOOST_TEST(response->status == 0U);
  // The timeout of the route is 4 s.
  simulateSuspension(seconds(10));
  fleet.run(2 * kTimerTolerance);
  BOOST_TEST(response->status == 504U);
  BOOST_TEST(response->completions == 1);
}

BOOST_AUTO_TEST_CASE(NodesServeSoonAfterResume) {
  RelayFleet fleet;
  // Longer than the time for which keys are accepted without a confirmed configuration.
  simulateSuspension(seconds(10));
  std::vector<std::shared_ptr<RelayFleet::Response>> responses;
  for (std::size_t node = 0; node < RelayFleet::kNodes; ++node)
    responses.push_back(fleet.send(node, "hello", std::chrono::minutes(1)));
  fleet.run(milliseconds(600));
  for (const auto& response : responses) BOOST_TEST(response->status == 200U);
  BOOST_TEST(fleet.logged(base::Event::kNodeWokeFromPause) == RelayFleet::kNodes);
  BOOST_TEST(fleet.logged(base::Event::kNodeCaughtUp) == RelayFleet::kNodes);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::live
