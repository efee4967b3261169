// What relayed requests send beyond their first attempt, against the bound on retries.
#include <boost/test/unit_test.hpp>

#include "relay_fixture.h"

namespace covewing::request {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Two retries within two seconds, however many requests there are.
struct TightBoundFixture : RelayFixture {
  static constexpr double kMostRetries = 2;

  TightBoundFixture() {
    retries = admission::RetryWindows({seconds(2), 0, kMostRetries, 1.0}, kStartedLongAgo);
  }

  /// Attempts under way, in the order of their dispatch.
  std::vector<std::shared_ptr<Dispatched>> requestTwo() {
    for (int count = 0; count < 2; ++count) request("safe");
    return {client.sent.end() - 2, client.sent.end()};
  }
  static void breakOff(const std::vector<std::shared_ptr<Dispatched>>& attempts) {
    for (const auto& attempt : attempts) attempt->breakOff();
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(RetryBoundTest, TightBoundFixture)

// Retries were counted when they were taken from the budget, and sent when a replica had room,
// seconds later. By then the window in which they were taken was nearly over: what it allowed anew
// arrived at the service together with them. Here two retries wait from 0 s to 1.5 s, and two more
// are taken at 2.3 s: four arrive within 0.8 s, where two are allowed within 2 s.
BOOST_AUTO_TEST_CASE(RetriesThatWaitCountWhenTheyAreSent) {
  const auto firstAttempts = requestTwo();
  for (const char* name : {"a", "b", "c"}) replicas.onRemoved(name);
  breakOff(firstAttempts);
  BOOST_TEST(client.sent.size() == 2U);
  time.advance(milliseconds(1500));
  for (const char* name : {"d", "e", "f"}) addReplica(name, "app");
  time.advance(milliseconds(50));
  BOOST_REQUIRE(client.sent.size() == 4U);
  client.sent[2]->answer(200, "done");
  client.sent[3]->answer(200, "done");

  time.advance(milliseconds(750));
  breakOff(requestTwo());
  const std::size_t firstAttemptsSent = 4;
  BOOST_TEST(client.sent.size() - firstAttemptsSent <= kMostRetries);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::request
