// Requests whose prompts share a part that makes replicas crash.
#include <boost/test/unit_test.hpp>

#include "request/relay_fixture.h"

namespace covewing::request {

using std::chrono::milliseconds;

namespace {

std::string idOf(std::string_view part) { return std::to_string(prefix::partIdOf(part)); }

}  // namespace

BOOST_FIXTURE_TEST_SUITE(PromptPartQuarantineTest, RelayFixture)

// Without the parts before the deepest shared one, the log does not show which part the interrupted
// requests had in common.
BOOST_AUTO_TEST_CASE(DispatchesAreLoggedWithAllSharedParts) {
  promptText = "aa:1000,bb:300,cc:200,own:10";
  request("once");
  BOOST_TEST(loggedValues(base::Event::kRelayDispatched, "parts").back() ==
             idOf("aa") + ' ' + idOf("bb") + ' ' + idOf("cc"));
  BOOST_TEST(loggedValues(base::Event::kRelayDispatched, "part").back() == idOf("cc"));
  request("unsafe");
  BOOST_TEST(loggedValues(base::Event::kRelayDispatched, "parts").back().empty());
}

// Guards against attempts whose responses had just begun not being told from others.
BOOST_AUTO_TEST_CASE(LostAttemptsAreLoggedWithTheTimeSinceTheirHead) {
  request("once");
  client.last().head(200);
  time.advance(milliseconds(130));
  client.last().breakConnection();
  BOOST_TEST(loggedValues(base::Event::kRelayAttemptFailed, "begun_ms").back() == "130");
  request("once");
  time.advance(milliseconds(130));
  client.last().breakConnection();
  BOOST_TEST(loggedValues(base::Event::kRelayAttemptFailed, "begun_ms").back().empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::request
