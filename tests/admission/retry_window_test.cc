#include "admission/retry_window.h"

#include <boost/test/unit_test.hpp>

#include "base/random.h"

namespace covewing::admission {

using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(RetryWindowTest)

BOOST_AUTO_TEST_CASE(SlackIsSharedByTheNodes) {
  RetryWindows windows({seconds(10), 0, 10, 1.0});
  const base::TimePoint now{seconds(100)};
  int taken = 0;
  while (windows.take("s", 5, now)) ++taken;
  BOOST_TEST(taken == 2);
  BOOST_TEST(!windows.take("s", 5, now + seconds(9)));
  BOOST_TEST(windows.take("s", 5, now + seconds(11)));
}

BOOST_AUTO_TEST_CASE(ServicesHaveWindowsOfTheirOwn) {
  RetryWindows windows({seconds(10), 0, 1, 1.0});
  const base::TimePoint now{seconds(100)};
  BOOST_TEST(windows.take("s", 1, now));
  BOOST_TEST(!windows.take("s", 1, now));
  BOOST_TEST(windows.take("t", 1, now));
}

BOOST_AUTO_TEST_CASE(NoWindowEverHoldsMoreThanItsShareOfItsRequests) {
  base::SeededRandom random(1);
  RetryWindows windows({seconds(10), 0.2, 6, 1.0});
  std::vector<base::TimePoint> requests;
  std::vector<base::TimePoint> retries;
  base::TimePoint now{seconds(100)};
  for (int step = 0; step < 3000; ++step) {
    now += milliseconds(static_cast<std::int64_t>(random.below(60)));
    windows.onRequest("s", now);
    requests.push_back(now);
    while (random.below(3) == 0 && windows.take("s", 2, now)) retries.push_back(now);
  }
  const auto within = [](const std::vector<base::TimePoint>& times, base::TimePoint end,
                         base::Duration span) {
    return std::ranges::count_if(times, [&](auto at) { return at <= end && at > end - span; });
  };
  for (const auto end : retries) {
    // Requests may count in a window that began a little earlier.
    const auto allowed = 0.2 * static_cast<double>(within(requests, end, milliseconds(10250))) + 3;
    BOOST_TEST(static_cast<double>(within(retries, end, seconds(10))) <= allowed);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::admission
