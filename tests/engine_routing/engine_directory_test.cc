#include "engine_routing/engine_directory.h"

#include <boost/test/unit_test.hpp>

#include "base/random.h"
#include "engine_routing/policy_factory.h"
#include "engine_routing/routing_policy.h"
#include "routing/fakes.h"

namespace covewing::engine_routing {

namespace {

using namespace std::chrono_literals;
using routing::testing::makeEngineMachine;
using routing::testing::makeMember;
using routing::testing::makeReport;

struct DirectoryFixture {
  routing::testing::ManualTime time;
  base::SeededRandom random{7};
  base::NullEventLog log;
  routing::testing::FakeMachineList machines{time};
  routing::testing::FakeEngines engines{time};
  routing::testing::FakeMembers members{{makeMember("node-a", "north")}};
  routing::testing::FakeRecords records;
  EngineDirectory directory{{}, {time, time, random, log, machines, engines, members, records}};

  void addEngine(const std::string& name, const std::string& zone, base::WeightsVersion version) {
    machines.machines->push_back(makeEngineMachine(name, zone));
    engines.reports[name] = makeReport(1, version);
  }
  const EngineState& engine(const std::string& name) const {
    return *directory.find(base::engineIdOf(name));
  }
};

membership::GossipRecord gossip(const std::string& name, std::uint64_t version,
                                const EngineRecord& record) {
  return {engineRecordKey(name), version, encodeEngineRecord(record)};
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(EngineDirectoryTest, DirectoryFixture)

BOOST_AUTO_TEST_CASE(SingleNodePollsEveryListedEngine) {
  addEngine("rules-1", "north", 4);
  addEngine("rules-2", "south", 4);
  directory.start();
  time.advance(100ms);
  BOOST_TEST(directory.engines().size() == 2U);
  BOOST_TEST(engine("rules-1").serves("rules", "judge", 4));
  BOOST_TEST(engine("rules-1").serves("rules", "", 4));
  BOOST_TEST(!engine("rules-1").serves("rules", "", 3));
  BOOST_TEST(directory.defaultVersion("rules") == 4U);
  BOOST_TEST(records.published.size() == 2U);
}

BOOST_AUTO_TEST_CASE(RecordsArePublishedOnChangeOnly) {
  addEngine("rules-1", "north", 4);
  directory.start();
  time.advance(5s);
  BOOST_TEST(records.published.size() == 1U);
  engines.reports["rules-1"].leaving = true;
  time.advance(1s);
  BOOST_REQUIRE(records.published.size() == 2U);
  BOOST_TEST(records.published[1].version > records.published[0].version);
  BOOST_TEST(engine("rules-1").leaving);
}

BOOST_AUTO_TEST_CASE(NodeThatIsNotAHomeAppliesRecords) {
  members.set({makeMember("node-b", "north"), makeMember("node-c", "south")});
  directory.start();
  EngineRecord record;
  record.incarnation = 5;
  record.zone = "north";
  record.weights = {{"rules", 2, {}}};
  records.deliver(gossip("rules-9", 100, record));
  BOOST_TEST(engine("rules-9").serves("rules", "", 2));
  BOOST_TEST(engine("rules-9").incarnation == 5U);
  record.incarnation = 4;
  record.weights.clear();
  records.deliver(gossip("rules-9", 101, record));
  BOOST_TEST(engine("rules-9").serves("rules", "", 2));
  record.incarnation = 5;
  record.leaving = true;
  records.deliver(gossip("rules-9", 102, record));
  BOOST_TEST(engine("rules-9").leaving);
  time.advance(1s);
  BOOST_TEST(engines.polls == 0U);
}

BOOST_AUTO_TEST_CASE(UnresponsiveEngineIsUnreachableUntilItResponds) {
  addEngine("rules-1", "north", 4);
  directory.start();
  time.advance(1s);
  const auto report = engines.reports["rules-1"];
  engines.reports.clear();
  time.advance(1500ms);
  BOOST_TEST(engine("rules-1").unreachable);
  engines.reports["rules-1"] = report;
  time.advance(1s);
  BOOST_TEST(!engine("rules-1").unreachable);
}

BOOST_AUTO_TEST_CASE(FailedDispatchMarksEngineUnreachableUntilPollSucceeds) {
  addEngine("rules-1", "north", 4);
  directory.start();
  time.advance(100ms);
  directory.markUnreachable(base::engineIdOf("rules-1"));
  BOOST_TEST(engine("rules-1").unreachable);
  time.advance(700ms);
  BOOST_TEST(!engine("rules-1").unreachable);
}

BOOST_AUTO_TEST_CASE(ANewIncarnationDropsLoadAndSequence) {
  addEngine("rules-1", "north", 4);
  engines.reports["rules-1"].nextSequence = 90;
  directory.start();
  time.advance(1s);
  BOOST_TEST(engines.polledFrom["rules-1"] == 90U);
  directory.observeIncarnation(base::engineIdOf("rules-1"), 2);
  BOOST_TEST(engine("rules-1").incarnation == 2U);
  BOOST_TEST(!engine("rules-1").load.has_value());
  time.advance(700ms);
  BOOST_TEST(engines.polledFrom["rules-1"] == 0U);
  BOOST_TEST(engine("rules-1").incarnation == 2U);
}

BOOST_AUTO_TEST_CASE(LeavingMarkOverridesLaggingMachineList) {
  addEngine("rules-1", "north", 4);
  directory.start();
  time.advance(1s);
  directory.markLeaving(base::engineIdOf("rules-1"));
  BOOST_TEST(engine("rules-1").leaving);
  time.advance(3s);
  BOOST_TEST(engine("rules-1").leaving);
}

// Guards against losing the refusal of a leaving application, which happened when its identifier
// was looked up among the engines only.
BOOST_AUTO_TEST_CASE(LeavingApplicationReceivesNoRequests) {
  for (const char* name : {"pairings-1", "pairings-2"}) {
    auto machine = makeEngineMachine(name, "north");
    machine.kind = clients::MachineKind::kApplication;
    machine.application = "pairings";
    machines.machines->push_back(machine);
  }
  directory.start();
  time.advance(1s);
  BOOST_TEST(directory.applicationReplicas("pairings").size() == 2U);
  directory.markLeaving(base::engineIdOf("pairings-1"));
  time.advance(20s);
  const auto offered = directory.applicationReplicas("pairings");
  BOOST_REQUIRE(offered.size() == 1U);
  BOOST_TEST(offered.front().name == "pairings-2");
  // The application may have restarted in the meantime, which it does not report.
  time.advance(11s);
  BOOST_TEST(directory.applicationReplicas("pairings").size() == 2U);
}

// Guards against the mark expiring after 10 s: the engine then received new requests again if the
// machine list showed it as leaving only later.
BOOST_AUTO_TEST_CASE(LeavingMarkIsKeptUntilEngineRestarts) {
  addEngine("rules-1", "north", 4);
  directory.start();
  time.advance(1s);
  directory.markLeaving(base::engineIdOf("rules-1"));
  time.advance(30s);
  BOOST_TEST(engine("rules-1").leaving);
  directory.observeIncarnation(base::engineIdOf("rules-1"), 2);
  BOOST_TEST(!engine("rules-1").leaving);
}

BOOST_AUTO_TEST_CASE(UnlistedEngineIsRemovedOnlyIfItDoesNotRespond) {
  addEngine("rules-1", "north", 4);
  addEngine("rules-2", "north", 4);
  directory.start();
  time.advance(1s);
  machines.machines->clear();
  engines.reports.erase("rules-2");
  time.advance(15s);
  BOOST_TEST(directory.find(base::engineIdOf("rules-1")) != nullptr);
  BOOST_TEST(directory.find(base::engineIdOf("rules-2")) == nullptr);
}

BOOST_AUTO_TEST_CASE(TheDefaultVersionIsTheNewestLoadedEverywhere) {
  addEngine("rules-1", "north", 4);
  addEngine("rules-2", "north", 4);
  engines.reports["rules-1"].weights.push_back({"rules", 5, {}});
  directory.start();
  time.advance(1s);
  BOOST_TEST(directory.defaultVersion("rules") == 4U);
  engines.reports["rules-2"].weights = {{"rules", 5, {}}};
  time.advance(1s);
  BOOST_TEST(directory.defaultVersion("rules") == 5U);
  BOOST_TEST(directory.defaultVersion("none") == 0U);
}

BOOST_AUTO_TEST_CASE(AVersionOnOneEngineAloneIsNotTheDefault) {
  addEngine("rules-1", "north", 4);
  addEngine("rules-2", "north", 4);
  addEngine("rules-3", "north", 5);
  directory.start();
  time.advance(1s);
  BOOST_TEST(directory.defaultVersion("rules") == 4U);
}

BOOST_AUTO_TEST_CASE(DefaultVersionIsThatOfTheOwnRegion) {
  addEngine("rules-1", "north", 5);
  addEngine("rules-2", "far", 4);
  machines.machines->back().region = "elsewhere";
  addEngine("prices-1", "far", 0);
  machines.machines->back().region = "elsewhere";
  engines.reports["prices-1"].weights = {{"prices", 2, {}}};
  directory.start();
  time.advance(1s);
  BOOST_TEST(directory.defaultVersion("rules") == 5U);
  BOOST_TEST(directory.defaultVersion("prices") == 2U);
}

BOOST_AUTO_TEST_CASE(PrefixHashChoosesOneQualifyingEngineOfTheOwnZone) {
  addEngine("rules-1", "north", 4);
  addEngine("rules-2", "north", 4);
  addEngine("rules-3", "south", 4);
  directory.start();
  time.advance(1s);
  base::Reason reason;
  auto policy = makePolicy("prefix_hash", {directory, time, time, random, log, "north"}, reason);
  BOOST_REQUIRE(policy != nullptr);
  RouteQuery query;
  query.identity = {1, "rules", "", 4};
  query.chain = std::make_shared<prefix::BlockChain>(prefix::BlockChain{{11}, {12}});
  const auto choose = [&] {
    RouteDecision result;
    policy->choose(query, [&](RouteDecision decision) { result = std::move(decision); });
    return result;
  };
  const auto first = choose();
  BOOST_REQUIRE(first.engine.has_value());
  BOOST_TEST(directory.find(*first.engine)->zone == "north");
  BOOST_TEST(choose().engine->value == first.engine->value);
  query.excluded = {*first.engine};
  BOOST_TEST(choose().engine->value != first.engine->value);
  query.identity.weightsVersion = 9;
  BOOST_TEST(!choose().engine.has_value());
  BOOST_TEST((choose().reason.code == base::ResultCode::kNoBackEnd));
  BOOST_TEST(makePolicy("none", {directory, time, time, random, log, "north"}, reason) == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::engine_routing
