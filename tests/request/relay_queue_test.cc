// Tests requests that wait in the queue of a replica's home node: what their callers receive, and
// when.
#include <boost/test/unit_test.hpp>

#include "relay_fixture.h"

namespace covewing::request {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// All replicas are at capacity with requests of another node. This node is their home node.
struct QueuedFlowFixture : RelayFixture {
  static constexpr std::uint32_t kSlots = 8;

  void fillReplicas() {
    for (const auto& [name, record] : replicas.all()) {
      for (std::uint32_t count = 0; count < kSlots + 1; ++count) fillOne(name);
    }
  }
  void fillOne(const std::string& name) {
    const auto replica = base::engineIdOf(name);
    const routing::PlacementDemand work{100, 100, kSlots, 90'000};
    placement.onPeerMessage(other,
                            routing::encode(routing::UngrantedDispatch{++runs, replica, work}));
    placement.onPeerMessage(other, routing::encode(routing::PlacementStarted{runs, replica}));
    names.push_back(name);
  }
  void endOne() {
    const routing::PlacementEnded ended{
        runs, base::engineIdOf(names.back()), routing::PlacementOutcome::kServed, {}};
    --runs;
    names.pop_back();
    placement.onPeerMessage(other, routing::encode(ended));
    time.advance(milliseconds(1));
  }
  void setFirstEventPatience(base::Duration firstEventPatience) {
    auto adjusted = contents();
    adjusted.version = 2;
    for (auto& route : adjusted.routes) route.firstEventPatience = firstEventPatience;
    useTable(adjusted);
  }
  std::size_t waiting() const { return placement.counters().queuedHere; }

  const base::PeerIdentity other{base::nodeIdOf("other"), 1, {}};
  std::uint64_t runs = 0;
  std::vector<std::string> names;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(RelayQueueTest, QueuedFlowFixture)

BOOST_AUTO_TEST_CASE(QueuedRequestIsSentWhenARunEnds) {
  fillReplicas();
  request("once");
  BOOST_TEST(waiting() == 1U);
  time.advance(milliseconds(50));
  BOOST_TEST(client.sent.empty());
  endOne();
  // The request waits at one of three replicas, whose running requests end one after the other.
  while (client.sent.empty() && !names.empty()) endOne();
  BOOST_REQUIRE(client.sent.size() == 1U);
  client.last().respond(200, "id: 1\ndata: x\n\n");
  BOOST_TEST(views.front()->ended);
}

// A replica's request for back-off concerns only the node that received it. The home node still
// grants capacity of that replica.
BOOST_AUTO_TEST_CASE(GrantOfAReplicaThatRequestedBackOffMeanwhileIsNotUsed) {
  fillReplicas();
  request("once");
  BOOST_TEST(waiting() == 1U);
  for (const char* name : {"m2", "m3"})
    replicas.find(name)->notices().startBackOff(time.now() + seconds(3));
  while (names.back() != "m1") endOne();
  time.advance(milliseconds(50));
  BOOST_TEST(client.sent.empty());
  while (client.sent.empty() && names.back() == "m1") endOne();
  BOOST_REQUIRE(client.sent.size() == 1U);
  BOOST_TEST(client.last().terms.replica.instance() == "m1");
}

// The verdict on a part of the prompt is passed while the request waits for its grant.
BOOST_AUTO_TEST_CASE(GrantOfARequestThatWasQuarantinedMeanwhileIsNotUsed) {
  fillReplicas();
  auto& caller = request("once");
  BOOST_TEST(waiting() == 1U);
  const auto part = partFeaturesOf(*prefix::PartChain::parse(promptText), "llm").front();
  for (std::uint64_t crash = 1; crash <= 3; ++crash) {
    quarantine.onReplicaCrash({crash}, {{{{5000 + crash}, part}, true}});
    time.advance(milliseconds(301));
  }
  while (caller.open() && !names.empty()) endOne();
  BOOST_TEST(client.sent.empty());
  BOOST_REQUIRE(caller.refusal.has_value());
  BOOST_TEST((caller.refusal->reason.code == base::ResultCode::kPromptPartQuarantined));
}

BOOST_AUTO_TEST_CASE(QueuedRequestIsRemovedWhenItsCallerDisconnects) {
  fillReplicas();
  request("once");
  BOOST_TEST(waiting() == 1U);
  flow.lock()->onCallerDisconnected();
  BOOST_TEST(waiting() == 0U);
  while (!names.empty()) endOne();
  BOOST_TEST(client.sent.empty());
  BOOST_TEST(service.openRequests() == 0U);
}

BOOST_AUTO_TEST_CASE(RequestThatCannotBeServedInTimeIsRefusedWithTheRetryAfterOfTheHome) {
  setFirstEventPatience(milliseconds(150));
  fillReplicas();
  auto& caller = request("once");
  time.advance(milliseconds(180));
  BOOST_REQUIRE(caller.refusal.has_value());
  BOOST_TEST(caller.refusal->status == 503U);
  BOOST_TEST((caller.refusal->retryAfter > milliseconds(0)));
  BOOST_TEST((caller.refusal->retryAfter != RelayOptions{}.retryAfterNoReplica));
  BOOST_TEST(client.sent.empty());
  BOOST_TEST(waiting() == 0U);
}

BOOST_AUTO_TEST_CASE(RequestThatMayHaveRunIsNotReportedAsNotRunWhenAHomeRefusesIt) {
  setFirstEventPatience(milliseconds(150));
  auto& caller = request("resumable");
  BOOST_REQUIRE(client.sent.size() == 1U);
  fillReplicas();
  client.last().breakConnection();
  time.advance(milliseconds(180));
  BOOST_REQUIRE(caller.refusal.has_value());
  BOOST_TEST(caller.refusal->status == 502U);
}

BOOST_AUTO_TEST_CASE(QueuedRequestIsNotSentToAReplicaThatChangesItsWeights) {
  fillReplicas();
  request("once");
  for (const char* name : {"m1", "m2", "m3"})
    replicas.find(name)->setLoadingWeights(time.now() + milliseconds(300));
  while (!names.empty()) endOne();
  time.advance(milliseconds(100));
  BOOST_TEST(client.sent.empty());
  BOOST_TEST(waiting() == 0U);
  // The request is held, without messages to home nodes, until a replica accepts requests again.
  time.advance(milliseconds(400));
  BOOST_TEST(client.sent.size() == 1U);
}

BOOST_AUTO_TEST_CASE(RequestWhoseKeyWasRevokedWhileItWaitedIsNotSent) {
  fillReplicas();
  auto& caller = request("once");
  auto without = contents();
  without.version = 2;
  without.tenants.clear();
  useTable(without);
  while (!names.empty()) endOne();
  BOOST_TEST(client.sent.empty());
  BOOST_REQUIRE(caller.refusal.has_value());
  BOOST_TEST(waiting() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::request
