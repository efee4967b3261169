// Requests that arrive after a pause wait until the node has read again what it decides by.
#include "node/wake_gate.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "support/recording_log.h"
#include "support/virtual_time.h"

namespace covewing::node {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct GateFixture {
  void arrive(char name) {
    gate.runWhenOpen([this, name] { passed += name; });
  }
  std::string fieldOfTheEvent(std::string_view name) const {
    for (const auto& [event, fields] : log.entries) {
      for (const auto& field : fields) {
        if (event == base::Event::kNodeCaughtUp && field.name == name)
          return std::string{field.value};
      }
    }
    return {};
  }

  test_support::VirtualTime time;
  test_support::RecordingLog log;
  bool caughtUp = false;
  WakeGate gate{time, time, log, [this] { return caughtUp; }};
  std::string passed;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(WakeGateTest, GateFixture)

BOOST_AUTO_TEST_CASE(RequestsPassAtOnceWithoutAPause) {
  arrive('a');
  BOOST_TEST(passed == "a");
}

BOOST_AUTO_TEST_CASE(RequestsWaitForTheAnswersAndPassInOrder) {
  gate.onWake(seconds(10), seconds(9));
  arrive('a');
  arrive('b');
  time.advance(milliseconds(50));
  BOOST_TEST(passed.empty());
  caughtUp = true;
  time.advance(WakeGate::kStep);
  BOOST_TEST(passed == "ab");
  arrive('c');
  BOOST_TEST(passed == "abc");
  BOOST_TEST(log.count(base::Event::kNodeCaughtUp) == 1U);
  BOOST_TEST(fieldOfTheEvent("silence_ms") == "10000");
  BOOST_TEST(fieldOfTheEvent("suspended_ms") == "9000");
  BOOST_TEST(fieldOfTheEvent("read_again") == "yes");
  BOOST_TEST(fieldOfTheEvent("held") == "2");
}

BOOST_AUTO_TEST_CASE(RequestsPassInTheEndWithoutAnAnswer) {
  gate.onWake(seconds(10), {});
  arrive('a');
  time.advance(WakeGate::kLongestHold - milliseconds(1));
  BOOST_TEST(passed.empty());
  time.advance(milliseconds(1));
  BOOST_TEST(passed == "a");
  BOOST_TEST(fieldOfTheEvent("read_again") == "not yet");
}

BOOST_AUTO_TEST_CASE(AnotherPauseMeanwhileHoldsOn) {
  gate.onWake(seconds(2), {});
  arrive('a');
  time.advance(milliseconds(100));
  time.pause(seconds(5));
  gate.onWake(seconds(5), {});
  time.advance(milliseconds(250));
  BOOST_TEST(passed.empty());
  caughtUp = true;
  time.advance(WakeGate::kStep);
  BOOST_TEST(passed == "a");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::node
