// Guards against requests that are sent to a replica after their callers have left, on each of the
// ways on which a request gets there. The callers' close is not processed yet when they are sent.
#include <boost/test/unit_test.hpp>

#include "relay_fixture.h"

namespace covewing::request {

using std::chrono::milliseconds;

namespace {

struct DepartedCallerFixture : RelayFixture {
  void checkThatNothingWasSentSince(std::size_t sent) const {
    BOOST_TEST(client.sent.size() == sent);
    BOOST_TEST(service.openRequests() == 0U);
    BOOST_REQUIRE(!outcomes.empty());
    BOOST_TEST(outcomes.back().callerDisconnected);
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(DepartedCallerFlowTest, DepartedCallerFixture)

BOOST_AUTO_TEST_CASE(RetryIsNotSent) {
  auto& caller = request("unsafe");
  caller.connected = false;
  client.last().refuseNotExecuted();
  checkThatNothingWasSentSince(1);
}

BOOST_AUTO_TEST_CASE(RequestWhoseConnectionFailedIsNotSentElsewhere) {
  auto& caller = request("unsafe");
  caller.connected = false;
  client.last().refuseConnection();
  checkThatNothingWasSentSince(1);
}

BOOST_AUTO_TEST_CASE(ConnectionThatIsReadyLaterIsNotUsed) {
  auto& caller = request("unsafe");
  BOOST_TEST(client.last().handler->stillWanted());
  caller.connected = false;
  BOOST_TEST(!client.last().handler->stillWanted());
}

BOOST_AUTO_TEST_CASE(StreamIsNotResumed) {
  auto& caller = request("resumable");
  client.last().head(200);
  client.last().handler->onBody("id: 1\ndata: x\n\n");
  caller.connected = false;
  client.last().breakConnection();
  checkThatNothingWasSentSince(1);
}

BOOST_AUTO_TEST_CASE(RequestThatIsGrantedLateIsNotSent) {
  const base::PeerIdentity other{base::nodeIdOf("other"), 1, {}};
  const routing::PlacementDemand work{20'000, 20'000, 8, 90'000};
  std::uint64_t id = 0;
  for (const char* name : {"m1", "m2", "m3"}) {
    placement.onPeerMessage(
        other, routing::encode(routing::UngrantedDispatch{++id, base::engineIdOf(name), work}));
  }
  auto& caller = request("once");
  BOOST_TEST(client.sent.empty());
  caller.connected = false;
  placement.onPeerMessage(other,
                          routing::encode(routing::PlacementStarted{2, base::engineIdOf("m2")}));
  time.advance(milliseconds(160));
  checkThatNothingWasSentSince(0);
}

BOOST_AUTO_TEST_CASE(RequestThatIsHeldIsNotSent) {
  for (const char* name : {"a", "b", "c"}) replicas.onRemoved(name);
  auto& caller = request("unsafe");
  caller.connected = false;
  addReplica("d", "app");
  time.advance(milliseconds(100));
  checkThatNothingWasSentSince(0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::request
