#include "config/configuration_store.h"

#include <malloc.h>
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

#include "config/template_fixtures.h"
#include "membership/virtual_network.h"

namespace covewing::config {

namespace {

class Clock final : public base::Clock {
 public:
  base::TimePoint now() const override { return time; }
  base::TimePoint time{};
};

struct Store {
  Clock clock;
  base::NullEventLog log;
  ConfigurationStore store{{}, clock, log};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationStoreTest)

BOOST_AUTO_TEST_CASE(KeyFindsItsTenantExpanded) {
  Store fixture;
  fixture.store.apply(rowOf("common", baseDocument(), 4));
  fixture.store.apply(rowOf("stall-1", tenantDocument("stall-1", 9), 5));
  const TenantTemplatePtr found = fixture.store.findByKey("key-stall-1");
  BOOST_REQUIRE(found != nullptr);
  BOOST_TEST(found->name == "stall-1");
  BOOST_TEST(found->limits.requestsPerSecond == 9);
  BOOST_TEST(found->cacheSalt == 7U);
  BOOST_TEST(found->revision == 5U);
  BOOST_TEST((fixture.store.findByKey("key-stall-2") == nullptr));
  BOOST_TEST((fixture.store.findByName("common") == nullptr));
}

BOOST_AUTO_TEST_CASE(ChangeOfTheBaseIsInForceForItsTenants) {
  Store fixture;
  fixture.store.apply(rowOf("common", baseDocument(1500), 4));
  fixture.store.apply(rowOf("stall-1", tenantDocument("stall-1"), 5));
  BOOST_TEST((fixture.store.findByName("stall-1")->holdTime == std::chrono::milliseconds(1500)));
  fixture.store.apply(rowOf("common", baseDocument(700), 6));
  BOOST_TEST((fixture.store.findByName("stall-1")->holdTime == std::chrono::milliseconds(700)));
  BOOST_TEST(fixture.store.findByName("stall-1")->revision == 6U);
}

BOOST_AUTO_TEST_CASE(OlderRowNeverReplacesANewerOne) {
  Store fixture;
  BOOST_TEST((fixture.store.apply(rowOf("a", wholeDocument("a", 10), 8)) == ApplyResult::kApplied));
  BOOST_TEST(
      (fixture.store.apply(rowOf("a", wholeDocument("a", 20), 7)) == ApplyResult::kNotNewer));
  BOOST_TEST(
      (fixture.store.apply(rowOf("a", wholeDocument("a", 30), 8)) == ApplyResult::kNotNewer));
  BOOST_TEST((fixture.store.findByName("a")->holdTime == std::chrono::milliseconds(10)));
  BOOST_TEST((fixture.store.apply({"template/a", "{", 9}) == ApplyResult::kMalformed));
  BOOST_TEST((fixture.store.findByName("a")->holdTime == std::chrono::milliseconds(10)));
}

BOOST_AUTO_TEST_CASE(KeyThatWasTakenAwayFindsNobodyAndRetiredTenantsAreFound) {
  Store fixture;
  fixture.store.apply(rowOf("a", wholeDocument("a"), 1));
  fixture.store.apply(rowOf("a", wholeDocument("b"), 2));
  BOOST_TEST((fixture.store.findByKey("key-a") == nullptr));
  fixture.store.apply(rowOf("a", wholeDocument("b"), 3, true));
  BOOST_REQUIRE((fixture.store.findByKey("key-b") != nullptr));
  BOOST_TEST(fixture.store.findByKey("key-b")->retired);
}

BOOST_AUTO_TEST_CASE(FreshnessAgesAndAPauseCallsForACheck) {
  Store fixture;
  BOOST_TEST(!fixture.store.freshness().confirmed);
  BOOST_TEST(fixture.store.freshness().checking);
  fixture.store.confirm(3, fixture.clock.time);
  BOOST_TEST(fixture.store.freshness().confirmed);
  fixture.clock.time += std::chrono::seconds(4);
  fixture.store.noteRunning();
  BOOST_TEST(fixture.store.freshness().confirmed);
  fixture.clock.time += std::chrono::seconds(30);
  BOOST_TEST(!fixture.store.freshness().confirmed);
  BOOST_TEST(fixture.store.freshness().checking, "noticed without any call after the pause");
  fixture.store.noteRunning();
  BOOST_TEST(fixture.store.freshness().checking);
  fixture.clock.time += std::chrono::milliseconds(900);
  fixture.store.noteRunning();
  fixture.clock.time += std::chrono::milliseconds(200);
  fixture.store.noteRunning();
  BOOST_TEST(!fixture.store.freshness().checking, "the check has ended without confirmation");
}

RC_BOOST_PROP(DigestAndContentDoNotDependOnTheOrderOfArrival, ()) {
  const auto revisions = *rc::gen::container<std::vector<int>>(12, rc::gen::inRange(0, 12));
  std::vector<clients::TableRow> rows;
  for (std::size_t index = 0; index < revisions.size(); ++index) {
    const std::string name = "t" + std::to_string(index % 4);
    rows.push_back(rowOf(name, wholeDocument(name), static_cast<base::Revision>(revisions[index])));
  }
  Store forward;
  Store backward;
  for (const auto& row : rows) forward.store.apply(row);
  for (auto row = rows.rbegin(); row != rows.rend(); ++row) backward.store.apply(*row);
  RC_ASSERT(forward.store.digest() == backward.store.digest());
  for (const std::string& name : forward.store.names())
    RC_ASSERT(forward.store.findRow(name)->revision == backward.store.findRow(name)->revision);
}

RC_BOOST_PROP(PagesBringAStoreToTheSameContent, ()) {
  const auto pageBytes = *rc::gen::inRange<std::size_t>(1, 3000);
  const auto complete = *rc::gen::inRange<base::Revision>(0, 30);
  Store source;
  for (base::Revision revision = 1; revision <= 24; ++revision) {
    const std::string name = "t" + std::to_string(revision * 7 % 10);
    source.store.apply(rowOf(name, wholeDocument(name), revision));
  }
  source.store.advance(complete);
  Store copy;
  for (int round = 0; round < 100; ++round) {
    const RowPage page = source.store.page(copy.store.completeUpTo(), pageBytes);
    for (const auto& row : page.rows) copy.store.apply(row);
    copy.store.advance(page.completeUpTo);
    if (page.last) break;
  }
  RC_ASSERT(copy.store.digest() == source.store.digest());
  RC_ASSERT(copy.store.completeUpTo() == source.store.completeUpTo());
}

BOOST_AUTO_TEST_CASE(TenantsOnABaseTakeFewBytes) {
  constexpr std::size_t kTenants = 7400;
  std::vector<clients::TableRow> rows = {rowOf("common", baseDocument(), 1)};
  for (std::size_t index = 0; index < kTenants; ++index) {
    const std::string name = "stall-" + std::to_string(index);
    rows.push_back(rowOf(name, tenantDocument(name), index + 2));
  }
  Store fixture;
  const std::size_t before = mallinfo2().uordblks;
  for (const auto& row : rows) fixture.store.apply(row);
  for (std::size_t index = 0; index < kTenants; ++index)
    BOOST_REQUIRE(fixture.store.findByKey("key-stall-" + std::to_string(index)) != nullptr);
  const std::size_t used = mallinfo2().uordblks - before;
  BOOST_TEST_MESSAGE(
      "bytes per tenant, index and cache of expanded templates included: " << used / kTenants);
  BOOST_TEST(used / kTenants < 1200);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::config
