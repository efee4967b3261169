// Guards against work for callers that have left: their requests must not be sent to replicas.
#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "relay_fleet.h"

namespace covewing::live {

BOOST_AUTO_TEST_SUITE(DepartedCallerTest)

// A node that is behind reads requests whose callers closed their connections in the meantime.
BOOST_AUTO_TEST_CASE(RequestOfACallerThatLeftBeforeItWasReadIsNotSent) {
  constexpr int kRequests = 30;
  const std::string body = "left";
  RelayFleet fleet;
  for (int count = 0; count < kRequests; ++count) fleet.sendAndLeave(0, body);
  fleet.run(std::chrono::milliseconds(500));
  BOOST_TEST(std::ranges::count(fleet.record.bodies, body) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::live
