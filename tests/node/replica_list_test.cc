// The replica list: the instance that each row names, and the state that is removed with it.
#include "node/replica_list.h"

#include <boost/test/unit_test.hpp>

#include "support/recording_log.h"
#include "support/virtual_time.h"

namespace covewing::node {

namespace {

constexpr routing::CacheScope kScope = 1;
constexpr std::uint64_t kPart = 2;

/// The value of a row is the name of the instance, behind that of its service and a bar if it is of
/// another service than `llm`; an empty value cannot be read.
class InstanceReader final : public ReplicaRowReader {
  /// The number behind the `@`.
  static std::optional<std::uint64_t> startOf(const std::string& instance) {
    const auto separator = instance.find('@');
    if (separator == std::string::npos) return std::nullopt;
    return std::stoull(instance.substr(separator + 1));
  }

 public:
  std::optional<routing::Replica> readReplica(std::string_view /*key*/, std::string_view value,
                                              base::Reason& reason) const override {
    if (value.empty()) {
      reason = {base::ResultCode::kInvalidField, "it is empty"};
      return std::nullopt;
    }
    routing::Replica replica;
    const auto bar = value.find('|');
    replica.service = bar == std::string_view::npos ? "llm" : value.substr(0, bar);
    if (bar != std::string_view::npos) value.remove_prefix(bar + 1);
    // What follows a slash is the version of the software.
    const auto slash = value.find('/');
    replica.instance = value.substr(0, slash);
    replica.softwareVersion =
        slash == std::string_view::npos ? "v1" : std::string{value.substr(slash + 1)};
    replica.startedAt = startOf(replica.instance);
    return replica;
  }
};

/// Never calls back.
class UnresponsiveReachability final : public clients::ReachabilityClient {
 public:
  void connect(const base::Endpoint& /*address*/, base::Duration /*timeout*/,
               std::function<void(clients::Reachability)> /*callback*/) override {}
};

struct ReplicaListFixture {
  ReplicaListFixture() {
    crashDetector.setListener(
        [this](const routing::LostRequests& runs) { ended.push_back(runs.instance); });
  }

  void write(const std::string& key, const std::string& instance) {
    list.onRow({key, instance, ++revision}, config::RowSource::kFeed);
  }
  void remove(const std::string& key) { list.onRemoved({key, std::nullopt, ++revision}); }

  /// Records that the instance holds a prompt part and that a request was interrupted there.
  void recordUse(const std::string& instance) {
    holders.add(base::engineIdOf(instance), kScope, kPart, 100);
    crashDetector.onRequestInterrupted(directory.find(instance),
                                       base::InterruptedRequest{{{7}}, false});
  }
  bool holds(const std::string& instance) const {
    return holders.tokensOf(base::engineIdOf(instance), kScope, kPart) > 0;
  }

