// Requests that arrive after a pause wait until the node has read its configuration and replica
// list again.
#include "node/wake_gate.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "support/recording_log.h"
#include "support/virtual_time.h"

namespace covewing::node {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct WakeGateFixture {
  void arrive(char name) {
    gate.runWhenOpen([this, name] { executed += name; });
  }
  std::string eventField(std::string_view name) const {
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
  std::string executed;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(WakeGateTest, WakeGateFixture)

BOOST_AUTO_TEST_CASE(RequestsRunAtOnceWithoutAPause) {
  arrive('a');
  BOOST_TEST(executed == "a");
}

BOOST_AUTO_TEST_CASE(RequestsWaitUntilCaughtUpAndRunInOrder) {
  gate.onWake(seconds(10), seconds(9));
  arrive('a');
  arrive('b');
  time.advance(milliseconds(50));
  BOOST_TEST(executed.empty());
  caughtUp = true;
  time.advance(WakeGate::kPollInterval);
  BOOST_TEST(executed == "ab");
  arrive('c');
  BOOST_TEST(executed == "abc");
  BOOST_TEST(log.count(base::Event::kNodeCaughtUp) == 1U);
  BOOST_TEST(eventField("silence_ms") == "10000");
  BOOST_TEST(eventField("suspended_ms") == "9000");
  BOOST_TEST(eventField("read_again") == "yes");
  BOOST_TEST(eventField("held") == "2");
}

BOOST_AUTO_TEST_CASE(RequestsRunAfterTheMaximumHoldWithoutCatchingUp) {
  gate.onWake(seconds(10), {});
  arrive('a');
  time.advance(WakeGate::kMaximumHold - milliseconds(1));
  BOOST_TEST(executed.empty());
  time.advance(milliseconds(1));
  BOOST_TEST(executed == "a");
  BOOST_TEST(eventField("read_again") == "not yet");
}

BOOST_AUTO_TEST_CASE(SecondPauseRestartsTheHold) {
  gate.onWake(seconds(2), {});
  arrive('a');
  time.advance(milliseconds(100));
  time.pause(seconds(5));
  gate.onWake(seconds(5), {});
  time.advance(milliseconds(250));
  BOOST_TEST(executed.empty());
  caughtUp = true;
  time.advance(WakeGate::kPollInterval);
  BOOST_TEST(executed == "a");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::node
