// How long ago a version was named, for nodes that start later.
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

  /// Of the service's clock over the nodes'.
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

// The table service started again with a clock that is behind: a date by the former one lies in its
// future. Taken for a version named just now, it gave the older weights their whole time again.
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

// All that were responsible for the date were lost in the moment at which the version was named;
// the next ones knew it and did not write, so that nodes that started then found no date.
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

// A node knows the service's clock from answers that were under way for some time: what it makes of
// it is late by that. A date that is read with such a clock was up to 0.8 s too late.
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

// Writes overtake each other where one is tried again.
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

// Those that usually write were turned away by the service; in the end others that know write.
BOOST_AUTO_TEST_CASE(OthersWriteAtTheLastCheck) {
  AnnouncementTimeStore other{table, time, time, [this] { return serviceTime(); },
                              [](bool last) { return last; }};
  other.writeWhenResponsible("m", 4, seconds(1));
  time.advance(seconds(5));
  const auto age = lookUp(4);
  BOOST_REQUIRE(age.has_value());
  BOOST_TEST((*age >= seconds(6)));
}

// A date that was written some seconds after the start was never found: reading ended after 1.8 s.
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
  // A date that is known moves to an earlier one alone.
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

// A node that starts between a version's time and the next one's knew only the newest, and sent to
// replicas that were two versions behind.
BOOST_AUTO_TEST_CASE(RequiredVersionIsKnownAfterANewerOneWasAnnounced) {
  routing::WeightsTargets targets({seconds(8), seconds(1)});
  const base::TimePoint now{seconds(100)};
  targets.onNamed("m", 4, now);
  targets.onDated("m", 3, now - seconds(10));
  targets.onDated("m", 4, now - seconds(2));
  BOOST_TEST(targets.oldestAllowed("m", now) == 3U);
  BOOST_TEST(targets.newest("m") == 4U);
}

// The table service comes back from a copy without the date: a node that starts then would not know
// how long ago the version was named.
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
