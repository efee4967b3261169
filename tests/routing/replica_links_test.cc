// Tests how a node finds out which replicas it does not reach by connections of its own, and when
// it reaches them again.
#include "routing/replica_links.h"

#include <boost/test/unit_test.hpp>
#include <set>

#include "support/recording_log.h"
#include "support/virtual_time.h"

namespace covewing::routing {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Connections to the addresses in `silent` take until the time-out of the probe.
class SilentReachability final : public clients::ReachabilityClient {
 public:
  explicit SilentReachability(base::TimerService& timers) : timers_(timers) {}
  void connect(const base::Endpoint& address, base::Duration timeout,
               std::function<void(clients::Reachability)> callback) override {
    ++probes;
    const bool isSilent = silent.contains(address);
    timers_.schedule(
        isSilent ? timeout : milliseconds(1), [isSilent, callback = std::move(callback)] {
          callback(isSilent ? clients::Reachability::kSilent : clients::Reachability::kAccepts);
        });
  }

  std::set<base::Endpoint> silent;
  std::size_t probes = 0;

 private:
  base::TimerService& timers_;
};

struct LinksFixture {
  static constexpr std::size_t kReplicas = 15;

  LinksFixture() {
    for (std::size_t number = 0; number < kReplicas; ++number) {
      Replica replica;
      replica.instance = "replica-" + std::to_string(number);
      replica.service = "app";
      replica.endpoint = endpointOf(number);
      replicas.onListed(std::move(replica));
    }
  }
  static base::Endpoint endpointOf(std::size_t number) {
    return {0x7f000001, static_cast<std::uint16_t>(8000 + number)};
  }
  const ReplicaRecord& replica(std::size_t number) const {
    return *replicas.find("replica-" + std::to_string(number));
  }
  void cutAll() {
    for (std::size_t number = 0; number < kReplicas; ++number)
      reachability.silent.insert(endpointOf(number));
  }

  test_support::VirtualTime time;
  test_support::RecordingLog log;
  base::SeededRandom random{1};
  ReplicaDirectory replicas;
  SilentReachability reachability{time};
  ReplicaLinks links{{}, {time, time, random, log, reachability, replicas}};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(ReplicaLinksTest, LinksFixture)

BOOST_AUTO_TEST_CASE(LossOfAllLinksIsFoundOutFromOneOfThem) {
  cutAll();
  links.onConnectFailed(replica(3));
  BOOST_TEST(!links.working(replica(3)));
  BOOST_TEST(links.failed() == 1U);
  time.advance(milliseconds(650));
  BOOST_TEST(links.failed() == kReplicas);
  BOOST_TEST(links.mostFailed());
}

BOOST_AUTO_TEST_CASE(FailureOfOneReplicaLeavesOtherLinksAlone) {
  reachability.silent.insert(endpointOf(3));
  links.onConnectFailed(replica(3));
  time.advance(seconds(10));
  BOOST_TEST(links.failed() == 1U);
  BOOST_TEST(!links.mostFailed());
  // Four others once, and the failed one about once a second.
  BOOST_TEST(reachability.probes <= 4U + 13U);
}

BOOST_AUTO_TEST_CASE(LinksWorkAgainOnceProbesSucceed) {
  cutAll();
  links.onConnectFailed(replica(0));
  time.advance(seconds(12));
  BOOST_TEST(links.failed() == kReplicas);
  std::set<std::string> restored;
  links.onRestored([&](const std::string& instance) { restored.insert(instance); });
  reachability.silent.clear();
  time.advance(milliseconds(1600));
  BOOST_TEST(links.failed() == 0U);
  BOOST_TEST(restored.size() == kReplicas);
  const auto probes = reachability.probes;
  time.advance(seconds(10));
  BOOST_TEST(reachability.probes == probes);
}

// A single probe that passes a link with losses does not restore it.
BOOST_AUTO_TEST_CASE(LinkIsNotRestoredByOneProbe) {
  reachability.silent.insert(endpointOf(3));
  links.onConnectFailed(replica(3));
  time.advance(seconds(2));
  reachability.silent.clear();
  while (reachability.probes == 0 || log.count(base::Event::kReplicaLinkRestored) == 0) {
    const auto probes = reachability.probes;
    time.advance(milliseconds(10));
    if (reachability.probes == probes) continue;
    reachability.silent.insert(endpointOf(3));
    break;
  }
  time.advance(seconds(5));
  BOOST_TEST(!links.working(replica(3)));
  BOOST_TEST(log.count(base::Event::kReplicaLinkRestored) == 0U);
}

BOOST_AUTO_TEST_CASE(ProbeDecidesWhetherALinkWorks) {
  std::optional<bool> works;
  links.verify(replica(3), [&](bool result) { works = result; });
  time.advance(milliseconds(10));
  BOOST_TEST((works == true));
  BOOST_TEST(links.working(replica(3)));
  reachability.silent.insert(endpointOf(3));
  links.verify(replica(3), [&](bool result) { works = result; });
  time.advance(milliseconds(250));
  BOOST_TEST((works == false));
  BOOST_TEST(!links.working(replica(3)));
}

// A node whose connections are reset at once must not blame the replicas one after the other.
BOOST_AUTO_TEST_CASE(ConnectionsThatBreakTogetherAreNotBlamedOnReplicas) {
  BOOST_TEST(!links.onConnectionBroken(replica(0)));
  BOOST_TEST(!links.onConnectionBroken(replica(0)));
  BOOST_TEST(!links.onConnectionBroken(replica(1)));
  BOOST_TEST(links.onConnectionBroken(replica(2)));
  time.advance(milliseconds(200));
  BOOST_TEST(!links.onConnectionBroken(replica(3)));
}

BOOST_AUTO_TEST_CASE(RemovedReplicaIsForgotten) {
  cutAll();
  links.onConnectFailed(replica(3));
  time.advance(seconds(2));
  for (std::size_t number = 0; number < kReplicas; ++number)
    replicas.onRemoved("replica-" + std::to_string(number));
  time.advance(seconds(2));
  BOOST_TEST(links.failed() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::routing
