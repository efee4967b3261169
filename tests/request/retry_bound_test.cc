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
    retries = admission::RetryWindows({seconds(2), 0, kMostRetries, 1.0}, kStartedLongAgo, oneNode);
  }

  /// Attempts under way, in the order of their dispatch.
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
        attempt.breakOff();
        return;
      case 3:
        attempt.answer(500, "oops");
        return;
      case 4:
        time.advance(milliseconds(450));
        if (attempt.open) attempt.answer(200, "late");
        return;
      default:
        attempt.answer(200, "done");
    }
  }
  std::vector<std::string> causesLogged() const {
    std::vector<std::string> causes;
    for (const auto& [event, fields] : log.entries) {
      if (event != base::Event::kRequestRetried) continue;
      for (const auto& field : fields) {
        if (field.name == "cause") causes.push_back(field.value);
      }
    }
    return causes;
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

// A retry that never reached its replica is sent in place of the one that was counted.
BOOST_AUTO_TEST_CASE(RetryThatNeverArrivedIsCountedOnce) {
  request("safe");
  client.last().breakOff();
  client.last().refuseConnection();
  BOOST_REQUIRE(client.sent.size() == 3U);
  BOOST_TEST(retries.use("app", time.now()).sent == 1U);
  client.last().answer(200, "done");
  BOOST_TEST(retries.use("app", time.now()).sent == 1U);
}

// Whatever becomes of the attempts of a request, what reached replicas beyond the first is counted,
// and nothing else.
BOOST_AUTO_TEST_CASE(EveryArrivalBeyondTheFirstIsCountedOnce) {
  auto patient = contents();
  patient.version = 2;
  patient.routes.front().attempts = 6;
  useTable(patient);
  for (const char* name : {"d", "e", "f", "g", "h"}) addReplica(name, "app");
  for (int play = 0; play < 500; ++play) {
    retries = admission::RetryWindows({seconds(10), 0, 100, 1.0}, kStartedLongAgo, oneNode);
    const auto before = client.sent.size();
    const auto& caller = request("safe");
    std::size_t arrived = 0;
    while (caller.open()) {
      const auto attempt = client.sent.back();
      const auto outcome = random.below(6);
      if (outcome != kNeverArrives) ++arrived;
      endAttempt(*attempt, outcome);
      if (caller.open() && client.sent.back() == attempt) time.advance(milliseconds(50));
    }
    BOOST_TEST_CONTEXT("play " << play << ", " << client.sent.size() - before << " attempts") {
      const auto use = retries.use("app", time.now());
      BOOST_TEST(use.sent == (arrived == 0 ? 0 : arrived - 1));
      BOOST_TEST(use.reserved == 0U);
    }
    time.advance(seconds(1));
  }
}

BOOST_AUTO_TEST_CASE(RetryWhoseCallerLeavesBeforeItIsSentTakesNothing) {
  request("safe");
  for (const char* name : {"a", "b", "c"}) replicas.onRemoved(name);
  client.last().breakOff();
  BOOST_TEST(retries.use("app", time.now()).reserved == 1U);
  flow.lock()->onCallerDisconnected();
  BOOST_TEST(retries.use("app", time.now()).reserved == 0U);
  BOOST_TEST(retries.use("app", time.now()).sent == 0U);
}

// Twelve requests of one moment, of which a third counts, with a ratio of one half allow two
// retries. These wait until the requests have left the window: sent then, they would be two where
// none is allowed.
BOOST_AUTO_TEST_CASE(RetryIsNotSentWhenItsRequestsHaveLeftTheWindow) {
  retries = admission::RetryWindows({milliseconds(500), 0.5, 0, 1.0}, kStartedLongAgo, oneNode);
  constexpr std::size_t kRequests = 12;
  for (std::size_t count = 0; count < kRequests - 2; ++count) request("unsafe");
  const auto attempts = requestTwo();
  for (const char* name : {"a", "b", "c"}) replicas.onRemoved(name);
  breakOff(attempts);
  BOOST_TEST(retries.use("app", time.now()).reserved == 2U);
  time.advance(milliseconds(1800));
  addReplica("d", "app");
  time.advance(milliseconds(50));
  BOOST_TEST(client.sent.size() == kRequests);
  BOOST_TEST(views.back()->refusal->status == 502U);
}

BOOST_AUTO_TEST_CASE(LogAndOutcomeTellWhyARequestWasRepeated) {
  request("safe");
  client.last().refuseNotExecuted();
  client.last().refuseConnection();
  client.last().answer(200, "done");
  BOOST_TEST(causesLogged() == std::vector<std::string>({"refused", "never_arrived"}),
             boost::test_tools::per_element());
  const auto& counts = outcomes.back().retries;
  BOOST_TEST(counts.at(static_cast<std::size_t>(RetryCause::kRefused)) == 1U);
  BOOST_TEST(counts.at(static_cast<std::size_t>(RetryCause::kNeverArrived)) == 1U);
  BOOST_TEST(outcomes.back().service == "app");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::request
