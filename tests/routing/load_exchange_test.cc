// Exchange of load reports between nodes, and its behaviour under message loss, restarts and
// unresponsive nodes.
#include "routing/load_exchange.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>

#include "base/random.h"
#include "routing/fakes.h"
#include "routing/load_messages.h"
#include "support/recording_log.h"
#include "support/virtual_time.h"

namespace covewing::routing {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::FakeMembers;
using testing::makeMember;

namespace {

constexpr std::size_t kReplicas = 4;

std::string replicaName(std::size_t number) { return "r" + std::to_string(number); }
base::EngineId replicaId(std::size_t number) { return base::engineIdOf(replicaName(number)); }

struct LoadNode;

/// Delivers messages to the node with the endpoint's address, or drops them.
class Network {
 public:
  std::vector<std::unique_ptr<LoadNode>> nodes;
  /// Fraction of the messages that are lost.
  double loss = 0;
  std::size_t sent = 0;
  base::SeededRandom random{7};
};

class Link final : public base::PeerTransport {
 public:
  Link(Network& network, base::PeerIdentity self) : network_(network), self_(self) {}
  void send(const base::Endpoint& destination, base::Channel channel, std::string payload) override;

 private:
  Network& network_;
  base::PeerIdentity self_;
};

/// One node with its replicas and the load updates that it receives.
struct LoadNode {
  LoadNode(test_support::VirtualTime& time, test_support::RecordingLog& log, Network& network,
           std::vector<membership::Member> ownFirst)
      : members(std::move(ownFirst)),
        link(network, {members.self().id, 1, members.self().endpoint}),
        exchange(std::make_unique<LoadExchange>(
            LoadExchangeOptions{},
            LoadExchangeEnvironment{time, time, log, link, members, replicas, fleet})) {
    for (std::size_t number = 0; number < kReplicas; ++number) {
      Replica replica;
      replica.instance = replicaName(number);
      replica.service = "llm";
      replicas.onListed(replica);
    }
  }

  ReplicaRecord& record(std::size_t number) { return *replicas.find(replicaName(number)); }

  FakeMembers members;
  Link link;
  ReplicaDirectory replicas;
  FleetLoad fleet;
  std::unique_ptr<LoadExchange> exchange;
};

void Link::send(const base::Endpoint& destination, base::Channel channel, std::string payload) {
  ++network_.sent;
  if (channel != base::Channel::kReplicaLoad || network_.random.unit() < network_.loss) return;
  auto& exchange = network_.nodes.at(destination.address)->exchange;
  if (exchange) exchange->onPeerMessage(self_, payload);
}

struct ExchangeFixture {
  ExchangeFixture() { time.advance(seconds(100)); }

  void build(std::size_t count) {
    std::vector<membership::Member> members;
    for (std::size_t number = 0; number < count; ++number) {
      members.push_back(makeMember("node-" + std::to_string(number), "z"));
      members.back().endpoint = {static_cast<std::uint32_t>(number), 1};
    }
    for (std::size_t number = 0; number < count; ++number) {
      auto ownFirst = members;
      std::swap(ownFirst.front(), ownFirst[number]);
      network.nodes.push_back(std::make_unique<LoadNode>(time, log, network, ownFirst));
    }
    for (auto& node : network.nodes) node->exchange->start();
  }

  LoadNode& node(std::size_t number) { return *network.nodes.at(number); }
  ReplicaLoad recordedLoadOfOthers(std::size_t viewer, std::size_t replica) {
    return node(viewer).fleet.loadOfOtherNodes(replicaId(replica), time.now());
  }
  /// The load that all nodes except one actually have in progress.
  ReplicaLoad actualLoadOfOthers(std::size_t viewer, std::size_t replica) {
    ReplicaLoad sum;
    for (std::size_t number = 0; number < network.nodes.size(); ++number) {
      if (number != viewer) sum += node(number).record(replica).ownLoad();
    }
    return sum;
  }

