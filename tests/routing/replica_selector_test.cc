// Selection of the replica for a request: its home replica, replicas that are ruled out, and the
// source of cached parts.
#include "routing/replica_selector.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

namespace covewing::routing {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct ChoiceFixture {
  ChoiceFixture() {
    for (const char* name : {"r1", "r2", "r3", "r4"}) add(name, 1);
    engine.slots = 8;
    engine.cacheTokens = 100'000;
  }

  void add(const std::string& name, base::WeightsVersion version,
           ReplicaState state = ReplicaState::kReady) {
    Replica replica;
    replica.instance = name;
    replica.service = "llm";
    replica.endpoint = {1, static_cast<std::uint16_t>(100 + replicas.all().size())};
    replica.zone = "z";
    replica.slots = 8;
    replica.state = state;
    replica.models = {{"m", version}};
    replicas.onListed(std::move(replica));
  }

  ReplicaQuery query() {
    ReplicaQuery query;
    query.service = "llm";
    query.engine = &engine;
    query.model = "m";
    query.chain = &chain;
    query.tokens = 1300;
    return query;
  }

  ReplicaDecision choose() { return selector.choose(query(), 1, now); }

  void addHolder(const std::string& name, base::WeightsVersion version) {
    holders.addChain(base::engineIdOf(name), cacheScope(cacheSalt(version, ""), "m"), chain);
  }

  /// Reports that the other of two nodes has this load at the replica and none elsewhere.
  void reportLoad(const std::string& name, ReplicaLoad load) {
    fleet.onUpdate(base::nodeIdOf("other"), 1, ++updateNumber, {{base::engineIdOf(name), load}},
                   now);
  }

