// What a node that starts later learns from the table service of the software versions that
// replicas had.
#include "node/software_version_store.h"

#include <boost/test/unit_test.hpp>

#include "routing/fakes.h"
#include "routing/listed_versions.h"
#include "support/memory_table_service.h"
#include "support/virtual_time.h"

namespace covewing::node {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string kService = "llm";
constexpr base::Duration kAge = seconds(8);

struct StoreNode {
  StoreNode(test_support::VirtualTime& time, test_support::MemoryTableService& table,
            const std::string& name)
      : members({routing::testing::makeMember(name, "z")}),
        store({table, time, time, members, listed.versions,
               [&table] { return table.serviceTime(); }}) {}

  routing::testing::FakeMembers members;
  routing::testing::ListedVersions listed{kService};
  SoftwareVersionStore store;
};

struct StoreFixture {
  StoreFixture() {
    time.advance(seconds(100));
    writer.listed.add("v1");
    writer.store.start();
    pass(seconds(2));
  }

  /// Time passes while the list of the writer is confirmed.
  void pass(base::Duration span) {
    for (; span > base::Duration::zero(); span -= milliseconds(500)) {
      writer.listed.versions.onCurrent(time.now());
      time.advance(milliseconds(500));
    }
  }
  /// The version that a node finds that has just started; "unknown" if it finds none.
  std::string find() {
    std::string result = "no answer";
    starter.store.findSoleVersion(
        kService, kAge, [&result](const auto& found) { result = found.value_or("unknown"); });
    time.advance(milliseconds(400));
    return result;
  }

  test_support::VirtualTime time;
  test_support::MemoryTableService table{time, time, "own"};
  StoreNode writer{time, table, "writer"};
  StoreNode starter{time, table, "starter"};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(SoftwareVersionStoreTest, StoreFixture)

BOOST_AUTO_TEST_CASE(OnlyVersionIsKnownToNodesThatStartLater) {
  BOOST_TEST(find() == "v1");
  BOOST_TEST(table.ownRows("software-versions/").size() == 1U);
}

BOOST_AUTO_TEST_CASE(RowIsWrittenOnlyWhenAVersionComesOrGoes) {
  const auto commits = table.commits;
  writer.listed.add("v1");
  pass(seconds(20));
  BOOST_TEST(table.commits == commits);
}

BOOST_AUTO_TEST_CASE(VersionThatIsGoneCountsAsLongAsItsStreamsMayLast) {
  writer.listed.add("v2");
  pass(seconds(1));
  BOOST_TEST(find() == "unknown");
  writer.listed.remove("v1", time.now());
  pass(seconds(3));
  BOOST_TEST(find() == "unknown");
  pass(kAge);
  BOOST_TEST(find() == "v2");
}

BOOST_AUTO_TEST_CASE(VersionThatComesBackIsListedAgain) {
  writer.listed.add("v2");
  pass(seconds(1));
  writer.listed.remove("v1", time.now());
  pass(seconds(20));
  writer.listed.add("v1");
  pass(seconds(1));
  BOOST_TEST(find() == "unknown");
}

// A writer that starts finds the row of the one before it, and keeps what was listed lately.
BOOST_AUTO_TEST_CASE(WriterThatStartsKeepsWhatTheOneBeforeItHasSeen) {
  StoreNode next(time, table, "writer");
  next.listed.add("v2");
  next.listed.versions.onCurrent(time.now());
  next.store.start();
  time.advance(seconds(2));
  BOOST_TEST(find() == "unknown");
}

BOOST_AUTO_TEST_CASE(NothingIsKnownWhileTheTableServiceDoesNotAnswer) {
  std::optional<std::string> result = "no answer";
  starter.store.findSoleVersion("another", kAge, [&result](const auto& found) { result = found; });
  time.advance(milliseconds(400));
  BOOST_TEST(!result.has_value());
}

BOOST_AUTO_TEST_CASE(RowsAreWrittenAgainAfterARestore) {
  table.put("own", "software-versions/" + kService, std::nullopt);
  writer.store.onStoreReturned();
  pass(seconds(2));
  BOOST_TEST(find() == "v1");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::node
