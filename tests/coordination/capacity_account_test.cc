// How many replicas the current load requires, and how many may be unavailable.
#include "coordination/capacity_account.h"

#include <boost/test/unit_test.hpp>

namespace covewing::coordination {

using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(CapacityAccountTest)

BOOST_AUTO_TEST_CASE(RequiredCapacityAndHeadroomAreNotSpare) {
  FleetCapacity capacity;
  capacity.serving = 50;
  capacity.changing = 10;
  capacity.unresponsive = 30;
  capacity.needed = 40;
  BOOST_TEST(capacity.spareReplicas(0.25) == 10U);
  capacity.needed = 70;
  BOOST_TEST(capacity.spareReplicas(0.25) == 0U);
}

BOOST_AUTO_TEST_CASE(DemandRisesAtOnceAndFallsSlowly) {
  CapacityAccount account;
  base::TimePoint now{seconds(100)};
  BOOST_TEST(account.needed("m") == 0);
  account.onDemand("m", 20, now);
  BOOST_TEST(account.needed("m") == 20);
  now += milliseconds(50);
  account.onDemand("m", 60, now);
  BOOST_TEST(account.needed("m") == 60);
  now += milliseconds(200);
  account.onDemand("m", 10, now);
  BOOST_TEST(account.needed("m") > 50);
  now += seconds(20);
  account.onDemand("m", 10, now);
  BOOST_TEST(account.needed("m") < 11);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::coordination
