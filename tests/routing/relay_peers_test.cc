// Tests which node is asked to pass a request on to a replica.
#include "routing/relay_peers.h"

#include <boost/test/unit_test.hpp>
#include <set>

#include "fakes.h"
#include "support/shared_records.h"

namespace covewing::routing {

using std::chrono::milliseconds;
using testing::FakeMembers;
using testing::makeMember;

namespace {

struct PeersFixture {
  PeersFixture() { peers.start(std::nullopt); }

  void addPeer(const std::string& name, const std::string& zone, bool draining = false) {
    auto all = members.liveMembers();
    auto member = makeMember(name, zone);
    member.draining = draining;
    all.push_back(member);
    members.set(all);
  }
  void publishListener(const std::string& name) {
    records.publish({"relay/" + name, 1, "127.0.0.1:" + std::to_string(++port)});
  }
  std::optional<RelayPeer> choose() { return peers.choose(replica, {}, now); }

  FakeMembers members{{makeMember("self", "a")}};
  base::SeededRandom random{1};
  test_support::SharedRecords records;
  RelayPeers peers{{}, random, members, records};
  Replica replica{"replica", "app", "v1", {1, 1}, "b", 1, ReplicaState::kReady, {}, false, {}};
  base::TimePoint now{std::chrono::seconds(100)};
  int port = 8000;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(RelayPeersTest, PeersFixture)

BOOST_AUTO_TEST_CASE(OwnZoneComesFirstThenThatOfTheReplica) {
  addPeer("far", "c");
  publishListener("far");
  BOOST_TEST((choose()->id == base::nodeIdOf("far")));
  addPeer("there", "b");
  publishListener("there");
  for (int count = 0; count < 10; ++count) BOOST_TEST((choose()->id == base::nodeIdOf("there")));
  addPeer("near", "a");
  publishListener("near");
  for (int count = 0; count < 10; ++count) BOOST_TEST((choose()->id == base::nodeIdOf("near")));
}

// Nodes of a build that does not know relaying publish no listener, and get no such request.
BOOST_AUTO_TEST_CASE(NodesWithoutAListenerAndDrainingOnesAreNotAsked) {
  addPeer("older build", "a");
  addPeer("draining", "a", true);
  publishListener("draining");
  BOOST_TEST(!choose().has_value());
}

BOOST_AUTO_TEST_CASE(NodeThatFailedIsAvoidedForAWhile) {
  addPeer("one", "a");
  publishListener("one");
  addPeer("two", "a");
  publishListener("two");
  peers.onPeerFailed(base::nodeIdOf("one"), now);
  for (int count = 0; count < 10; ++count) BOOST_TEST((choose()->id == base::nodeIdOf("two")));
  peers.onReplicaUnreachable(base::nodeIdOf("two"), "replica", now);
  BOOST_TEST(!choose().has_value());
  replica.instance = "another";
  BOOST_TEST(choose().has_value());
  now += std::chrono::seconds(3);
  replica.instance = "replica";
  std::set<base::NodeId> chosen;
  for (int count = 0; count < 50; ++count) chosen.insert(choose()->id);
  BOOST_TEST(chosen.size() == 2U);
}

// Otherwise one of several nodes could be given most requests of a node that is cut off.
BOOST_AUTO_TEST_CASE(NodeWithFewerRequestsInFlightIsPreferred) {
  addPeer("busy", "a");
  publishListener("busy");
  addPeer("idle", "a");
  publishListener("idle");
  for (int count = 0; count < 10; ++count) peers.onSent(base::nodeIdOf("busy"));
  int idle = 0;
  for (int count = 0; count < 200; ++count) idle += choose()->id == base::nodeIdOf("idle") ? 1 : 0;
  BOOST_TEST(idle > 120);
  for (int count = 0; count < 10; ++count) peers.onEnded(base::nodeIdOf("busy"));
  idle = 0;
  for (int count = 0; count < 200; ++count) idle += choose()->id == base::nodeIdOf("idle") ? 1 : 0;
  BOOST_TEST(idle < 120);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::routing
