#include "engine_routing/routing_service.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <vector>

#include "routing/fakes.h"

namespace covewing::engine_routing {

namespace {

using namespace std::chrono_literals;
using clients::CacheEventKind;
using routing::testing::makeEngineMachine;
using routing::testing::makeMember;
using routing::testing::makeReport;

/// Delivers messages between the nodes of a test after one millisecond.
class FakeTransport final : public base::PeerTransport {
 public:
  FakeTransport(routing::testing::ManualTime& time, membership::Member self,
                std::map<base::Endpoint, base::PeerHandler*>& handlers)
      : time_(time), self_(std::move(self)), handlers_(handlers) {}
  void send(const base::Endpoint& destination, base::Channel /*channel*/,
            std::string payload) override {
    if (cut) return;
    time_.schedule(1ms, [this, destination, payload = std::move(payload)] {
      const auto found = handlers_.find(destination);
      if (found == handlers_.end()) return;
      found->second->onPeerMessage({self_.id, 1, self_.endpoint}, payload);
    });
  }
  bool cut = false;

 private:
  routing::testing::ManualTime& time_;
  membership::Member self_;
  std::map<base::Endpoint, base::PeerHandler*>& handlers_;
};

prefix::BlockChain makeChain(std::size_t length, std::uint64_t seed) {
  prefix::BlockChain chain;
  for (std::size_t index = 0; index < length; ++index) {
    chain.push_back(base::BlockHash{base::mixHash(index, seed)});
  }
  return chain;
}

RouteQuery makeQuery(std::uint64_t seed) {
  RouteQuery query;
  query.identity = {1, "rules", "", 4};
  query.chain = std::make_shared<prefix::BlockChain>(makeChain(256, seed));
  query.promptTokens = 256 * 16;
  return query;
}

/// Three nodes in three zones, and six engines.
struct ServiceFixture {
  struct NodeParts {
    NodeParts(ServiceFixture& fixture, membership::Member self)
        : members(withSelfFirst(fixture.members, self)),
          random(self.id.value),
          transport(fixture.time, self, fixture.handlers) {
      RoutingOptions options;
      options.policy = fixture.policy;
      options.tuning.spillCandidates = 0;
      service = std::make_unique<RoutingService>(
          options, RoutingEnvironment{fixture.time, fixture.time, random, fixture.log, transport,
                                      fixture.machines, fixture.engines, members, records});
      fixture.handlers[self.endpoint] = &service->lookups();
      service->start();
    }
    static std::vector<membership::Member> withSelfFirst(std::vector<membership::Member> all,
                                                         const membership::Member& self) {
      std::stable_partition(all.begin(), all.end(),
                            [&](const auto& member) { return member.id == self.id; });
      return all;
    }

    routing::testing::FakeMembers members;
    base::SeededRandom random;
    FakeTransport transport;
    routing::testing::FakeRecords records;
    std::unique_ptr<RoutingService> service;
  };

  explicit ServiceFixture(std::string policyName = "prefix_affinity")
      : policy(std::move(policyName)) {
    for (int index = 0; index < 6; ++index) {
      const auto name = "rules-" + std::to_string(index);
      machines.machines->push_back(makeEngineMachine(name, "zone-" + std::to_string(index % 3)));
      engines.reports[name] = makeReport(1, 4);
      engines.reports[name].firstSequence = 0;
      engines.reports[name].nextSequence = 0;
    }
    for (const auto& member : members) {
      nodes.push_back(std::make_unique<NodeParts>(*this, member));
    }
    time.advance(3s);
  }

  RouteDecision choose(std::size_t node, const RouteQuery& query) {
    RouteDecision result;
    nodes[node]->service->policy().choose(
        query, [&](RouteDecision decision) { result = std::move(decision); });
    time.advance(30ms);
    return result;
  }
  RouteDecision dispatch(std::size_t node, const RouteQuery& query) {
    const auto decision = choose(node, query);
    nodes[node]->service->policy().onDispatched(query, decision);
    time.advance(5ms);
    return decision;
  }
  std::string nameOf(const RouteDecision& decision) {
    const auto* engine = nodes[0]->service->directory().find(*decision.engine);
    return engine->address.name;
  }

