#include "sim/process.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <vector>

namespace covewing::sim {
namespace {
using std::chrono::milliseconds;

struct Fixture {
  Scheduler scheduler;
  Process process{scheduler, "node-a", 7};
  Fixture() { process.start(); }
  void runFor(base::Duration duration) { scheduler.runUntil(scheduler.now() + duration); }
};

BOOST_FIXTURE_TEST_SUITE(ProcessTest, Fixture)

BOOST_AUTO_TEST_CASE(crashForgetsTimersAndReplies) {
  int runs = 0;
  process.schedule(milliseconds(1), [&] { ++runs; });
  const auto reply = process.expect<int>([&](int) { ++runs; });
  process.crash();
  process.start();
  reply(1);
  runFor(milliseconds(5));
  BOOST_TEST(runs == 0);
  BOOST_TEST(process.incarnation() == 2U);
}

BOOST_AUTO_TEST_CASE(crashDestroysWhatCallbacksHold) {
  const auto held = std::make_shared<int>(1);
  process.schedule(milliseconds(1), [held] {});
  process.expect<int>([held](int) {});
  process.pause();
  process.dispatch([held] {});
  process.crash();
  BOOST_TEST(held.use_count() == 1);
}

BOOST_AUTO_TEST_CASE(pauseHoldsBackAndResumeKeepsTheOrder) {
  std::vector<int> order;
  process.schedule(milliseconds(1), [&] { order.push_back(1); });
  process.schedule(milliseconds(2), [&] { order.push_back(2); });
  const auto before = process.now();
  process.pause();
  runFor(milliseconds(10));
  process.dispatch([&] { order.push_back(3); });
  BOOST_TEST(order.empty());
  process.resume();
  runFor(milliseconds(0));
  BOOST_TEST(order == (std::vector<int>{1, 2, 3}), boost::test_tools::per_element());
  BOOST_TEST((process.now() - before == milliseconds(10)));
}

BOOST_AUTO_TEST_CASE(timerCancelledAfterItFiredDuringThePauseDoesNotRun) {
  int runs = 0;
  const auto timer = process.schedule(milliseconds(1), [&] { ++runs; });
  process.pause();
  runFor(milliseconds(2));
  process.cancel(timer);
  process.resume();
  runFor(milliseconds(1));
  BOOST_TEST(runs == 0);
}

BOOST_AUTO_TEST_CASE(replyRunsOnce) {
  int sum = 0;
  const auto reply = process.expect<int>([&](int value) { sum += value; });
  reply(2);
  reply(3);
  BOOST_TEST(sum == 2);
}

BOOST_AUTO_TEST_CASE(randomNumbersDependOnSeedNameAndIncarnation) {
  Process same(scheduler, "node-a", 7);
  same.start();
  BOOST_TEST(same.next() == process.next());
  same.crash();
  same.start();
  BOOST_TEST(same.next() != process.next());
}

BOOST_AUTO_TEST_SUITE_END()
}  // namespace
}  // namespace covewing::sim