  test_support::VirtualTime time;
  test_support::RecordingLog log;
  UnresponsiveReachability reachability;
  InstanceReader reader;
  routing::ReplicaDirectory directory;
  routing::SoftwareVersions versions{directory};
  routing::PrefixHolders holders;
  routing::ReplicaCrashDetector crashDetector{{}, {time, time, log, reachability}};
  std::vector<std::string> ended;
  config::StoreEras eras{time, log};
  ReplicaList list{reader, time, log, directory, holders, crashDetector, versions, eras};
  base::Revision revision = 0;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(ReplicaListTest, ReplicaListFixture)

BOOST_AUTO_TEST_CASE(InstanceThatTakesOverARowEndsThePreviousOne) {
  write("r", "r@1");
  write("other", "other@1");
  recordUse("r@1");
  recordUse("other@1");
  write("r", "r@2");
  BOOST_TEST(ended == std::vector<std::string>{"r@1"}, boost::test_tools::per_element());
  BOOST_TEST(!holds("r@1"));
  BOOST_TEST(holds("other@1"));
  BOOST_TEST((directory.find("r@1") == nullptr));
  BOOST_TEST((directory.find("r@2") != nullptr));
  BOOST_TEST(directory.all().size() == 2U);
}

// Guards against an entry by another writer under the key of a replica that is taken for a new run:
// the replica's own entries were rejected from then on.
BOOST_AUTO_TEST_CASE(EntryOfAnotherServiceWithoutStartTimeDoesNotEndTheInstance) {
  write("r", "r@1");
  write("r", "elsewhere|r");
  BOOST_TEST(log.count(base::Event::kReplicaEntryRejected) == 1U);
  BOOST_TEST((directory.find("r") == nullptr));
  write("r", "r@1");
  BOOST_TEST(log.count(base::Event::kReplicaEntryRejected) == 1U);
  BOOST_REQUIRE((directory.find("r@1") != nullptr));
  BOOST_TEST(directory.find("r@1")->inService());
}

BOOST_AUTO_TEST_CASE(RowOfTheSameInstanceEndsNothing) {
  write("r", "r@1");
  const auto record = directory.find("r@1");
  recordUse("r@1");
  write("r", "r@1");
  BOOST_TEST((directory.find("r@1") == record));
  BOOST_TEST(holds("r@1"));
  BOOST_TEST(ended.empty());
}

// Guards against streams that go on at another version because an entry was believed.
BOOST_AUTO_TEST_CASE(InstanceThatChangesItsSoftwareVersionGetsNoRequests) {
  write("r", "r@1/v1");
  write("r", "r@1/v2");
  BOOST_TEST(directory.ofService("llm").empty());
  BOOST_TEST(log.count(base::Event::kReplicaEntryRejected) == 1U);
  write("r", "r@1/v1");
  BOOST_TEST(directory.ofService("llm").size() == 1U);
  write("r", "r@2/v2");
  BOOST_REQUIRE(directory.ofService("llm").size() == 1U);
  BOOST_TEST(directory.ofService("llm").front()->facts().softwareVersion == "v2");
}

BOOST_AUTO_TEST_CASE(SoftwareVersionsAreThoseOfTheListedInstances) {
  write("r", "r@1/v1");
  write("s", "s@1/v1");
  list.onCurrent();
  BOOST_TEST(versions.soleVersion("llm", time.now())->softwareVersion == "v1");
  write("r", "r@2/v2");
  BOOST_TEST(!versions.soleVersion("llm", time.now()).has_value());
  remove("s");
  BOOST_TEST(versions.soleVersion("llm", time.now())->softwareVersion == "v2");
}

BOOST_AUTO_TEST_CASE(UnreadableRowTakesTheInstanceOutOfUseAndEndsNothing) {
  write("r", "r@1");
  write("other", "other@1");
  recordUse("r@1");
  write("r", "");
  BOOST_TEST(directory.ofService("llm").size() == 1U);
  BOOST_TEST(log.count(base::Event::kReplicaEntryRejected) == 1U);
  BOOST_TEST(holds("r@1"));
  BOOST_TEST(ended.empty());
  write("r", "r@1");
  BOOST_TEST(directory.ofService("llm").size() == 2U);
  BOOST_TEST(log.count(base::Event::kReplicaRestarted) == 0U);
}

// Either all replicas of a service report start times or none does. A node that had just started
// read an entry without a start time first and sent requests to an address that was not a
// replica's.
BOOST_AUTO_TEST_CASE(EntryWithoutAStartTimeIsRejectedIfOthersOfItsServiceHaveOne) {
  write("other", "other");
  BOOST_TEST(directory.ofService("llm").size() == 1U);
  write("r", "r@1");
  BOOST_REQUIRE(directory.ofService("llm").size() == 1U);
  BOOST_TEST(directory.ofService("llm").front()->facts().instance == "r@1");
  write("other", "other");
  write("another", "another");
  write("r", "r");
  BOOST_TEST(directory.ofService("llm").empty());
  BOOST_TEST(log.count(base::Event::kReplicaEntryRejected) == 3U);
  BOOST_TEST(ended.empty());
  write("r", "r@1");
  BOOST_TEST(directory.ofService("llm").size() == 1U);
  BOOST_TEST(log.count(base::Event::kReplicaRestarted) == 0U);
}

// Guards against an entry by another writer that gets requests at a node which has just started, as
// long as no replica of its service is listed.
BOOST_AUTO_TEST_CASE(EntryWithoutAStartTimeIsRejectedIfReplicasOfOtherServicesHaveOne) {
  write("early", "app|early");
  BOOST_TEST(directory.ofService("app").size() == 1U);
  write("r", "r@1");
  BOOST_TEST(directory.ofService("app").empty());
  write("late", "app|late");
  BOOST_TEST(directory.ofService("app").empty());
  BOOST_TEST(log.count(base::Event::kReplicaEntryRejected) == 1U);
}

BOOST_AUTO_TEST_CASE(InstanceBehindAnUnreadableRowEndsWithTheNextInstance) {
  write("r", "r@1");
  recordUse("r@1");
  write("r", "");
  write("r", "r@2");
  BOOST_TEST(ended.size() == 1U);
  BOOST_TEST(!holds("r@1"));
  BOOST_TEST((directory.find("r@2") != nullptr));
}

BOOST_AUTO_TEST_CASE(InstanceEndsWithItsRow) {
  write("r", "r@1");
  recordUse("r@1");
  remove("r");
  BOOST_TEST(ended.size() == 1U);
  BOOST_TEST(directory.all().empty());
  BOOST_TEST(!holds("r@1"));
}

// After a restore of the table service from an older backup, rows are missing until their replicas
// have rewritten them. A replica that was removed meanwhile would lose its place, its streams and
// its cache index.
BOOST_AUTO_TEST_CASE(RowRewrittenAfterARestoreEndsNothing) {
  write("r", "r@1");
  const auto record = directory.find("r@1");
  recordUse("r@1");
  eras.note(0, "the test");
  eras.note(1, "the test");
  list.onRemoved({"r", std::nullopt, ++revision});
  time.advance(config::kWrittenAgainWithin - std::chrono::milliseconds(1));
  list.onCurrent();
  BOOST_TEST((directory.find("r@1") == record));
  write("r", "r@1");
  time.advance(std::chrono::seconds(10));
  list.onCurrent();
  BOOST_TEST((directory.find("r@1") == record));
  BOOST_TEST(holds("r@1"));
  BOOST_TEST(ended.empty());
}

BOOST_AUTO_TEST_CASE(RowNotRewrittenAfterARestoreIsRemoved) {
  write("r", "r@1");
  eras.note(0, "the test");
  eras.note(1, "the test");
  list.onRemoved({"r", std::nullopt, ++revision});
  time.advance(config::kWrittenAgainWithin + std::chrono::seconds(1));
  list.onCurrent();
  BOOST_TEST((directory.find("r@1") == nullptr));
}

BOOST_AUTO_TEST_CASE(RestoredRowThatNamesAnEndedInstanceEndsNothing) {
  write("r", "r@1");
  write("r", "r@2");
  const auto record = directory.find("r@2");
  recordUse("r@2");
  const auto endedBefore = ended.size();
  write("r", "r@1");
  BOOST_TEST((directory.find("r@2") == record));
  BOOST_TEST((directory.find("r@1") == nullptr));
  BOOST_TEST(directory.ofService("llm").size() == 1U);
  BOOST_TEST(holds("r@2"));
  BOOST_TEST(ended.size() == endedBefore);
}

// Guards against a node that has started after the replica's latest run and takes the run before,
// whose row a restore of the table service brought back, for its follower.
BOOST_AUTO_TEST_CASE(RestoredRowOfARunThatWasNeverSeenEndsNothing) {
  write("r", "r@2");
  const auto record = directory.find("r@2");
  eras.note(0, "the test");
  eras.note(1, "the test");
  write("r", "r@1");
  list.onCurrent();
  BOOST_TEST((directory.find("r@2") == record));
  BOOST_TEST((directory.find("r@1") == nullptr));
  time.advance(std::chrono::seconds(2));
  write("r", "r@2");
  time.advance(std::chrono::seconds(10));
  list.onCurrent();
  BOOST_TEST((directory.find("r@2") == record));
  BOOST_TEST(log.count(base::Event::kReplicaRestarted) == 0U);
}

// Guards against a replica that is rejected for good because another writer put an entry with a
// later start under its identifier.
BOOST_AUTO_TEST_CASE(EarlierRunThatKeepsTheRowIsListedAgain) {
  write("r", "r@5");
  write("r", "elsewhere|r@9");
  write("r", "r@5");
  time.advance(std::chrono::milliseconds(3900));
  list.onCurrent();
  BOOST_TEST(directory.ofService("llm").empty());
  time.advance(std::chrono::milliseconds(200));
  list.onCurrent();
  BOOST_REQUIRE(directory.ofService("llm").size() == 1U);
  BOOST_TEST(directory.ofService("llm").front()->inService());
  BOOST_TEST((directory.find("r@9") == nullptr));
}

// Guards against an entry that is stored late and takes the place of the next run, which is then
// rejected.
BOOST_AUTO_TEST_CASE(EntryOfTheFormerRunThatIsStoredLateChangesNothing) {
  write("r", "r@2");
  write("r", "r@1");
  write("r", "r@2");
  time.advance(std::chrono::seconds(10));
  list.onCurrent();
  BOOST_TEST((directory.find("r@2") != nullptr));
  BOOST_TEST((directory.find("r@1") == nullptr));
}

// Guards against a list that is taken for the whole history of a service's versions although a
// replica came and went while this node stood still, or the history of the table was lost.
BOOST_AUTO_TEST_CASE(ReplicaThatWasNeverReadMayHaveHadAnotherVersion) {
  const auto knownFor = [this] { return versions.soleVersion("llm", time.now())->since; };
  list.onRow({"r", "r@1/v1", ++revision}, config::RowSource::kCopy);
  list.onCurrent();
  time.advance(std::chrono::minutes(5));
  list.onCurrent();
  BOOST_TEST((knownFor() == std::chrono::minutes(5)));
  remove("unseen");
  list.onCurrent();
  BOOST_TEST((knownFor() == base::Duration::zero()));
  time.advance(std::chrono::minutes(5));
  list.onRow({"r", "r@1/v1", ++revision}, config::RowSource::kCopy);
  list.onCurrent();
  BOOST_TEST((knownFor() == base::Duration::zero()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::node
