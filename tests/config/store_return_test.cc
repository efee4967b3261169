// The table service comes back from a copy that lacks its last writes and gives revision numbers
// out again. Whatever its counter does, all nodes come to hold what it holds, and none proves a
// copy that lacks what was committed before the proof.
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

#include "feed_fleet.h"

namespace covewing::config {

using namespace feed_fleet;

namespace {

using base::revisionAt;

/// Rows that only move the counter.
constexpr const char* kHeartbeat = "heartbeat";

void beat(FakeService& service, int times) {
  for (int beat = 0; beat < times; ++beat) service.put(kHeartbeat, std::to_string(beat));
}

int wholeReads(const Fleet& fleet) {
  int reads = 0;
  for (const auto& node : fleet.nodes) reads += node->service.wholeReads;
  return reads;
}

std::map<std::string, std::string> rowsOf(const TableCopy& copy) {
  std::map<std::string, std::string> rows;
  for (const auto& row : copy.all()) rows[row.key] = *row.value;
  return rows;
}

bool allHold(const Fleet& fleet, const std::string& key, const std::string& value) {
  return std::ranges::all_of(fleet.nodes, [&](const auto& node) {
    const auto row = node->listener.rows.find(key);
    return row != node->listener.rows.end() && row->second == value;
  });
}

}  // namespace

BOOST_AUTO_TEST_SUITE(StoreReturnFeedTest)

BOOST_AUTO_TEST_CASE(RowsBelowThePositionsReachAllNodesWhereTheCounterHasPassedThem) {
  Fleet fleet(6, 3);
  const auto copy = fleet.service.copy();
  fleet.service.put("a", "before");
  beat(fleet.service, 5);
  fleet.time.advance(seconds(3));
  BOOST_TEST(allHold(fleet, "a", "before"));
  fleet.service.returnFrom(copy, 50);
  fleet.time.advance(seconds(2));
  BOOST_TEST(allHold(fleet, "a", "1"));
  fleet.service.put("a", "after");
  fleet.time.advance(seconds(2));
  BOOST_TEST(allHold(fleet, "a", "after"));
}

BOOST_AUTO_TEST_CASE(RowsReachAllNodesWhereTheCounterLiesBehindTheirPositions) {
  Fleet fleet(6, 3);
  const auto copy = fleet.service.copy();
  fleet.service.put("b", "1");
  beat(fleet.service, 50);
  fleet.time.advance(seconds(3));
  fleet.service.returnFrom(copy);
  fleet.service.put("a", "after");
  fleet.time.advance(seconds(2));
  BOOST_TEST(allHold(fleet, "a", "after"));
  for (const auto& node : fleet.nodes) BOOST_TEST(!node->listener.rows.contains("b"));
}

// Only the readers read the whole table: the others are told what is different.
BOOST_AUTO_TEST_CASE(ReturnCostsTheServiceACopyForEachReader) {
  Fleet fleet(20, 3);
  fleet.time.advance(seconds(3));
  const int before = wholeReads(fleet);
  const auto copy = fleet.service.copy();
  beat(fleet.service, 20);
  fleet.time.advance(seconds(2));
  fleet.service.returnFrom(copy, 50);
  fleet.service.put("a", "after");
  fleet.time.advance(seconds(2));
  BOOST_TEST(allHold(fleet, "a", "after"));
  BOOST_TEST(wholeReads(fleet) - before <= static_cast<int>(2 * FeedWatcherCounts{}.readers));
}

// A node that knew more of the former history than the one it asks may hold rows that nobody tells
// it to drop.
BOOST_AUTO_TEST_CASE(NodeThatKnewMoreThanTheOneItAsksReadsTheWholeTable) {
  TableCopy asked;
  asked.replace({{"a", "1", 3}}, 10);
  asked.replace({{"a", "1", base::revisionAt(1, 3)}}, base::revisionAt(1, 40));
  BOOST_TEST(!asked.changesAfter(11).has_value());
  BOOST_REQUIRE(asked.changesAfter(10).has_value());
  BOOST_TEST(asked.changesAfter(10)->empty());
}

BOOST_AUTO_TEST_CASE(CopyOfAFormerEraIsPassedOver) {
  TableCopy copy;
  copy.replace({{"a", "new", base::revisionAt(1, 3)}}, base::revisionAt(1, 5));
  copy.replace({{"a", "old", 9}}, 9);
  BOOST_TEST(copy.all().front().value.value() == "new");
  BOOST_TEST((*copy.revision() == base::revisionAt(1, 5)));
}

// Histories of writes, removals and returns at random, followed from any position that a node may
// have: what is told makes its rows those of the copy, or nothing is told.
RC_BOOST_PROP(WhatIsToldMakesAnyFollowerEqual, ()) {
  test_support::VirtualTime time;
  FakeService service(time);
  std::vector<FakeService::Copy> copies{service.copy()};
  struct Follower {
    std::map<std::string, std::string> rows;
    base::Revision position = 0;
  };
  const auto stamped = [&service](bool whole) {
    TableCopy::Rows rows;
    for (auto row : service.copy().rows) {
      if (whole && !row.second.value) continue;
      row.second.revision = base::revisionAt(service.era(), row.second.revision);
      rows.push_back(row.second);
    }
    return rows;
  };
  const auto now = [&service] { return base::revisionAt(service.era(), service.copy().number); };
  TableCopy watcher;
  watcher.replace(stamped(true), now());
  std::vector<Follower> followers{{rowsOf(watcher), *watcher.revision()}};
  const auto steps = *rc::gen::inRange(1, 40);
  for (int step = 0; step < steps; ++step) {
    const auto key = std::string(1, *rc::gen::inRange('a', 'e'));
    switch (*rc::gen::inRange(0, 6)) {
      case 0:
        service.remove(key);
        break;
      case 1:
        copies.push_back(service.copy());
        break;
      case 2:
        service.returnFrom(*rc::gen::elementOf(copies), *rc::gen::inRange(0, 9));
        break;
      case 3:
        if (base::eraOf(*watcher.revision()) == service.era()) {
          watcher.apply(stamped(false), now());
        } else {
          watcher.replace(stamped(true), now());
        }
        // Another node knows just as much from now on.
        followers.push_back({rowsOf(watcher), *watcher.revision()});
        break;
      default:
        service.put(key, std::to_string(step));
    }
    for (auto& follower : followers) {
      const auto told = watcher.changesAfter(follower.position);
      if (!told) continue;
      for (const auto& row : *told) {
        if (row.value) {
          follower.rows[row.key] = *row.value;
        } else {
          follower.rows.erase(row.key);
        }
      }
      follower.position = *watcher.revision();
      RC_ASSERT(follower.rows == rowsOf(watcher));
    }
  }
}

// Guards against a node that keeps an outdated row for good because two nodes read the service at
// different moments of one era and number the row differently.
BOOST_AUTO_TEST_CASE(FollowerOfTwoCopiesOfAnEraKeepsNoOutdatedRow) {
  TableCopy early;
  TableCopy late;
  TableCopy follower;
  for (auto* copy : {&early, &late, &follower})
    copy->replace({{"table", "v40", revisionAt(6, 389)}}, revisionAt(6, 395));
  for (auto* copy : {&early, &late})
    copy->apply({{"table", "v43", revisionAt(6, 409)}}, revisionAt(6, 409));
  // The service returns without v43, which is written again later.
  early.replace({{"table", "v40", revisionAt(8, 389)}}, revisionAt(8, 400));
  follower.apply(early.changesAfter(*follower.revision()).value(), *early.revision());
  late.replace({{"table", "v43", revisionAt(8, 405)}}, revisionAt(8, 410));
  early.apply({{"table", "v43", revisionAt(8, 405)}}, revisionAt(8, 410));
  for (const auto* teller : {&late, &early}) {
    // One that cannot tell makes the follower ask elsewhere, from where it stands.
    const auto told = teller->changesAfter(*follower.revision());
    if (told) follower.apply(*told, *teller->revision());
  }
  BOOST_TEST(follower.all().front().value.value() == "v43");
  BOOST_TEST(follower.all().front().value.value() == early.all().front().value.value());
}

// A build before numbers the rows of a whole copy by the era in which it first read them.
BOOST_AUTO_TEST_CASE(WholeCopyByAFormerBuildReplacesAnOutdatedRow) {
  TableCopy copy;
  copy.replace({{"table", "v40", revisionAt(8, 389)}}, revisionAt(8, 400));
  copy.replace({{"table", "v43", revisionAt(6, 409)}}, revisionAt(8, 410));
  BOOST_TEST(copy.all().front().value.value() == "v43");
  BOOST_TEST((copy.all().front().revision <= revisionAt(8, 410)));
  copy.apply({{"table", "v44", revisionAt(8, 411)}}, revisionAt(8, 411));
  BOOST_TEST(copy.all().front().value.value() == "v44");
}

// Several nodes read the service at different moments, tell each other changes and whole copies in
// any order, and tell others in turn what they were told: each holds what the service held at its
// position.
RC_BOOST_PROP(EachOfSeveralTellersHoldsTheTableOfItsPosition, ()) {
  using Rows = std::map<std::string, std::string>;
  constexpr std::size_t kCopies = 4;
  test_support::VirtualTime time;
  FakeService service(time);
  std::vector<FakeService::Copy> backups{service.copy()};
  std::map<base::Revision, Rows> tables;
  const auto now = [&service] { return base::revisionAt(service.era(), service.copy().number); };
  const auto record = [&] {
    Rows rows;
    for (const auto& [key, row] : service.copy().rows)
      if (row.value) rows[key] = *row.value;
    tables[now()] = rows;
  };
  const auto serviceRows = [&service](bool whole, std::uint64_t after) {
    TableCopy::Rows rows;
    for (auto [key, row] : service.copy().rows) {
      if (whole ? !row.value.has_value() : row.revision <= after) continue;
      row.revision = base::revisionAt(service.era(), row.revision);
      rows.push_back(row);
    }
    return rows;
  };
  record();
  std::vector<TableCopy> copies(kCopies);
  for (auto& copy : copies) copy.replace(serviceRows(true, 0), now());
  const auto readService = [&](TableCopy& copy) {
    if (base::eraOf(*copy.revision()) == service.era()) {
      copy.apply(serviceRows(false, base::numberOf(*copy.revision())), now());
    } else {
      copy.replace(serviceRows(true, 0), now());
    }
  };
  const auto askCopy = [&](TableCopy& asker, const TableCopy& teller, bool whole) {
    if (base::eraOf(*teller.revision()) < base::eraOf(*asker.revision())) return;
    const auto told = teller.changesAfter(*asker.revision());
    if (whole || !told) {
      if (*teller.revision() >= *asker.revision()) asker.replace(teller.all(), *teller.revision());
    } else {
      asker.apply(*told, *teller.revision());
    }
  };
  const auto steps = *rc::gen::inRange(1, 80);
  for (int step = 0; step < steps; ++step) {
    const auto key = std::string(1, *rc::gen::inRange('a', 'd'));
    auto& copy = copies[*rc::gen::inRange<std::size_t>(0, kCopies)];
    const auto& other = copies[*rc::gen::inRange<std::size_t>(0, kCopies)];
    switch (*rc::gen::inRange(0, 9)) {
      case 0:
        service.remove(key);
        break;
      case 1:
        backups.push_back(service.copy());
        break;
      case 2:
        service.returnFrom(*rc::gen::elementOf(backups), *rc::gen::inRange(0, 4));
        break;
      case 3:
        readService(copy);
        break;
      case 4:
      case 5:
        if (&copy != &other) askCopy(copy, other, false);
        break;
      case 6:
        if (&copy != &other) askCopy(copy, other, true);
        break;
      default:
        // Few values, so that rows are written again as they were before a return.
        service.put(key, std::to_string(*rc::gen::inRange(0, 3)));
    }
    record();
    for (const auto& each : copies) RC_ASSERT(rowsOf(each) == tables.at(*each.revision()));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::config