  std::uint64_t updateNumber = 0;
  base::TimePoint now{seconds(100)};
  config::EngineProfile engine;
  prefix::PartChain chain = *prefix::PartChain::parse("aa:500,bb:500,cc:200");
  base::SeededRandom random{1};
  ReplicaDirectory replicas;
  PrefixHolders holders;
  WeightsTargets targets{{seconds(8), seconds(1)}};
  CacheStores stores;
  FleetLoad fleet;
  ReplicaSelector selector{{replicas, holders, targets, stores, fleet, "z"}, {}, random};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(ReplicaChoiceTest, ChoiceFixture)

BOOST_AUTO_TEST_CASE(EqualSharedPartsHaveOneHomeReplica) {
  const auto home = choose().replica;
  for (int count = 0; count < 5; ++count) BOOST_TEST((choose().replica == home));
  chain = *prefix::PartChain::parse("aa:500,bb:500,other:900");
  BOOST_TEST((choose().replica == home));
}

// An order that is carried out late may bring a replica back to an older version. Guards against
// nodes that have seen the newer version expecting it for good, so that the replica refuses all
// their requests.
BOOST_AUTO_TEST_CASE(VersionRevokedByTheListIsAccepted) {
  const auto replica = choose().replica;
  const auto name = replica->facts().instance;
  replica->recordVersion("m", 3);
  // The list lags behind responses: it does not revoke a version that it has never reported.
  add(name, 2);
  BOOST_TEST(replica->versionOf("m") == 3U);
  add(name, 3);
  add(name, 2);
  BOOST_TEST(replica->versionOf("m") == 2U);
  add(name, 3);
  BOOST_TEST(replica->versionOf("m") == 3U);
}

BOOST_AUTO_TEST_CASE(OverloadedHomeReplicaIsAvoidedAndItsCacheFetched) {
  const auto home = choose().replica;
  addHolder(home->facts().instance, 1);
  for (int count = 0; count < 8; ++count) home->onDispatched(100);
  const auto decision = choose();
  BOOST_TEST((decision.replica != home));
  BOOST_TEST(decision.fetchFrom->name == home->facts().instance);
  BOOST_TEST(decision.fetchFrom->tokens == 1000U);
  BOOST_TEST(decision.matchedTokens == 0U);
}

BOOST_AUTO_TEST_CASE(NothingIsFetchedIfTheReplicaHoldsIt) {
  const auto home = choose().replica;
  addHolder(home->facts().instance, 1);
  addHolder("r1", 1);
  addHolder("r2", 1);
  const auto decision = choose();
  BOOST_TEST(decision.matchedTokens == 1000U);
  BOOST_TEST(!decision.fetchFrom.has_value());
}

BOOST_AUTO_TEST_CASE(CacheOfAnotherVersionOrTenantIsNeverUsed) {
  addHolder("r1", 2);
  addHolder("r2", 2);
  BOOST_TEST(!choose().fetchFrom.has_value());
  for (const char* name : {"r1", "r2", "r3", "r4"}) addHolder(name, 1);
  auto isolated = query();
  isolated.cachePartition = "/t";
  const auto decision = selector.choose(isolated, 1, now);
  BOOST_TEST(decision.matchedTokens == 0U);
  BOOST_TEST(!decision.fetchFrom.has_value());
  BOOST_TEST(decision.cacheSalt != choose().cacheSalt);
}

BOOST_AUTO_TEST_CASE(ReplicasOfAllVersionsShareThePartsAndTheNewestGetsMore) {
  // Parts cached under an older version must not attract requests to its replicas: the replicas
  // with the newer version would then stay idle and their caches cold until the older version is
  // forbidden.
  add("r5", 2);
  constexpr int kParts = 400;
  std::map<base::WeightsVersion, int> homes;
  for (int part = 0; part < kParts; ++part) {
    chain = *prefix::PartChain::parse(std::to_string(part) + "a:500,cc:200");
    for (const char* name : {"r1", "r2", "r3", "r4"}) addHolder(name, 1);
    const auto decision = choose();
    BOOST_TEST(decision.rank == 0U);
    ++homes[decision.version];
  }
  // One replica in five, with twice the weight: a third of the parts.
  BOOST_TEST(homes[2] > kParts / 4);
  BOOST_TEST(homes[2] < kParts * 2 / 5);
  BOOST_TEST(homes[1] + homes[2] == kParts);
}

BOOST_AUTO_TEST_CASE(LongPromptsAreDistributedBySpeedAndShortOnesEvenly) {
  constexpr int kParts = 600;
  const auto homes = [&](const char* shared) {
    std::map<std::string, int> count;
    for (int part = 0; part < kParts; ++part) {
      chain = *prefix::PartChain::parse(std::to_string(part) + "a:" + shared + ",cc:200");
      ++count[choose().replica->facts().instance];
    }
    return count;
  };
  const auto homesWithUnknownSpeeds = homes("900");
  replicas.find("r1")->recordSpeed(60);
  replicas.find("r2")->recordSpeed(100);
  replicas.find("r3")->recordSpeed(110);
  replicas.find("r4")->recordSpeed(270);
  auto homesOfLongPrompts = homes("900");
  BOOST_TEST(homesOfLongPrompts["r4"] > 3 * homesOfLongPrompts["r1"]);
  BOOST_TEST(homesOfLongPrompts["r2"] > homesOfLongPrompts["r1"]);
  auto homesOfShortPrompts = homes("300");
  BOOST_TEST(homesOfShortPrompts["r1"] > kParts / 6);
  BOOST_TEST(homesOfShortPrompts["r4"] < kParts / 3);
  // Speeds that hardly differ do not move any part, nor do the speeds of too few replicas.
  replicas.find("r1")->recordSpeed(95);
  replicas.find("r4")->recordSpeed(120);
  BOOST_TEST((homes("900") == homesWithUnknownSpeeds));
  for (const char* name : {"r1", "r2"}) replicas.find(name)->recordSpeed(0);
  replicas.find("r4")->recordSpeed(500);
  BOOST_TEST((homes("900") == homesWithUnknownSpeeds));
}

BOOST_AUTO_TEST_CASE(PartsKeepTheirHomeReplicasWhenAnotherIsRemoved) {
  constexpr int kParts = 100;
  std::vector<std::string> homes;
  const auto chooseFor = [&](int part) {
    chain = *prefix::PartChain::parse(std::to_string(part) + "a:500,cc:200");
    return choose().replica->facts().instance;
  };
  for (int part = 0; part < kParts; ++part) homes.push_back(chooseFor(part));
  replicas.onRemoved("r3");
  for (int part = 0; part < kParts; ++part) {
    const auto home = chooseFor(part);
    if (homes[part] != "r3") BOOST_TEST(home == homes[part]);
  }
}

BOOST_AUTO_TEST_CASE(ShortPromptsPreferTheOwnZoneAndKeepOneOtherCandidate) {
  for (int number = 0; number < 8; ++number) {
    Replica far;
    far.instance = "far" + std::to_string(number);
    far.service = "llm";
    far.zone = "other";
    far.slots = 8;
    far.models = {{"m", 1}};
    replicas.onListed(far);
  }
  for (const char* name : {"r5", "r6", "r7", "r8"}) add(name, 1);
  for (int part = 0; part < 40; ++part) {
    chain = *prefix::PartChain::parse("f" + std::to_string(part) + ":60,own:90");
    const auto order = choose().preferenceOrder;
    BOOST_REQUIRE(order.size() == 8U);
    const auto inOwnZone = [](const auto& record) { return record->facts().zone == "z"; };
    BOOST_TEST(std::all_of(order.begin(), order.begin() + 4, inOwnZone));
    BOOST_TEST(order[4]->facts().zone == "other");
  }
}

// Guards against replicas that no request with a given shared part may ever be sent to.
BOOST_AUTO_TEST_CASE(EveryReplicaIsAnAlternateOfSomeRequestWithTheSamePart) {
  for (int number = 5; number <= 40; ++number) add("r" + std::to_string(number), 1);
  std::set<std::string> first;
  std::set<std::string> named;
  for (int request = 0; request < 400; ++request) {
    const auto decision = choose();
    const auto& order = decision.preferenceOrder;
    BOOST_REQUIRE(order.size() == 8U);
    BOOST_TEST(decision.alternates == 3U);
    std::set<std::string> different;
    for (const auto& record : order) different.insert(record->facts().instance);
    BOOST_TEST(different.size() == order.size());
    for (std::size_t index = 0; index < 5; ++index) first.insert(order[index]->facts().instance);
    named.merge(different);
  }
  BOOST_TEST(first.size() == 5U);
  BOOST_TEST(named.size() == 40U);
}

BOOST_AUTO_TEST_CASE(LongRunningRequestsShareAsFewReplicasAsTheyFill) {
  for (const char* name : {"r5", "r6", "r7", "r8"}) add(name, 1);
  for (const std::size_t wanted : {1U, 2U, 3U}) {
    std::set<std::string> taken;
    for (int part = 0; part < 50; ++part) {
      chain = *prefix::PartChain::parse(std::to_string(part) + "a:50,cc:200");
      auto longRequest = query();
      longRequest.longRun = true;
      longRequest.longRunReplicas = wanted;
      taken.insert(selector.choose(longRequest, 1, now).replica->facts().instance);
    }
    BOOST_TEST(taken.size() == wanted);
  }
}

BOOST_AUTO_TEST_CASE(LongRunningRequestsGoToTheNewestVersion) {
  add("r5", 2);
  for (int part = 0; part < 20; ++part) {
    chain = *prefix::PartChain::parse(std::to_string(part) + "a:50,cc:200");
    auto longRequest = query();
    longRequest.longRun = true;
    BOOST_TEST(selector.choose(longRequest, 1, now).version == 2U);
  }
}

BOOST_AUTO_TEST_CASE(LongRunningRequestsOverflowToOtherReplicas) {
  auto longRequest = query();
  longRequest.longRun = true;
  const auto first = selector.choose(longRequest, 1, now).replica;
  for (int count = 0; count < 8; ++count) first->onDispatched(10);
  const auto next = selector.choose(longRequest, 1, now).replica;
  BOOST_REQUIRE(next != nullptr);
  BOOST_TEST((next != first));
}

BOOST_AUTO_TEST_CASE(OlderVersionIsForbiddenOnceTheNewerIsRequired) {
  targets.onNamed("m", 2, now);
  BOOST_TEST(choose().version == 1U);
  now += seconds(7);
  BOOST_TEST((choose().replica == nullptr));
  add("n1", 2);
  BOOST_TEST(choose().version == 2U);
}

BOOST_AUTO_TEST_CASE(SlowReplicaGetsNoRequestsOnOldWeightsShortlyBeforeTheDeadline) {
  // Forbidden from 7 s on; waits of up to 0.6 s are within the margin.
  targets.onNamed("m", 2, now);
  const auto first = choose().replica;
  first->recordWait(seconds(2));
  now += milliseconds(5500);
  BOOST_TEST((choose().replica == first));
  now += milliseconds(200);
  BOOST_TEST((choose().replica != first));
  BOOST_TEST((choose().replica != nullptr));
  // The estimate follows shorter waits slowly.
  for (int count = 0; count < 40; ++count) first->recordWait(milliseconds(20));
  BOOST_TEST((choose().replica == first));
}

BOOST_AUTO_TEST_CASE(WaitingRequestsCountInTheExpectedWait) {
  targets.onNamed("m", 2, now);
  const auto first = choose().replica;
  now += milliseconds(4200);
  first->health().onDispatched(now, seconds(4));
  now += milliseconds(2000);
  BOOST_TEST((first->expectedWait(now) == milliseconds(2000)));
  BOOST_TEST((choose().replica != first));
}

BOOST_AUTO_TEST_CASE(DrainingLoadingEjectedAndTriedReplicasAreNotSelected) {
  add("r1", 1, ReplicaState::kDraining);
  replicas.find("r2")->setLoadingWeights(now + seconds(1));
  replicas.find("r3")->health().onUnreachable(now);
  BOOST_TEST(choose().replica->facts().instance == "r4");
  auto tried = query();
  tried.excluded = {"r4"};
  BOOST_TEST((selector.choose(tried, 1, now).replica == nullptr));
}

// Guards against a stream that is begun, or goes on, at another software version than the list
// says.
BOOST_AUTO_TEST_CASE(ReplicaThatMayBeReplacedGetsNoStreamsThatMayBeTakenUp) {
  const auto first = choose().replica;
  first->presumeEnded(now);
  BOOST_TEST((choose().replica == first));
  auto stream = query();
  stream.needsKnownVersion = true;
  BOOST_TEST((selector.choose(stream, 1, now).replica != first));
}

// Guards against parts that are fetched from a replica which has ended, or from the next run, which
// holds nothing of it.
BOOST_AUTO_TEST_CASE(NothingIsFetchedFromAReplicaThatMayBeReplaced) {
  const auto home = choose().replica;
  const auto holder = home->facts().instance == "r1" ? "r2" : "r1";
  addHolder(holder, 1);
  BOOST_REQUIRE(choose().fetchFrom.has_value());
  replicas.find(holder)->presumeEnded(now);
  BOOST_TEST(!choose().fetchFrom.has_value());
}

BOOST_AUTO_TEST_CASE(LoadOfOtherNodesCountsForThisNode) {
  const auto first = choose().replica;
  reportLoad(first->facts().instance, {8, 800, {}});
  const auto second = selector.choose(query(), 2, now).replica;
  BOOST_TEST((second != first));
  reportLoad(first->facts().instance, {1, 99'000, {}});
  BOOST_TEST((selector.choose(query(), 2, now).replica == second));
}

BOOST_AUTO_TEST_CASE(KnownIdleReplicaIsFullyAvailableToOneNode) {
  const auto first = choose().replica;
  for (int sent = 0; sent < 5; ++sent) first->onDispatched(10'000);
  // An even share among eight nodes is 7,500 tokens.
  BOOST_TEST((selector.choose(query(), 8, now).replica != first));
  for (int other = 0; other < 7; ++other) fleet.onUpdate(base::NodeId{100U + other}, 1, 1, {}, now);
  BOOST_TEST((selector.choose(query(), 8, now).replica == first));
}

BOOST_AUTO_TEST_CASE(LoadUpdatesWithALongIntervalAreIgnored) {
  const auto first = choose().replica;
  reportLoad(first->facts().instance, {8, 800, 0});
  fleet.setInterval(milliseconds(250));
  BOOST_TEST((selector.choose(query(), 2, now).replica != first));
  fleet.setInterval(milliseconds(251));
  BOOST_TEST((selector.choose(query(), 2, now).replica == first));
}

BOOST_AUTO_TEST_CASE(ReplicaWithTheShortestQueueIsSelectedIfAllAreLong) {
  const auto queues =
      std::map<std::string, std::uint32_t>{{"r1", 400}, {"r2", 300}, {"r3", 350}, {"r4", 500}};
  LoadByReplica load;
  for (const auto& [name, wait] : queues) load[base::engineIdOf(name)] = {1, 100, 20U * wait};
  fleet.onUpdate(base::nodeIdOf("other"), 1, 1, load, now);
  BOOST_TEST((selector.choose(query(), 2, now).replica == replicas.find("r2")));
  load[base::engineIdOf("r4")].pendingPrefillTokens = 2000;
  fleet.onUpdate(base::nodeIdOf("other"), 1, 2, load, now);
  BOOST_TEST((selector.choose(query(), 2, now).replica == replicas.find("r4")));
}

BOOST_AUTO_TEST_CASE(QueueTimeIsEstimatedFromTheFastestResponses) {
  const auto first = choose().replica;
  // Late responses depend more on the queue than on the prefill.
  for (int count = 0; count < 20; ++count) first->prefillSpeed().record(1000, milliseconds(900));
  first->prefillSpeed().record(1000, milliseconds(20));
  first->prefillSpeed().record(1000, milliseconds(900));
  reportLoad(first->facts().instance, {1, 100, 8000});
  BOOST_TEST((selector.choose(query(), 2, now).replica == first));
  BOOST_TEST((first->prefillSpeed().minimumTime(1000) < milliseconds(40)));
}

BOOST_AUTO_TEST_CASE(ReplicaReportingNewerWeightsIsSelectedAtOnce) {
  for (const char* name : {"r1", "r2", "r3", "r4"})
    replicas.find(name)->setLoadingWeights(now + seconds(2));
  BOOST_TEST((choose().replica == nullptr));
  replicas.find("r3")->recordVersion("m", 1);
  BOOST_TEST((choose().replica == nullptr));
  replicas.find("r3")->recordVersion("m", 2);
  BOOST_TEST((choose().replica == replicas.find("r3")));
}

BOOST_AUTO_TEST_CASE(ReplicaAtCapacityIsSelectedOnlyAsLastResort) {
  for (const char* name : {"r1", "r2", "r3"})
    replicas.find(name)->setAtCapacity(now + milliseconds(100));
  BOOST_TEST(choose().replica->facts().instance == "r4");
  replicas.find("r4")->setAtCapacity(now + milliseconds(100));
  BOOST_TEST((choose().replica != nullptr));
}

BOOST_AUTO_TEST_CASE(UncachedPartsAreSavedToTheStoreAndFetchedLater) {
  config::RouteTableContents contents;
  config::Service service;
  service.name = "kept";
  service.cacheStore = config::CacheStore{{9, 9}, "z", 12};
  contents.services = {service};
  stores.update(config::RouteTable{contents});
  BOOST_TEST(!choose().saveTo.has_value());
  stores.setLocalAvailability("store/0.0.0.9:9", true);
  BOOST_TEST((choose().saveTo == base::Endpoint{9, 9}));
  addHolder("store/0.0.0.9:9", 1);
  const auto decision = choose();
  BOOST_TEST(!decision.saveTo.has_value());
  BOOST_TEST((decision.fetchFrom->endpoint == base::Endpoint{9, 9}));
}

BOOST_AUTO_TEST_CASE(NodeThatDoesNotWatchTheStoreFetchesFromIt) {
  config::RouteTableContents contents;
  config::Service service;
  service.name = "kept";
  service.cacheStore = config::CacheStore{{9, 9}, "z", 12};
  contents.services = {service};
  stores.update(config::RouteTable{contents});
  BOOST_TEST(!choose().fetchFrom.has_value());
  stores.onReportedAvailability("store/0.0.0.9:9", "other", true);
  auto decision = choose();
  BOOST_REQUIRE(decision.fetchFrom.has_value());
  BOOST_TEST((decision.fetchFrom->endpoint == base::Endpoint{9, 9}));
  BOOST_TEST((decision.saveTo == base::Endpoint{9, 9}));
  BOOST_TEST(decision.fetchFrom->tokens == 0U);
  // A known holder is preferred.
  const auto home = decision.replica->facts().instance;
  addHolder(home == "r1" ? "r2" : "r1", 1);
  decision = choose();
  BOOST_TEST(decision.fetchFrom->tokens == 1000U);
  BOOST_TEST(!decision.saveTo.has_value());
}

BOOST_AUTO_TEST_CASE(RequestsWithoutPromptGoToTheLeastLoaded) {
  auto plain = query();
  plain.engine = nullptr;
  plain.model.clear();
  plain.chain = nullptr;
  for (const char* name : {"r1", "r2", "r3"}) replicas.find(name)->onDispatched(0);
  BOOST_TEST(selector.choose(plain, 1, now).replica->facts().instance == "r4");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WeightsTargetsTest)

BOOST_AUTO_TEST_CASE(EachVersionHasItsOwnDeadline) {
  WeightsTargets targets({seconds(8), seconds(1)});
  const base::TimePoint start{seconds(10)};
  BOOST_TEST(targets.onNamed("m", 2, start));
  BOOST_TEST(targets.onNamed("m", 3, start + seconds(3)));
  BOOST_TEST(!targets.onNamed("m", 3, start + seconds(4)));
  BOOST_TEST(!targets.onNamed("m", 1, start + seconds(4)));
  BOOST_TEST(targets.oldestAllowed("m", start + seconds(6)) == 0U);
  BOOST_TEST(targets.oldestAllowed("m", start + seconds(7)) == 2U);
  BOOST_TEST(targets.oldestAllowed("m", start + seconds(10)) == 3U);
  BOOST_TEST(targets.newest("m") == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(PrefixHoldersTest)

BOOST_AUTO_TEST_CASE(PartsMatchOnlyAfterAllPrecedingParts) {
  PrefixHolders holders;
  const auto chain = *prefix::PartChain::parse("aa:10,bb:20,cc:30,own:5");
  const auto replica = base::engineIdOf("r");
  holders.add(replica, 1, chain.parts()[1].id, 20);
  BOOST_TEST(holders.matchedTokens(replica, 1, chain) == 0U);
  holders.add(replica, 1, chain.parts()[0].id, 10);
  BOOST_TEST(holders.matchedTokens(replica, 1, chain) == 30U);
  holders.add(replica, 1, chain.parts()[1].id, 8);
  BOOST_TEST(holders.matchedTokens(replica, 1, chain) == 18U);
  holders.add(replica, 1, chain.parts()[0].id, 0);
  BOOST_TEST(holders.matchedTokens(replica, 1, chain) == 0U);
  holders.remove(replica);
  BOOST_TEST(holders.size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::routing