  test_support::VirtualTime time;
  test_support::RecordingLog log;
  Network network;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(LoadSharingTest, ExchangeFixture)

BOOST_AUTO_TEST_CASE(LoadOfOtherNodesIsKnownWithinTwoIntervals) {
  build(3);
  node(1).record(0).onDispatched(900);
  node(2).record(0).onDispatched(100);
  node(2).record(0).addPendingPrefill(30);
  time.advance(milliseconds(100));
  BOOST_TEST((recordedLoadOfOthers(0, 0) == ReplicaLoad{2, 1000, 30}));
  BOOST_TEST((recordedLoadOfOthers(1, 0) == ReplicaLoad{1, 100, 30}));
  node(1).record(0).onFinished(900);
  time.advance(milliseconds(100));
  BOOST_TEST(recordedLoadOfOthers(0, 0).tokens == 100U);
}

BOOST_AUTO_TEST_CASE(UnchangedLoadIsOnlyRepeatedPeriodically) {
  build(3);
  time.advance(seconds(1));
  const auto before = network.sent;
  time.advance(seconds(10));
  BOOST_TEST(network.sent - before <= 3U * 2U * 11U);
}

BOOST_AUTO_TEST_CASE(LoadOfUnresponsiveNodeExpires) {
  build(3);
  node(1).record(0).onDispatched(900);
  time.advance(milliseconds(100));
  BOOST_TEST(node(0).fleet.reportingNodes(time.now()) == 2U);
  node(1).exchange.reset();
  time.advance(seconds(3));
  BOOST_TEST(node(0).fleet.reportingNodes(time.now()) == 1U);
  BOOST_TEST(recordedLoadOfOthers(0, 0).requests == 0U);
}

BOOST_AUTO_TEST_CASE(OutdatedUpdatesAreDropped) {
  build(2);
  auto& fleet = node(0).fleet;
  const auto sender = base::nodeIdOf("other");
  fleet.onUpdate(sender, 5, 9, {{replicaId(0), {3, 30, {}}}}, time.now());
  fleet.onUpdate(sender, 5, 8, {{replicaId(0), {7, 70, {}}}}, time.now());
  fleet.onUpdate(sender, 4, 10, {{replicaId(0), {8, 80, {}}}}, time.now());
  BOOST_TEST(recordedLoadOfOthers(0, 0).requests == 3U);
  fleet.onUpdate(sender, 6, 1, {}, time.now());
  BOOST_TEST(recordedLoadOfOthers(0, 0).requests == 0U);
}

BOOST_AUTO_TEST_CASE(MessageRateIsBoundedForAnyNumberOfNodes) {
  build(25);
  for (int step = 0; step < 200; ++step) {
    node(0).record(0).onDispatched(1);
    time.advance(milliseconds(50));
  }
  // Ten seconds of updates from one node with changing load, and the repeated updates of 24 idle
  // nodes.
  BOOST_TEST(network.sent <= 10U * 120U + 25U * 24U * 11U);
  BOOST_TEST(network.sent >= 10U * 60U);
}

BOOST_AUTO_TEST_CASE(NothingIsSentIfUpdatesWouldBeOutOfDate) {
  build(61);
  for (int step = 0; step < 200; ++step) {
    node(0).record(0).onDispatched(1);
    time.advance(milliseconds(50));
  }
  BOOST_TEST(network.sent == 0U);
  BOOST_TEST((node(0).fleet.interval() > kMaximumUsefulLoadInterval));
}

BOOST_AUTO_TEST_CASE(MalformedUpdatesAreDropped) {
  build(2);
  node(0).exchange->onPeerMessage({base::nodeIdOf("x"), 1, {}}, "nonsense");
  BOOST_TEST(log.count(base::Event::kMessageRejected) == 1U);
  BOOST_TEST(!decodeLoadUpdate("").has_value());
}

// Applies random load changes under message loss, and compares the views with the actual load after
// the load has been unchanged for long enough to be sent again.
BOOST_AUTO_TEST_CASE(ViewsConvergeAfterMessageLoss) {
  build(5);
  base::SeededRandom random{11};
  network.loss = 0.4;
  std::map<std::pair<std::size_t, std::size_t>, std::uint32_t> inFlight;
  for (int step = 0; step < 400; ++step) {
    const auto sender = random.below(5);
    const auto replica = random.below(kReplicas);
    auto& count = inFlight[{sender, replica}];
    if (count > 0 && random.below(2) == 0) {
      node(sender).record(replica).onFinished(100);
      --count;
    } else {
      node(sender).record(replica).onDispatched(100);
      ++count;
    }
    time.advance(milliseconds(20));
  }
  network.loss = 0;
  time.advance(milliseconds(1100));
  for (std::size_t viewer = 0; viewer < 5; ++viewer) {
    for (std::size_t replica = 0; replica < kReplicas; ++replica)
      BOOST_TEST((recordedLoadOfOthers(viewer, replica) == actualLoadOfOthers(viewer, replica)));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::routing
