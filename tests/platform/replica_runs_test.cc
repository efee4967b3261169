// Guards against a restarted replica being treated as the instance before its restart. A replica
// keeps its identifier when it restarts; only its start time ("born") changes, and its state is
// lost. If a node has recorded version 2 and a cached prefix for the replica and then reads the
// entry
//
//     {"state":"ready","models":[{"name":"m","version":1}],"sequence":1,"born":1764720006300}
//
// it must not continue with the record of the former instance, as it would if both instances had
// the same name. Otherwise it expects version 2 and 1,000 cached tokens, so that the replica
// refuses its requests because of their version, the next order to change weights expects the
// number of orders that the former instance had accepted, and requests that were interrupted with
// the former instance are attributed to a running replica.
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "node/replica_list.h"
#include "platform/http_dialect.h"
#include "platform/replica_instance.h"
#include "platform/row_readers.h"
#include "routing/replica_selector.h"
#include "support/recording_log.h"
#include "support/virtual_time.h"

namespace covewing::platform {

namespace {

constexpr std::uint64_t kFirstStart = 1'764'720'000'000;
constexpr std::uint64_t kSecondStart = kFirstStart + 6'300;
const std::string kIdentifier = "i-7f3a91c2";
const std::string kService = "huvo11a";
const std::string kModel = "m";

/// Never reports a result.
class UnresponsiveReachability final : public clients::ReachabilityClient {
 public:
  void connect(const base::Endpoint& /*address*/, base::Duration /*timeout*/,
               std::function<void(clients::Reachability)> /*callback*/) override {}
};

/// An entry as replicas write it, with the given version of the model's weights.
nlohmann::json entry(base::WeightsVersion version) {
  return {{"service", kService},
          {"address", "10.128.0.9:8080"},
          {"zone", "z1"},
          {"version", "v1"},
          {"slots", 8},
          {"state", "ready"},
          {"cold_remaining_ms", 0},
          {"models", {{{"name", kModel}, {"version", version}}}},
          {"sequence", 1}};
}

nlohmann::json entryOfInstance(base::WeightsVersion version, std::uint64_t startedAt) {
  auto instanceEntry = entry(version);
  instanceEntry["born"] = startedAt;
  return instanceEntry;
}

struct ReplicaInstancesFixture {
  ReplicaInstancesFixture() {
    engine.slots = 8;
    engine.cacheTokens = 100'000;
    crashDetector.setListener([this](const routing::LostRequests& lostRequests) {
      terminations.push_back(lostRequests);
    });
  }

  void write(const nlohmann::json& value) { writeBytes(value.dump()); }
  void writeBytes(const std::string& value) {
    list.onRow({kIdentifier, value, ++revision}, config::RowSource::kFeed);
  }
  void remove() { list.onRemoved({kIdentifier, std::nullopt, ++revision}); }

  /// The listed replica of the service; null if none is listed.
  routing::ReplicaRecordPtr replica() const {
    const auto& replicas = directory.ofService(kService);
    return replicas.empty() ? nullptr : replicas.front();
  }

  routing::ReplicaDecision choose() {
    routing::ReplicaQuery query;
    query.service = kService;
    query.engine = &engine;
    query.model = kModel;
    query.chain = &chain;
    query.tokens = 1300;
    return selector.choose(query, 1, time.now());
  }

  /// Records that a response of the replica reported the version, and that it holds the prefix.
  void recordServedPrefix(base::WeightsVersion version) {
    replica()->recordVersion(kModel, version);
    holders.addChain(base::engineIdOf(replica()->facts().instance),
                     routing::cacheScope(routing::cacheSalt(version, ""), kModel), chain);
  }

