// Assignment of prompt parts to external KV cache stores, and the evaluation of the availability of
// a store.
#include "routing/cache_stores.h"

#include <boost/test/unit_test.hpp>
#include <set>

namespace covewing::routing {

namespace {

struct StoresFixture {
  StoresFixture() {
    config::RouteTableContents contents;
    for (std::uint16_t port = 1; port <= 3; ++port) {
      config::Service service;
      service.name = "kept-" + std::to_string(port);
      service.cacheStore = config::CacheStore{{9, port}, "z", 2};
      contents.services.push_back(service);
    }
    table = std::make_unique<config::RouteTable>(contents);
    stores.update(*table);
  }

  std::set<std::string> chosen() const {
    std::set<std::string> names;
    for (std::uint64_t part = 1; part <= 100; ++part) {
      if (const auto* store = stores.choose(part)) names.insert(store->name);
    }
    return names;
  }

  const std::string one = "store/0.0.0.9:1";
  const std::string two = "store/0.0.0.9:2";
  std::unique_ptr<config::RouteTable> table;
  CacheStores stores;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(CacheStoresTest, StoresFixture)

BOOST_AUTO_TEST_CASE(StoreWithUnknownAvailabilityIsNotChosen) { BOOST_TEST(chosen().empty()); }

BOOST_AUTO_TEST_CASE(PartsAreSpreadOverAvailableStoresAndKeepTheirStore) {
  stores.setLocalAvailability(one, true);
  stores.setLocalAvailability(two, true);
  BOOST_TEST(chosen().size() == 2U);
  const auto name = stores.choose(7)->name;
  stores.setLocalAvailability("store/0.0.0.9:3", true);
  stores.setLocalAvailability(name == one ? two : one, false);
  const auto* again = stores.choose(7);
  BOOST_TEST((again->name == name || again->name == "store/0.0.0.9:3"));
}

BOOST_AUTO_TEST_CASE(NodeThatDoesNotWatchFollowsTheMajorityOfReports) {
  stores.onReportedAvailability(one, "n1", true);
  stores.onReportedAvailability(one, "n2", true);
  stores.onReportedAvailability(one, "n3", false);
  BOOST_TEST(stores.choose(1)->name == one);
  stores.onReportedAvailability(one, "n2", false);
  BOOST_TEST((stores.choose(1) == nullptr));
}

BOOST_AUTO_TEST_CASE(OwnObservationOverridesReports) {
  stores.onReportedAvailability(one, "n1", true);
  stores.setLocalAvailability(one, false);
  BOOST_TEST((stores.choose(1) == nullptr));
  stores.clearLocalAvailability(one);
  BOOST_TEST(stores.choose(1)->name == one);
}

BOOST_AUTO_TEST_CASE(ChangesOfOwnObservationAreNotifiedOnce) {
  std::vector<bool> notified;
  stores.onLocalAvailabilityChanged(
      [&notified](const std::string& /*name*/, bool value) { notified.push_back(value); });
  for (const bool available : {true, true, false, false, true})
    stores.setLocalAvailability(one, available);
  BOOST_TEST(notified == (std::vector<bool>{true, false, true}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(UpdatedTableKeepsStoreState) {
  stores.setLocalAvailability(one, true);
  stores.onReportedAvailability(two, "n1", true);
  stores.update(*table);
  BOOST_TEST(chosen().size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::routing
