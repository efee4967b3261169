// Tests requests at a node that does not reach a replica itself: other nodes pass them on, and
// nothing that the other node may have sent is sent again.
#include <boost/test/unit_test.hpp>

#include "relay_fixture.h"

namespace covewing::request {

using clients::DispatchFailure;
using std::chrono::milliseconds;

namespace {

struct CutNodeFixture : RelayFixture {
  CutNodeFixture() {
    relayPeers.start(std::nullopt);
    for (const char* name : {"peer-1", "peer-2"}) {
      relayMembers.add(name);
      records.publish({std::string{"relay/"} + name, 1, listenerOf(name)});
    }
  }
  static std::string listenerOf(const std::string& name) {
    return "127.0.0.1:900" + name.substr(name.size() - 1);
  }
  routing::ReplicaRecord& lastReplica() {
    return *replicas.find(client.last().terms.replica.instance());
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(CutNodeTest, CutNodeFixture)

BOOST_AUTO_TEST_CASE(RequestThatWasNotSentGoesToTheSameReplicaByAnotherNode) {
  auto& caller = request("unsafe");
  const auto replica = client.last().terms.replica.instance();
  BOOST_TEST(!client.last().via.has_value());
  client.last().refuseConnection();
  BOOST_REQUIRE(client.sent.size() == 2U);
  BOOST_TEST(client.last().via.has_value());
  BOOST_TEST(client.last().terms.replica.instance() == replica);
  client.last().respond(200, "done");
  BOOST_TEST(caller.body == "done");
  BOOST_TEST(outcomes.back().attempts == 1U);
  BOOST_TEST(retries.use("app", time.now()).sent == 0U);
}

BOOST_AUTO_TEST_CASE(NextRequestGoesByAnotherNodeAtOnce) {
  reachability.ended.insert(replicas.find("a")->facts().endpoint);
  links.onConnectFailed(*replicas.find("a"));
  for (const char* name : {"b", "c"}) replicas.onRemoved(name);
  request("unsafe");
  BOOST_TEST(client.last().terms.replica.instance() == "a");
  BOOST_TEST(client.last().via.has_value());
}

BOOST_AUTO_TEST_CASE(OneNodeAfterTheOtherIsAskedToPassItOn) {
  auto& caller = request("unsafe");
  client.last().refuseConnection();
  const auto first = client.last().via;
  client.last().failAtRelay(DispatchFailure::kNotSent);
  BOOST_REQUIRE(client.sent.size() == 3U);
  BOOST_TEST(client.last().via.has_value());
  BOOST_TEST((client.last().via != first));
  client.last().respond(200, "done");
  BOOST_TEST(caller.ended);
}

BOOST_AUTO_TEST_CASE(ReplicaThatNobodyReachesIsEjectedAndAnotherServes) {
  auto& caller = request("unsafe");
  auto& replica = lastReplica();
  client.last().refuseConnection();
  client.last().refuseConnection();
  BOOST_TEST(replica.health().ejected(time.now()));
  BOOST_REQUIRE(client.sent.size() == 3U);
  BOOST_TEST(client.last().terms.replica.instance() != replica.facts().instance);
  client.last().respond(200, "done");
  BOOST_TEST(caller.ended);
}

// The links of a node must not count against replicas that other nodes reach.
BOOST_AUTO_TEST_CASE(ReplicaIsNotEjectedBecauseOfTheLinkToIt) {
  request("unsafe");
  auto& replica = lastReplica();
  client.last().refuseConnection();
  BOOST_TEST(!replica.health().ejected(time.now()));
  client.last().failAtRelay(DispatchFailure::kNotSent);
  client.last().failAtRelay(DispatchFailure::kNotSent);
  BOOST_TEST(!replica.health().ejected(time.now()));
}

BOOST_AUTO_TEST_CASE(NotRepeatableRequestIsNotSentAgainWhenTheOtherNodeIsLost) {
  auto& caller = request("unsafe");
  client.last().refuseConnection();
  auto& replica = lastReplica();
  client.last().failAtRelay(DispatchFailure::kOutcomeUnknown);
  BOOST_TEST(client.sent.size() == 2U);
  BOOST_REQUIRE(caller.refusal.has_value());
  BOOST_TEST(caller.refusal->status == 502U);
  BOOST_TEST(replica.health().failureRate() == 0.0);
}

// Guards against two replicas that work on one stream: the end of a run cannot be seen through
// another node.
BOOST_AUTO_TEST_CASE(SilentStreamThatIsPassedOnIsAwaited) {
  request("resumable");
  client.last().refuseConnection();
  BOOST_REQUIRE(client.last().via.has_value());
  const auto sent = client.sent.size();
  time.advance(std::chrono::seconds(3));
  BOOST_TEST(client.last().open);
  BOOST_TEST(client.sent.size() == sent);
}

BOOST_AUTO_TEST_CASE(RequestOfACallerThatLeftIsNotPassedOn) {
  auto& caller = request("unsafe");
  caller.connected = false;
  client.last().refuseConnection();
  BOOST_TEST(client.sent.size() == 1U);
  BOOST_TEST(service.openRequests() == 0U);
}

BOOST_AUTO_TEST_CASE(RequestWhoseKeyWasTakenAwayIsNotPassedOn) {
  request("unsafe");
  auto withoutTenant = contents();
  withoutTenant.version = 2;
  withoutTenant.tenants[0].keys = {"another"};
  useTable(withoutTenant);
  client.last().refuseConnection();
  BOOST_TEST(client.sent.size() == 1U);
}

BOOST_AUTO_TEST_CASE(CallThatIsPassedOnEndsWhenTheCallerLeaves) {
  request("unsafe");
  client.last().refuseConnection();
  flow.lock()->onCallerDisconnected();
  BOOST_TEST(!client.last().open);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::request