  std::string policy;
  routing::testing::ManualTime time;
  base::NullEventLog log;
  routing::testing::FakeMachineList machines{time};
  routing::testing::FakeEngines engines{time};
  std::vector<membership::Member> members{makeMember("node-a", "zone-0"),
                                          makeMember("node-b", "zone-1"),
                                          makeMember("node-c", "zone-2")};
  std::map<base::Endpoint, base::PeerHandler*> handlers;
  std::vector<std::unique_ptr<NodeParts>> nodes;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(RoutingServiceTest, ServiceFixture)

BOOST_AUTO_TEST_CASE(RoutersChooseTheEngineThatAnotherRouterJustUsed) {
  const auto query = makeQuery(1);
  const auto first = dispatch(0, query);
  BOOST_REQUIRE(first.engine.has_value());
  const auto second = dispatch(1, query);
  const auto third = dispatch(2, query);
  BOOST_TEST(second.engine->value == first.engine->value);
  BOOST_TEST(third.engine->value == first.engine->value);
  BOOST_TEST(second.matchedBlocks == 256U);
}

BOOST_AUTO_TEST_CASE(ReceivedCacheEventsDetermineTheChoice) {
  const auto query = makeQuery(2);
  const auto candidates = choose(0, query).candidates;
  BOOST_REQUIRE(candidates.size() >= 2U);
  const auto holder = candidates[1].name;
  auto& report = engines.reports[holder];
  for (const auto block : *query.chain) report.events.push_back({CacheEventKind::kStored, block});
  report.nextSequence = report.events.size();
  time.advance(1500ms);
  for (std::size_t node = 0; node < nodes.size(); ++node) {
    const auto decision = choose(node, query);
    BOOST_TEST(nameOf(decision) == holder);
    BOOST_TEST(decision.matchedBlocks == 256U);
  }
}

BOOST_AUTO_TEST_CASE(OverloadedHolderIsNotChosen) {
  const auto query = makeQuery(3);
  const auto first = nameOf(dispatch(0, query));
  engines.reports[first].load.waiting[0] = 50;
  engines.reports[first].load.queuedPrefillTokens[0] = 100'000;
  time.advance(1500ms);
  BOOST_TEST(nameOf(choose(1, query)) != first);
}

BOOST_AUTO_TEST_CASE(RestartClearsTheEnginesCacheIndex) {
  const auto query = makeQuery(4);
  const auto first = nameOf(dispatch(0, query));
  auto& report = engines.reports[first];
  report.incarnation = 2;
  time.advance(1500ms);
  for (const auto& candidate : choose(1, query).candidates) {
    BOOST_TEST(candidate.matchedBlocks == 0U);
  }
}

BOOST_AUTO_TEST_CASE(RendezvousOrderDecidesWithoutReplies) {
  const auto query = makeQuery(5);
  nodes[1]->transport.cut = true;
  nodes[2]->transport.cut = true;
  const auto decision = choose(0, query);
  BOOST_REQUIRE(decision.engine.has_value());
  BOOST_TEST(nodes[0]->service->lookups().counters().timeouts <= 1U);
}

BOOST_AUTO_TEST_CASE(ASharedPrefixIsExportedAndThenImportedElsewhere) {
  auto query = makeQuery(6);
  dispatch(0, query);
  const auto second = dispatch(1, query);
  BOOST_TEST(second.exportBlocks >= 128U);
  auto& report = engines.reports[nameOf(second)];
  report.load.waiting[0] = 50;
  report.load.queuedPrefillTokens[0] = 100'000;
  for (std::uint32_t block = 0; block < second.exportBlocks; ++block) {
    report.events.push_back({CacheEventKind::kExported, query.chain->at(block)});
  }
  time.advance(1500ms);
  const auto third = choose(2, query);
  BOOST_TEST(third.engine->value != second.engine->value);
  BOOST_TEST(third.importBlocks == second.exportBlocks);
}

BOOST_AUTO_TEST_CASE(LostEventIsRepairedBySnapshot) {
  const auto query = makeQuery(7);
  const auto holder = choose(0, query).candidates[0].name;
  auto& report = engines.reports[holder];
  report.firstSequence = 40;
  report.nextSequence = 40;
  engines.snapshots[holder] = report;
  for (const auto block : *query.chain) {
    engines.snapshots[holder].events.push_back({CacheEventKind::kStored, block});
  }
  time.advance(3s);
  BOOST_TEST(engines.snapshotRequests >= 1U);
  BOOST_TEST(nameOf(choose(0, query)) == holder);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(PoliciesTest)

BOOST_AUTO_TEST_CASE(EveryPolicyChoosesAndAvoidsExcludedEngines) {
  for (const auto name : policyNames()) {
    ServiceFixture fixture{std::string(name)};
    auto query = makeQuery(8);
    const auto first = fixture.dispatch(0, query);
    BOOST_REQUIRE_MESSAGE(first.engine.has_value(), name);
    query.excluded = {*first.engine};
    for (int attempt = 0; attempt < 20; ++attempt) {
      const auto next = fixture.dispatch(0, query);
      BOOST_REQUIRE_MESSAGE(next.engine.has_value(), name);
      BOOST_TEST(next.engine->value != first.engine->value, name);
    }
    query.identity.weightsVersion = 99;
    BOOST_TEST(!fixture.choose(0, query).engine.has_value(), name);
  }
}

BOOST_AUTO_TEST_CASE(LoadBasedPoliciesAvoidTheOverloadedEngine) {
  for (const auto* name : {"least_loaded", "power_of_two", "probe_pool", "full_index"}) {
    ServiceFixture fixture{name};
    fixture.engines.reports["rules-0"].load.running = 60;
    fixture.engines.reports["rules-0"].load.waiting = {0, 0, 50, 0};
    fixture.engines.reports["rules-0"].load.queuedPrefillTokens = {0, 0, 90'000, 0};
    fixture.time.advance(2s);
    std::size_t overloadedChoices = 0;
    for (std::uint64_t seed = 100; seed < 160; ++seed) {
      const auto decision = fixture.dispatch(seed % 3, makeQuery(seed));
      overloadedChoices += fixture.nameOf(decision) == "rules-0" ? 1 : 0;
    }
    BOOST_TEST(overloadedChoices <= 6U, name);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::engine_routing
