// Tests that the retries of relayed requests stay within the retry budget.
#include <boost/test/unit_test.hpp>

#include "relay_fixture.h"

namespace covewing::request {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A budget of two retries within two seconds, independent of the number of requests.
struct TightBoundFixture : RelayFixture {
  static constexpr double kMaximumRetries = 2;

  TightBoundFixture() {
    retries =
        admission::RetryWindows({seconds(2), 0, kMaximumRetries, 1.0}, kStartedLongAgo, oneNode);
  }

  /// Starts two requests and returns their attempts in the order of dispatch.
  std::vector<std::shared_ptr<Dispatched>> requestTwo() {
    for (int count = 0; count < 2; ++count) request("safe");
    return {client.sent.end() - 2, client.sent.end()};
  }
  static constexpr std::uint64_t kNeverArrives = 0;
  void endAttempt(const Dispatched& attempt, std::uint64_t outcome) {
    switch (outcome) {
      case kNeverArrives:
        attempt.refuseConnection();
        return;
      case 1:
        attempt.refuseNotExecuted();
        return;
      case 2:
        attempt.breakConnection();
        return;
      case 3:
        attempt.respond(500, "oops");
        return;
      case 4:
        time.advance(milliseconds(450));
        if (attempt.open) attempt.respond(200, "late");
        return;
      default:
        attempt.respond(200, "done");
    }
  }
  std::vector<std::string> loggedCauses() const {
    std::vector<std::string> causes;
    for (const auto& [event, fields] : log.entries) {
      if (event != base::Event::kRequestRetried) continue;
      for (const auto& field : fields) {
        if (field.name == "cause") causes.push_back(field.value);
      }
    }
    return causes;
  }
  static void breakConnection(const std::vector<std::shared_ptr<Dispatched>>& attempts) {
    for (const auto& attempt : attempts) attempt->breakConnection();
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(RetryBoundTest, TightBoundFixture)

// Guards against counting retries when they are reserved instead of when they are sent. A retry may
// wait for a replica with free capacity for seconds. By then its window is nearly over, and retries
// that the next window allows would arrive at the service together with it. Here two retries wait
// from 0 s to 1.5 s, and two more are reserved at 2.3 s: four would arrive within 0.8 s, although
// only two are allowed within 2 s.
BOOST_AUTO_TEST_CASE(WaitingRetriesAreCountedWhenTheyAreSent) {
  const auto firstAttempts = requestTwo();
  for (const char* name : {"a", "b", "c"}) replicas.onRemoved(name);
  breakConnection(firstAttempts);
  BOOST_TEST(client.sent.size() == 2U);
  time.advance(milliseconds(1500));
  for (const char* name : {"d", "e", "f"}) addReplica(name, "app");
  time.advance(milliseconds(50));
  BOOST_REQUIRE(client.sent.size() == 4U);
  client.sent[2]->respond(200, "done");
  client.sent[3]->respond(200, "done");

  time.advance(milliseconds(750));
  breakConnection(requestTwo());
  const std::size_t firstAttemptsSent = 4;
  BOOST_TEST(client.sent.size() - firstAttemptsSent <= kMaximumRetries);
}

// A retry that replaces one which never reached its replica is not counted again.
BOOST_AUTO_TEST_CASE(RetryThatWasNotSentAndItsReplacementCountOnce) {
  request("safe");
  client.last().breakConnection();
  client.last().refuseConnection();
  BOOST_REQUIRE(client.sent.size() == 3U);
  BOOST_TEST(retries.use("app", time.now()).sent == 1U);
  client.last().respond(200, "done");
  BOOST_TEST(retries.use("app", time.now()).sent == 1U);
}

// For any outcome of the attempts of a request, exactly those that reached a replica are counted,
// except the first of them.
BOOST_AUTO_TEST_CASE(EveryArrivalBeyondTheFirstIsCountedOnce) {
  auto adjusted = contents();
  adjusted.version = 2;
  adjusted.routes.front().attempts = 6;
  useTable(adjusted);
  for (const char* name : {"d", "e", "f", "g", "h"}) addReplica(name, "app");
  for (int round = 0; round < 500; ++round) {
    retries = admission::RetryWindows({seconds(10), 0, 100, 1.0}, kStartedLongAgo, oneNode);
    const auto before = client.sent.size();
    const auto& caller = request("safe");
    std::size_t arrived = 0;
    while (caller.open()) {
      const auto attempt = client.sent.back();
      // All replicas were tried and the request is held; its last attempt has ended already.
      if (!attempt->open) {
        time.advance(milliseconds(50));
        continue;
      }
      const auto outcome = random.below(6);
      if (outcome != kNeverArrives) ++arrived;
      endAttempt(*attempt, outcome);
    }
    BOOST_TEST_CONTEXT("round " << round << ", " << client.sent.size() - before << " attempts") {
      const auto use = retries.use("app", time.now());
      BOOST_TEST(use.sent == (arrived == 0 ? 0 : arrived - 1));
      BOOST_TEST(use.reserved == 0U);
    }
    time.advance(seconds(1));
  }
}

BOOST_AUTO_TEST_CASE(RetryWhoseCallerDisconnectsBeforeItIsSentTakesNoBudget) {
  request("safe");
  for (const char* name : {"a", "b", "c"}) replicas.onRemoved(name);
  client.last().breakConnection();
  BOOST_TEST(retries.use("app", time.now()).reserved == 1U);
  flow.lock()->onCallerDisconnected();
  BOOST_TEST(retries.use("app", time.now()).reserved == 0U);
  BOOST_TEST(retries.use("app", time.now()).sent == 0U);
}

// Twelve requests at one time, of which a third counts, allow two retries at a ratio of one half.
// The retries wait until these requests have left the window. Sent then, they would be two retries
// where none is allowed.
BOOST_AUTO_TEST_CASE(RetryIsNotSentWhenItsRequestsHaveLeftTheWindow) {
  retries = admission::RetryWindows({milliseconds(500), 0.5, 0, 1.0}, kStartedLongAgo, oneNode);
  constexpr std::size_t kRequests = 12;
  for (std::size_t count = 0; count < kRequests - 2; ++count) request("unsafe");
  const auto attempts = requestTwo();
  for (const char* name : {"a", "b", "c"}) replicas.onRemoved(name);
  breakConnection(attempts);
  BOOST_TEST(retries.use("app", time.now()).reserved == 2U);
  time.advance(milliseconds(1800));
  addReplica("d", "app");
  time.advance(milliseconds(50));
  BOOST_TEST(client.sent.size() == kRequests);
  BOOST_TEST(views.back()->refusal->status == 502U);
}

BOOST_AUTO_TEST_CASE(LogAndOutcomeContainTheCausesOfRetries) {
  request("safe");
  client.last().refuseNotExecuted();
  client.last().refuseConnection();
  client.last().respond(200, "done");
  BOOST_TEST(loggedCauses() == std::vector<std::string>({"refused", "never_arrived"}),
             boost::test_tools::per_element());
  const auto& counts = outcomes.back().retries;
  BOOST_TEST(counts.at(static_cast<std::size_t>(RetryCause::kRefused)) == 1U);
  BOOST_TEST(counts.at(static_cast<std::size_t>(RetryCause::kNeverArrived)) == 1U);
  BOOST_TEST(outcomes.back().service == "app");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::request
