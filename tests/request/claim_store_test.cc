// Tests claims of many nodes over a lossy network and an unreliable table service.
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

#include "request/fakes.h"

namespace covewing::request {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Behaviour = FakeTable::Behaviour;

/// Nodes with one claim store each that share one table service. Messages take one millisecond.
class ClaimFleet {
 public:
  struct Host;

  /// Fault that the network injects for a message: none, loss, duplication or a long delay.
  enum class Fault : std::uint8_t { kDeliver, kLose, kDuplicateMessage, kDelay };

  explicit ClaimFleet(std::size_t size, ClaimOptions options = {});
  ~ClaimFleet();
  ClaimFleet(const ClaimFleet&) = delete;
  ClaimFleet& operator=(const ClaimFleet&) = delete;

  void claim(std::size_t node, const std::string& request, const std::string& key);

  void send(std::size_t from, const base::Endpoint& destination, std::string payload) {
    const Fault fault = faults.empty() ? Fault::kDeliver : faults.front();
    if (!faults.empty()) faults.pop_front();
    ++messages;
    bytes += payload.size();
    if (fault == Fault::kLose) return;
    const auto delay = fault == Fault::kDelay ? seconds(1) : milliseconds(1);
    deliver(from, destination, payload, delay);
    if (fault == Fault::kDuplicateMessage) deliver(from, destination, payload, delay * 2);
  }

  VirtualTime time;
  FakeTable table{time};
  std::deque<Fault> faults;
  std::map<std::string, ClaimResult> results;
  /// By key: the nodes that were granted the claim.
  std::map<std::string, std::vector<std::pair<std::size_t, Claim>>> owners;
  std::vector<base::Duration> latencies;
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;

  ClaimStore& store(std::size_t node);

 private:
  void deliver(std::size_t from, const base::Endpoint& destination, const std::string& payload,
               base::Duration delay);

  ClaimOptions options_;
  std::vector<std::unique_ptr<Host>> hosts_;
  friend struct Host;
};

struct ClaimFleet::Host final : base::PeerTransport {
  Host(ClaimFleet& claimFleet, std::size_t hostIndex, std::size_t size)
      : fleet(claimFleet), index(hostIndex), members(nameOf(hostIndex)), random(hostIndex + 1) {
    for (std::size_t other = 0; other < size; ++other) {
      if (other != index) members.add(nameOf(other));
    }
    members.setEndpoints([](const std::string& name) {
      return base::Endpoint{0, static_cast<std::uint16_t>(std::stoul(name.substr(5)))};
    });
    store = std::make_unique<ClaimStore>(
        fleet.options_,
        ClaimEnvironment{fleet.time, fleet.time, random, *this, fleet.table, members});
  }
  static std::string nameOf(std::size_t index) { return "node-" + std::to_string(index); }
  void send(const base::Endpoint& destination, base::Channel /*channel*/,
            std::string payload) override {
    fleet.send(index, destination, std::move(payload));
  }

