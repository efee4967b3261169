#include "sim/scheduler.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace covewing::sim {
namespace {
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(SchedulerTest)

BOOST_AUTO_TEST_CASE(runsByTimeThenByOrderOfScheduling) {
  Scheduler scheduler;
  std::vector<int> order;
  scheduler.after(milliseconds(2), [&] { order.push_back(3); });
  scheduler.after(milliseconds(1), [&] { order.push_back(1); });
  scheduler.after(milliseconds(1), [&] {
    order.push_back(2);
    scheduler.after(milliseconds(0), [&] { order.push_back(4); });
  });
  while (scheduler.step()) continue;
  BOOST_TEST(order == (std::vector<int>{1, 2, 4, 3}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(cancelledEventsDoNotRunAndTheirHandlesAreNotReused) {
  Scheduler scheduler;
  int runs = 0;
  const auto first = scheduler.after(milliseconds(1), [&] { ++runs; });
  scheduler.cancel(first);
  const auto second = scheduler.after(milliseconds(1), [&] { ++runs; });
  BOOST_TEST(first != second);
  scheduler.cancel(first);
  scheduler.runUntil(base::TimePoint(milliseconds(5)));
  BOOST_TEST(runs == 1);
  BOOST_TEST((scheduler.now() == base::TimePoint(milliseconds(5))));
}

BOOST_AUTO_TEST_CASE(runUntilLeavesLaterEventsQueued) {
  Scheduler scheduler;
  int runs = 0;
  scheduler.after(milliseconds(3), [&] { ++runs; });
  scheduler.runUntil(base::TimePoint(milliseconds(2)));
  BOOST_TEST(runs == 0);
  scheduler.runUntil(base::TimePoint(milliseconds(3)));
  BOOST_TEST(runs == 1);
}

BOOST_AUTO_TEST_SUITE_END()
}  // namespace
}  // namespace covewing::sim
