// What a node that starts later finds in the table service of the streams that were begun before
// all nodes ended.
#include "node/stream_origin_store.h"

#include <boost/test/unit_test.hpp>
#include <memory>

#include "routing/fakes.h"
#include "routing/listed_versions.h"
#include "support/memory_table_service.h"
#include "support/virtual_time.h"

namespace covewing::node {

using routing::streamIdOf;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string kService = "llm";
constexpr base::Duration kKeepFor = seconds(10);

struct OriginNode {
  OriginNode(test_support::VirtualTime& time, test_support::MemoryTableService& table,
             const std::string& name, const std::vector<std::string>& versions)
      : members({routing::testing::makeMember(name, "z")}),
        store({}, {table, time, time, members, listed.versions,
                   [&table] { return table.serviceTime(); }}) {
    for (const auto& version : versions) listed.add(version);
    store.start();
  }

  routing::testing::FakeMembers members;
  routing::testing::ListedVersions listed{kService};
  StreamOriginStore store;
};

struct OriginStoreFixture {
  OriginStoreFixture() { time.advance(seconds(100)); }

  std::unique_ptr<OriginNode> start(const std::string& name,
                                    const std::vector<std::string>& versions = {"v1", "v2"}) {
    return std::make_unique<OriginNode>(time, table, name, versions);
  }
  static void add(OriginNode& node, const std::string& request, const std::string& version) {
    node.store.add(streamIdOf(request), {kService, version, 1}, kKeepFor);
  }
  /// The version that the node finds; "unknown" if it finds none.
  std::string find(OriginNode& node, const std::string& request) {
    std::string result = "no answer";
    node.store.find(streamIdOf(request), [&result](const auto& found) {
      result = found ? found->softwareVersion : "unknown";
    });
    time.advance(milliseconds(500));
    return result;
  }

  test_support::VirtualTime time;
  test_support::MemoryTableService table{time, time, "own"};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(StreamOriginStoreTest, OriginStoreFixture)

// Guards against streams that no node can continue after all nodes have ended at once.
BOOST_AUTO_TEST_CASE(NodeThatStartsLaterKnowsByWhichVersionStreamsWereBegun) {
  auto before = start("node-0");
  add(*before, "first", "v1");
  add(*before, "second", "v2");
  time.advance(seconds(1));
  before.reset();
  const auto after = start("node-1");
  BOOST_TEST(find(*after, "first") == "v1");
  BOOST_TEST(find(*after, "second") == "v2");
  BOOST_TEST(find(*after, "third") == "unknown");
}

// Guards against streams that are lost because their records wait for others: most streams that are
// taken up break off soon after they began.
BOOST_AUTO_TEST_CASE(StreamIsWrittenAtOnceUnlessAnotherOneWasJustBefore) {
  auto before = start("node-0");
  add(*before, "zeroth", "v1");
  time.advance(seconds(1));
  const auto commits = table.commits;
  add(*before, "first", "v1");
  add(*before, "second", "v1");
  time.advance(milliseconds(20));
  BOOST_TEST(table.commits == commits + 1);
  time.advance(milliseconds(500));
  BOOST_TEST(table.commits == commits + 2);
  before.reset();
  BOOST_TEST(find(*start("node-1"), "first") == "v1");
}

// Guards against a wrong version: a record that was not written in time must not be guessed.
BOOST_AUTO_TEST_CASE(StreamThatWasNotWrittenInTimeIsUnknown) {
  auto before = start("node-0");
  time.advance(seconds(1));
  table.down = true;
  add(*before, "late", "v1");
  time.advance(seconds(1));
  before.reset();
  table.down = false;
  BOOST_TEST(find(*start("node-1"), "late") == "unknown");
}

// Guards against a node that overwrites what its own former process wrote a moment before.
BOOST_AUTO_TEST_CASE(NodeThatStartsAgainKeepsItsRecordsOfBefore) {
  auto before = start("node-0");
  add(*before, "first", "v1");
  time.advance(seconds(1));
  before.reset();
  const auto again = start("node-0");
  add(*again, "second", "v2");
  time.advance(seconds(1));
  const auto reader = start("node-1");
  BOOST_TEST(find(*reader, "first") == "v1");
  BOOST_TEST(find(*reader, "second") == "v2");
}

// Guards against calls that nobody needs: with one version, what began a stream is known.
BOOST_AUTO_TEST_CASE(NothingIsWrittenWhileTheServiceHasOneVersion) {
  const auto node = start("node-0", {"v1"});
  add(*node, "first", "v1");
  time.advance(seconds(5));
  BOOST_TEST(table.commits == 0);
}

// Guards against losing the streams of a version that is alone until another one joins it.
BOOST_AUTO_TEST_CASE(StreamsThatWereBegunBeforeASecondVersionCameAreWrittenThen) {
  auto before = start("node-0", {"v1"});
  add(*before, "first", "v1");
  time.advance(seconds(2));
  before->listed.add("v2");
  time.advance(seconds(1));
  before.reset();
  BOOST_TEST(find(*start("node-1"), "first") == "v1");
}

// Guards against losing the streams of the version that remains: those of the other one may be
// taken up for some time yet.
BOOST_AUTO_TEST_CASE(RecordsAreWrittenForSomeTimeAfterAVersionHasGone) {
  auto before = start("node-0");
  before->listed.remove("v1", time.now());
  time.advance(seconds(20));
  add(*before, "first", "v2");
  time.advance(seconds(1));
  BOOST_TEST(find(*start("node-1"), "first") == "v2");
  time.advance(seconds(60));
  const auto commits = table.commits;
  add(*before, "second", "v2");
  time.advance(seconds(1));
  BOOST_TEST(table.commits == commits);
}

BOOST_AUTO_TEST_CASE(RecordsThatTheServiceDidNotTakeAreWrittenAgain) {
  auto before = start("node-0");
  add(*before, "zeroth", "v1");
  time.advance(seconds(1));
  table.down = true;
  add(*before, "first", "v1");
  time.advance(seconds(6));
  table.down = false;
  time.advance(seconds(1));
  BOOST_TEST(find(*start("node-1"), "first") == "v1");
}

// Guards against callers that wait for a table service that does not answer.
BOOST_AUTO_TEST_CASE(UnknownWithinABoundWhereTheServiceDoesNotAnswer) {
  const auto node = start("node-0");
  table.down = true;
  BOOST_TEST(find(*node, "first") == "unknown");
}

// Guards against rows that grow or become more with the age of a fleet.
BOOST_AUTO_TEST_CASE(RowsAreUsedAgain) {
  const auto node = start("node-0");
  for (int second = 0; second < 200; ++second) {
    add(*node, "stream-" + std::to_string(second), "v1");
    time.advance(seconds(1));
  }
  const auto rows = table.ownRows("stream-origins/");
  BOOST_TEST(rows.size() == 16U);
  for (const auto& row : rows) BOOST_TEST(row.value.size() < 200U);
  BOOST_TEST(find(*node, "stream-10") == "unknown");
  BOOST_TEST(find(*node, "stream-190") == "v1");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::node