  ClaimFleet& fleet;
  std::size_t index;
  FakeMembers members;
  base::SeededRandom random;
  std::unique_ptr<ClaimStore> store;
};

ClaimFleet::ClaimFleet(std::size_t size, ClaimOptions options) : options_(options) {
  for (std::size_t index = 0; index < size; ++index) {
    hosts_.push_back(std::make_unique<Host>(*this, index, size));
  }
}

ClaimFleet::~ClaimFleet() = default;

ClaimStore& ClaimFleet::store(std::size_t node) { return *hosts_.at(node)->store; }

void ClaimFleet::claim(std::size_t node, const std::string& request, const std::string& key) {
  store(node).claim(base::tenantIdOf("stalls"), key, base::RequestId{request}, seconds(2),
                    [this, request, key, node, startedAt = time.now()](ClaimResult result) {
                      if (result.status == ClaimStatus::kOwned)
                        owners[key].emplace_back(node, result.claim);
                      latencies.push_back(time.now() - startedAt);
                      results[request] = std::move(result);
                    });
}

void ClaimFleet::deliver(std::size_t from, const base::Endpoint& destination,
                         const std::string& payload, base::Duration delay) {
  time.schedule(delay, [this, from, to = destination.port, payload] {
    const membership::Member& sender = hosts_.at(from)->members.self();
    hosts_.at(to)->store->onPeerMessage({sender.id, 1, sender.endpoint}, payload);
  });
}

/// Options with which every claim is forwarded to a collector.
ClaimOptions alwaysForwarded() {
  ClaimOptions options;
  options.fleetDirectTransactionsPerSecond = 0.001;
  options.directBurst = 0.5;
  options.collectorsPerRegion = 2;
  return options;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(ClaimStoreTest)

BOOST_AUTO_TEST_CASE(SmallFleetCommitsDirectly) {
  ClaimFleet fleet(3);
  for (int number = 0; number < 2; ++number)
    fleet.claim(0, std::to_string(number), std::to_string(number));
  fleet.time.advance(seconds(1));
  BOOST_TEST(fleet.owners.size() == 2U);
  BOOST_TEST(fleet.messages == 0U);
}

BOOST_AUTO_TEST_CASE(CollectorSettlesClaimsOfManyNodes) {
  ClaimFleet fleet(12, alwaysForwarded());
  for (std::size_t node = 0; node < 12; ++node) {
    for (int number = 0; number < 4; ++number) {
      const std::string name = std::to_string(node) + "/" + std::to_string(number);
      fleet.claim(node, name, name);
    }
  }
  fleet.time.advance(seconds(2));
  BOOST_TEST(fleet.owners.size() == 48U);
  BOOST_TEST(fleet.table.commits.size() <= 8U);
}

BOOST_AUTO_TEST_CASE(SameKeyAtTwoNodesIsOwnedOnce) {
  ClaimFleet fleet(6, alwaysForwarded());
  fleet.claim(1, "r1", "k");
  fleet.claim(2, "r2", "k");
  fleet.time.advance(seconds(3));
  BOOST_TEST(fleet.owners["k"].size() == 1U);
  BOOST_TEST(fleet.results.size() == 2U);
}

BOOST_AUTO_TEST_CASE(UnresponsiveCollectorIsBypassed) {
  ClaimFleet fleet(6, alwaysForwarded());
  fleet.faults = {ClaimFleet::Fault::kLose};
  fleet.claim(1, "r1", "k");
  fleet.time.advance(seconds(2));
  BOOST_TEST((fleet.results.at("r1").status == ClaimStatus::kOwned));
  BOOST_TEST(fleet.store(1).counters().fallbacks == 1U);
}

BOOST_AUTO_TEST_CASE(LostResponseOfTheCollectorIsRecoveredFromTheRow) {
  ClaimFleet fleet(6, alwaysForwarded());
  fleet.faults = {ClaimFleet::Fault::kDeliver, ClaimFleet::Fault::kLose};
  fleet.claim(1, "r1", "k");
  fleet.time.advance(seconds(2));
  BOOST_TEST((fleet.results.at("r1").status == ClaimStatus::kOwned));
  BOOST_TEST(fleet.table.rows.size() == 1U);
}

BOOST_AUTO_TEST_CASE(ResponseForAnEarlierIncarnationIsIgnored) {
  ClaimFleet fleet(2, alwaysForwarded());
  fleet.claim(0, "r1", "k");
  ClaimReply stray;
  stray.number = 1;
  stray.status = ClaimStatus::kOwned;
  fleet.store(0).onPeerMessage({}, encodeClaimMessage(stray));
  BOOST_TEST(fleet.results.empty());
  BOOST_TEST(fleet.store(0).counters().malformed == 0U);
  fleet.store(0).onPeerMessage({}, "garbage");
  BOOST_TEST(fleet.store(0).counters().malformed == 1U);
}

/// Simulates one of two equal regions at the planned size: 170 nodes and 185 claims per second,
/// which may use half of the table service's budget for claims. Prints its measurements with
/// --log_level=message.
BOOST_AUTO_TEST_CASE(RegionOfPlannedSizeStaysWithinTheServicesBudget) {
  constexpr std::size_t kNodes = 170;
  constexpr int kClaimsPerSecond = 185;
  constexpr int kSeconds = 60;
  ClaimOptions options;
  options.fleetDirectTransactionsPerSecond /= 2;
  ClaimFleet fleet(kNodes, options);
  base::SeededRandom random(1);
  for (int number = 0; number < kClaimsPerSecond * kSeconds; ++number) {
    fleet.claim(random.below(kNodes), std::to_string(number), std::to_string(number));
    fleet.time.advance(base::Duration(1'000'000 / kClaimsPerSecond));
  }
  fleet.time.advance(seconds(3));
  BOOST_TEST(fleet.owners.size() == std::size_t{kClaimsPerSecond} * kSeconds);
  std::ranges::sort(fleet.latencies);
  const auto quantile = [&fleet](double share) {
    const auto rank = static_cast<double>(fleet.latencies.size() - 1) * share;
    return base::toMilliseconds(fleet.latencies[static_cast<std::size_t>(rank)]);
  };
  const double calls = static_cast<double>(fleet.table.commits.size() + fleet.table.reads);
  BOOST_TEST_MESSAGE("calls/s " << calls / kSeconds << ", claims a call "
                                << fleet.owners.size() / calls << ", ms p50 " << quantile(0.5)
                                << ", p99 " << quantile(0.99) << ", messages a claim "
                                << double(fleet.messages) / double(fleet.owners.size())
                                << ", payload bytes a claim "
                                << double(fleet.bytes) / double(fleet.owners.size()));
  BOOST_TEST(calls / kSeconds < 60.0);
  BOOST_TEST(quantile(0.99) < 600.0);
}

/// Under any faults of the network and the table service, no key has two owners, and every claim
/// gets a result.
RC_BOOST_PROP(OneOwnerUnderFaults,
              (const std::vector<std::uint8_t>& network, const std::vector<std::uint8_t>& service,
               const std::vector<std::uint8_t>& claims)) {
  ClaimFleet fleet(5, alwaysForwarded());
  for (const std::uint8_t fault : network) {
    fleet.faults.push_back(static_cast<ClaimFleet::Fault>(fault % 4));
  }
  // Calls without any reply are left out, because the table client completes every call.
  for (const std::uint8_t behaviour : service) {
    fleet.table.nextBehaviours.push_back(static_cast<Behaviour>(behaviour % 5));
  }
  std::size_t number = 0;
  for (const std::uint8_t choice : claims) {
    const std::string key = "k" + std::to_string(choice % 3);
    fleet.claim(choice % 5, "r" + std::to_string(number++), key);
    fleet.time.advance(milliseconds(choice));
  }
  fleet.time.advance(seconds(30));
  RC_ASSERT(fleet.results.size() == number);
  for (const auto& [key, owners] : fleet.owners) RC_ASSERT(owners.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::request
