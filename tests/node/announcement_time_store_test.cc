// Storage of announcement times in the table service, for nodes that start later.
#include "node/announcement_time_store.h"

#include <boost/test/unit_test.hpp>

#include "node/announcement_time_resolver.h"
#include "request/fakes.h"
#include "routing/weights_targets.h"
#include "support/memory_table_service.h"
#include "support/recording_log.h"

namespace covewing::node {

using request::FakeTable;
using std::chrono::milliseconds;
using std::chrono::seconds;
using test_support::VirtualTime;

namespace {

struct AnnouncementTimeFixture {
  std::optional<base::Duration> serviceTime() const {
    return time.now().time_since_epoch() + clockOffset;
  }
  std::optional<base::Duration> lookUp(base::WeightsVersion version) {
    std::optional<base::Duration> found;
    starter.lookUp("m", version, [&](const std::vector<VersionAge>& ages) {
      for (const auto& each : ages) {
        if (each.version == version) found = each.age;
      }
    });
    time.advance(seconds(3));
    return found;
  }

  /// Offset of the service's clock from the nodes' clock.
  base::Duration clockOffset = seconds(1000);
  VirtualTime time;
  FakeTable table{time};
  AnnouncementTimeStore observer{table, time, time, [this] { return serviceTime(); }};
  AnnouncementTimeStore starter{table, time, time, [this] { return serviceTime(); }};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(WeightsDatesTest, AnnouncementTimeFixture)

BOOST_AUTO_TEST_CASE(NodeThatStartsLaterReadsTheAge) {
  observer.write("m", 4);
  time.advance(seconds(5));
  const auto age = lookUp(4);
  BOOST_REQUIRE(age.has_value());
  BOOST_TEST((*age >= seconds(5)));
  BOOST_TEST((*age < seconds(6)));
}

// After a restart of the table service its clock is behind, so a time written by its former clock
// lies in the future. Taken as announced just now, such a version gave the older weights their
// whole transition period again.
BOOST_AUTO_TEST_CASE(TimeInTheFutureIsIgnored) {
  observer.write("m", 4);
  time.advance(seconds(5));
  clockOffset -= seconds(60);
  BOOST_TEST(!lookUp(4).has_value());
}

BOOST_AUTO_TEST_CASE(FirstWrittenTimeStays) {
  observer.write("m", 4);
  time.advance(seconds(5));
  AnnouncementTimeStore late{table, time, time, [this] { return serviceTime(); }};
  late.write("m", 4);
  time.advance(seconds(1));
  BOOST_TEST((lookUp(4) >= seconds(6)));
}

BOOST_AUTO_TEST_CASE(VersionsBeforeTheNewestKeepTheirTimes) {
  observer.write("m", 4);
  time.advance(seconds(5));
  observer.write("m", 5);
  time.advance(seconds(1));
  BOOST_TEST((lookUp(5) < seconds(2)));
  BOOST_TEST((lookUp(4) > seconds(6)));
}

BOOST_AUTO_TEST_CASE(RowStaysBounded) {
  for (base::WeightsVersion version = 1; version <= 30; ++version) {
    observer.write("m", version);
    time.advance(seconds(1));
  }
  BOOST_TEST(!lookUp(20).has_value());
  BOOST_TEST(lookUp(24).has_value());
}

BOOST_AUTO_TEST_CASE(LostRepliesAndOutagesAreRetried) {
  table.nextBehaviours = {FakeTable::Behaviour::kUnavailable, FakeTable::Behaviour::kLoseAnswer};
  observer.write("m", 4);
  time.advance(seconds(10));
  table.nextBehaviours = {FakeTable::Behaviour::kUnavailable};
  BOOST_TEST(lookUp(4).has_value());
}

// All responsible nodes were lost at the moment of an announcement. The nodes that became
// responsible had the announcement time and did not write it, so nodes that started later found
// none.
BOOST_AUTO_TEST_CASE(NodeThatBecomesResponsibleWritesTheTime) {
  bool responsible = false;
  AnnouncementTimeStore next{table, time, time, [this] { return serviceTime(); },
                             [&](bool /*last*/) { return responsible; }};
  next.writeWhenResponsible("m", 4, seconds(1));
  time.advance(seconds(1));
  BOOST_TEST(table.commits.empty());
  responsible = true;
  time.advance(seconds(2));
  const auto age = lookUp(4);
  BOOST_REQUIRE(age.has_value());
  BOOST_TEST((*age >= seconds(4)));
  BOOST_TEST((*age < seconds(5)));
}

// A node estimates the service's clock from replies, so the estimate lags by the time that they
// were in flight. An announcement time computed with such an estimate was up to 0.8 s too late.
BOOST_AUTO_TEST_CASE(AgeIsNotUnderestimatedWithALateEstimateOfTheServiceClock) {
  table.clockOffset = seconds(1000);
  observer.write("m", 4);
  time.advance(seconds(5));
  AnnouncementTimeStore late{table, time, time,
                             [this] { return *serviceTime() - milliseconds(800); }};
  std::optional<base::Duration> found;
  late.lookUp("m", 4, [&](const std::vector<VersionAge>& ages) { found = ages.back().age; });
  time.advance(table.latency);
  BOOST_REQUIRE(found.has_value());
  BOOST_TEST((*found >= seconds(5)));
  BOOST_TEST((*found <= seconds(5) + 3 * table.latency));
}

// A retried write may arrive after a later one.
BOOST_AUTO_TEST_CASE(EarlierTimeOfAVersionReplacesALaterOne) {
  observer.write("m", 4, seconds(1));
  time.advance(seconds(1));
  AnnouncementTimeStore other{table, time, time, [this] { return serviceTime(); }};
  other.write("m", 4, seconds(6));
  time.advance(seconds(1));
  BOOST_TEST((lookUp(4) >= seconds(7)));
}

BOOST_AUTO_TEST_CASE(TimeOfAnOlderVersionIsAddedToThatOfANewerOne) {
  observer.write("m", 5);
  time.advance(seconds(1));
  observer.write("m", 4, seconds(3));
  time.advance(seconds(1));
  const auto older = lookUp(4);
  BOOST_REQUIRE(older.has_value());
  BOOST_TEST((*older >= seconds(4)));
  BOOST_TEST((lookUp(5) < seconds(9)));
}

BOOST_AUTO_TEST_CASE(NodeThatIsNeverResponsibleWritesNothing) {
  AnnouncementTimeStore other{table, time, time, [this] { return serviceTime(); },
                              [](bool /*last*/) { return false; }};
  other.writeWhenResponsible("m", 4, seconds(1));
  time.advance(seconds(20));
  BOOST_TEST(table.commits.empty());
}

// The service refused the calls of the nodes that usually write; at the last check other nodes with
// the announcement time write.
BOOST_AUTO_TEST_CASE(OthersWriteAtTheLastCheck) {
  AnnouncementTimeStore other{table, time, time, [this] { return serviceTime(); },
                              [](bool last) { return last; }};
  other.writeWhenResponsible("m", 4, seconds(1));
  time.advance(seconds(5));
  const auto age = lookUp(4);
  BOOST_REQUIRE(age.has_value());
  BOOST_TEST((*age >= seconds(6)));
}

// An announcement time written some seconds after the start of a node was never found when reading
// ended after 1.8 s.
BOOST_AUTO_TEST_CASE(TimeWrittenLateIsFoundWhileItMatters) {
  std::optional<base::Duration> found;
  starter.lookUp("m", 4, [&](const std::vector<VersionAge>& ages) {
    if (!ages.empty()) found = ages.back().age;
  });
  time.advance(seconds(4));
  observer.write("m", 4, seconds(4));
  time.advance(seconds(6));
  BOOST_REQUIRE(found.has_value());
  BOOST_TEST((*found >= seconds(4)));
}

BOOST_AUTO_TEST_CASE(VersionWithUnknownTimeIsRequiredUntilItsTimeIsKnown) {
  routing::WeightsTargets targets({seconds(8), seconds(1)});
  const base::TimePoint now{seconds(100)};
  BOOST_TEST(targets.onFound("m", 4, now));
  BOOST_TEST(targets.oldestAllowed("m", now) == 4U);
  BOOST_TEST((targets.startDeadline("m", 3) <= now));
  targets.onDated("m", 4, now - seconds(2));
  BOOST_TEST(targets.oldestAllowed("m", now + seconds(4)) == 0U);
  BOOST_TEST(targets.oldestAllowed("m", now + seconds(5)) == 4U);
  // A known announcement time is only replaced by an earlier one.
  targets.onDated("m", 4, now);
  BOOST_TEST(targets.oldestAllowed("m", now + seconds(5)) == 4U);
}

BOOST_AUTO_TEST_CASE(VersionIsRequiredByItsAnnouncementTime) {
  routing::WeightsTargets targets({seconds(8), seconds(1)});
  const base::TimePoint now{seconds(100)};
  targets.onNamed("m", 4, now);
  BOOST_TEST(targets.oldestAllowed("m", now + seconds(6)) == 0U);
  targets.onDated("m", 4, now - seconds(2));
  BOOST_TEST(targets.oldestAllowed("m", now + seconds(6)) == 4U);
}

// A node that started after one version was required and before the next one was had only the
// newest version, and sent requests to replicas that were two versions behind.
BOOST_AUTO_TEST_CASE(RequiredVersionIsKnownAfterANewerOneWasAnnounced) {
  routing::WeightsTargets targets({seconds(8), seconds(1)});
  const base::TimePoint now{seconds(100)};
  targets.onNamed("m", 4, now);
  targets.onDated("m", 3, now - seconds(10));
  targets.onDated("m", 4, now - seconds(2));
  BOOST_TEST(targets.oldestAllowed("m", now) == 3U);
  BOOST_TEST(targets.newest("m") == 4U);
}

// The table service is restored from an older backup without the announcement time. A node that
// starts then could not determine how long ago the version was announced.
BOOST_AUTO_TEST_CASE(TimeLostByARestoreIsRewritten) {
  const std::string model = "m";
  test_support::MemoryTableService service(time, time, "own");
  test_support::RecordingLog log;
  routing::WeightsTargets targets{{seconds(8), milliseconds(1200)}};
  AnnouncementTimeStore store(service, time, time, [&service] { return service.serviceTime(); });
  AnnouncementTimeResolver resolver(time, log, targets, store);
  const auto backup = service.copy();
  targets.onNamed(model, 4, time.now());
  resolver.onVersionAnnounced({model, 4}, {time.now(), std::nullopt});
  time.advance(seconds(5));
  BOOST_TEST(service.ownRows("weights-named/").size() == 1U);
  service.returnFrom(backup);
  resolver.onStoreReturned();
  time.advance(seconds(1));
  BOOST_REQUIRE(service.ownRows("weights-named/").size() == 1U);
  std::optional<base::Duration> age;
  AnnouncementTimeStore later(service, time, time, [&service] { return service.serviceTime(); });
  later.lookUp(model, 4, [&age](const std::vector<VersionAge>& ages) {
    if (!ages.empty()) age = ages.back().age;
  });
  time.advance(seconds(1));
  BOOST_REQUIRE(age.has_value());
  BOOST_TEST((*age >= seconds(6)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::node