  test_support::VirtualTime time;
  test_support::RecordingLog log;
  UnresponsiveReachability reachability;
  ReplicaReader reader;
  routing::ReplicaDirectory directory;
  routing::SoftwareVersions versions{directory};
  routing::PrefixHolders holders;
  routing::ReplicaCrashDetector crashDetector{{}, {time, time, log, reachability}};
  std::vector<routing::LostRequests> terminations;
  config::StoreEras eras{time, log};
  node::ReplicaList list{reader, time, log, directory, holders, crashDetector, versions, eras};
  config::EngineProfile engine;
  prefix::PartChain chain = *prefix::PartChain::parse("aa:500,bb:500,cc:200");
  base::SeededRandom random{1};
  routing::WeightsTargets targets{{std::chrono::seconds(8), std::chrono::seconds(1)}};
  routing::CacheStores stores;
  routing::FleetLoad fleet;
  routing::ReplicaSelector selector{{directory, holders, targets, stores, fleet, "z1"}, {}, random};
  base::Revision revision = 0;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(ReplicaRunsTest, ReplicaInstancesFixture)

BOOST_AUTO_TEST_CASE(RestartedReplicaIsANewInstance) {
  write(entryOfInstance(1, kFirstStart));
  recordServedPrefix(2);
  const auto former = replica();
  BOOST_TEST(choose().version == 2U);
  BOOST_TEST(choose().matchedTokens == 1000U);
  crashDetector.onRequestInterrupted(former, base::InterruptedRequest{{{7}}, false});

  write(entryOfInstance(1, kSecondStart));
  BOOST_REQUIRE(replica() != nullptr);
  const auto decision = choose();
  BOOST_TEST(decision.version == 1U);
  BOOST_TEST(decision.matchedTokens == 0U);
  // Home nodes, ledgers, orders and updates about changes are keyed by this name.
  BOOST_TEST((replica()->facts().instance != former->facts().instance));
  BOOST_TEST(directory.all().size() == 1U);
  BOOST_TEST(former->terminated());
  BOOST_REQUIRE(terminations.size() == 1U);
  BOOST_TEST(terminations[0].instance == former->facts().instance);
}

// Guards against counting several crashes of a replica as one. If a replica that a request crashed
// restarts within a second and its next instance is taken for the former one, further crashes are
// not counted, and each request that is interrupted on the next instance is reported as lost
// without a check of the replica's address:
//
//     name=ReplicaEndedUnderRuns replica="replica-0" why="it had ended before"
//
// One request then crashed 19 replicas before all nodes refused it, although three crashes are
// enough to identify it.
BOOST_AUTO_TEST_CASE(EachInstanceTerminatesOnItsOwn) {
  write(entryOfInstance(1, kFirstStart));
  crashDetector.onRequestInterrupted(replica(), base::InterruptedRequest{{{7}}, false});
  write(entryOfInstance(1, kSecondStart));
  crashDetector.onRequestInterrupted(replica(), base::InterruptedRequest{{{7}}, false});
  BOOST_TEST(terminations.size() == 1U);
  write(entryOfInstance(1, kSecondStart + 1));
  BOOST_REQUIRE(terminations.size() == 2U);
  BOOST_TEST(
      (base::engineIdOf(terminations[0].instance) != base::engineIdOf(terminations[1].instance)));
}

BOOST_AUTO_TEST_CASE(RestartIsLoggedWithBothInstances) {
  write(entryOfInstance(1, kFirstStart));
  write(entryOfInstance(1, kFirstStart));
  BOOST_TEST(log.count(base::Event::kReplicaRestarted) == 0U);
  write(entryOfInstance(1, kSecondStart));
  BOOST_REQUIRE(log.count(base::Event::kReplicaRestarted) == 1U);
  const auto entry = std::ranges::find(log.entries, base::Event::kReplicaRestarted,
                                       &decltype(log.entries)::value_type::first);
  BOOST_TEST(entry->second[0].value == instanceName(kIdentifier, kSecondStart));
  BOOST_TEST(entry->second[1].value == instanceName(kIdentifier, kFirstStart));
}

// Guards against a crashed replica being treated as terminated for good, even after it has
// restarted at another address, because another replica responds at its former address.
BOOST_AUTO_TEST_CASE(TerminatedReplicaIsUsedAgainAfterItsRestart) {
  write(entryOfInstance(1, kFirstStart));
  replica()->setTerminated();
  BOOST_TEST((choose().replica == nullptr));
  auto elsewhere = entryOfInstance(1, kSecondStart);
  elsewhere["address"] = "10.128.0.10:8080";
  write(elsewhere);
  BOOST_REQUIRE((choose().replica != nullptr));
  BOOST_TEST(base::toString(choose().replica->facts().endpoint) == "10.128.0.10:8080");
}

BOOST_AUTO_TEST_CASE(EntryChangeWithinAnInstanceKeepsItsRecord) {
  write(entryOfInstance(1, kFirstStart));
  recordServedPrefix(2);
  auto changed = entryOfInstance(1, kFirstStart);
  changed["state"] = "by another writer";
  write(changed);
  BOOST_TEST((choose().replica == nullptr));
  changed["state"] = "ready";
  changed["slots"] = 3;
  write(changed);
  BOOST_TEST(choose().version == 2U);
  BOOST_TEST(choose().matchedTokens == 1000U);
}

// The entry of a restarted replica can arrive 0.6 s after the new instance has already refused a
// request, so a back-off recorded before that may have been requested by the new instance.
BOOST_AUTO_TEST_CASE(BackOffSurvivesTheRestartOfItsReplica) {
  write(entryOfInstance(1, kFirstStart));
  replica()->notices().startBackOff(time.now() + std::chrono::seconds(3));
  write(entryOfInstance(1, kSecondStart));
  BOOST_TEST((choose().replica == nullptr));
  time.advance(std::chrono::milliseconds(3001));
  BOOST_TEST((choose().replica != nullptr));
}

// Callers are guaranteed that a draining instance receives no new requests until it terminates.
BOOST_AUTO_TEST_CASE(DrainingInstanceIsNotUsedAgainUntilItsRestart) {
  write(entryOfInstance(1, kFirstStart));
  auto draining = entryOfInstance(1, kFirstStart);
  draining["state"] = "draining";
  write(draining);
  write(entryOfInstance(1, kFirstStart));
  BOOST_TEST((choose().replica == nullptr));
  write(entryOfInstance(1, kSecondStart));
  BOOST_TEST((choose().replica != nullptr));
}

BOOST_AUTO_TEST_CASE(ReplicaWithoutStartTimeIsOneInstance) {
  write(entry(1));
  recordServedPrefix(2);
  write(entry(1));
  BOOST_TEST(replica()->facts().instance == kIdentifier);
  BOOST_TEST(choose().version == 2U);
}

BOOST_AUTO_TEST_CASE(RemovedRowTerminatesItsInstance) {
  write(entryOfInstance(1, kFirstStart));
  write(entryOfInstance(1, kSecondStart));
  recordServedPrefix(1);
  crashDetector.onRequestInterrupted(replica(), base::InterruptedRequest{{{7}}, false});
  remove();
  BOOST_TEST(replica() == nullptr);
  BOOST_TEST(holders.size() == 0U);
  BOOST_TEST(terminations.size() == 1U);
}

BOOST_AUTO_TEST_CASE(UnreadableEntryListsNoReplicaAndTerminatesNone) {
  const std::string other = "i-other";
  list.onRow({other, entryOfInstance(1, kFirstStart).dump(), ++revision}, config::RowSource::kFeed);
  auto unknownState = entryOfInstance(1, kFirstStart);
  unknownState["state"] = "booting";
  for (const auto& bytes : {std::string{}, std::string{"\xff\xfe"}, unknownState.dump()}) {
    write(entryOfInstance(1, kFirstStart));
    recordServedPrefix(2);
    crashDetector.onRequestInterrupted(directory.find(instanceName(kIdentifier, kFirstStart)),
                                       base::InterruptedRequest{{{7}}, false});
    BOOST_TEST(directory.ofService(kService).size() == 2U);
    writeBytes(bytes);
    BOOST_REQUIRE(directory.ofService(kService).size() == 1U);
    BOOST_TEST(replica()->facts().instance == instanceName(other, kFirstStart));
    BOOST_TEST(terminations.empty());
  }
  BOOST_TEST(log.count(base::Event::kReplicaEntryRejected) == 3U);
  remove();
  BOOST_TEST(terminations.size() == 1U);
}

BOOST_AUTO_TEST_CASE(RemovingAnUnreadableEntryHasNoEffect) {
  writeBytes("not an entry");
  remove();
  BOOST_TEST(directory.all().empty());
}

BOOST_AUTO_TEST_CASE(ReplicaIsAddressedByItsIdentifier) {
  constexpr unsigned kMisdirected = 421;
  clients::DispatchTerms terms{{instanceName(kIdentifier, kSecondStart), {}}};
  const auto forwarded = HttpDialect{}.dispatch({}, terms);
  BOOST_TEST(forwarded.header("X-Covewing-Expected-Instance") == kIdentifier);
  live::HttpResponse response{kMisdirected, {{"X-Covewing-Instance-Id", kIdentifier}}, {}};
  BOOST_TEST(!HttpDialect{}.readAnswer(response, terms).otherInstance);
  response.headers[0].value = "i-other";
  BOOST_TEST(HttpDialect{}.readAnswer(response, terms).otherInstance);
}

BOOST_AUTO_TEST_CASE(IdentifierIsRecoveredFromEveryInstanceName) {
  for (const std::string identifier : {"i-7f3a91c2", "a@b", "x@5", "@", ""}) {
    BOOST_TEST(identifierOf(instanceName(identifier, kFirstStart)) == identifier);
    BOOST_TEST(identifierOf(instanceName(identifier, std::nullopt)) == identifier);
  }
  BOOST_TEST(instanceName("x", 5) != instanceName("x@5", std::nullopt));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::platform
