// When more replicas may load a version of weights, and when the version is stopped.
#include "coordination/version_watch.h"

#include <boost/test/unit_test.hpp>

namespace covewing::coordination {

using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(VersionWatchTest)

BOOST_AUTO_TEST_CASE(OneReplicaLoadsFirstAndTheOthersWhenItServes) {
  VersionWatch watch;
  const base::TimePoint now{seconds(100)};
  BOOST_TEST(watch.mayOrder("m", 2, now));
  watch.onOrdered("m", 2, now);
  BOOST_TEST(!watch.mayOrder("m", 2, now + milliseconds(500)));
  BOOST_TEST(watch.mayOrder("m", 3, now + milliseconds(500)));
  watch.onServed("m", 2);
  BOOST_TEST(watch.mayOrder("m", 2, now + milliseconds(500)));
}

BOOST_AUTO_TEST_CASE(SlowCanaryDelaysTheOthersForALimitedTime) {
  VersionWatch watch;
  const base::TimePoint now{seconds(100)};
  watch.onOrdered("m", 2, now);
  watch.onOrdered("m", 2, now + milliseconds(1600));
  BOOST_TEST(watch.mayOrder("m", 2, now + milliseconds(1700)));
}

BOOST_AUTO_TEST_CASE(SecondTerminationStopsTheVersionAndOneReplicaRetriesLater) {
  VersionWatch watch;
  base::TimePoint now{seconds(100)};
  watch.onOrdered("m", 2, now);
  BOOST_TEST(!watch.onTerminated("m", 2, now));
  BOOST_TEST(watch.onTerminated("m", 2, now));
  BOOST_TEST(watch.stopped("m", 2, now + seconds(3)));
  now += seconds(5);
  BOOST_TEST(!watch.stopped("m", 2, now));
  BOOST_TEST(watch.mayOrder("m", 2, now));
  watch.onOrdered("m", 2, now);
  BOOST_TEST(!watch.mayOrder("m", 2, now + milliseconds(500)));
  BOOST_TEST(watch.onTerminated("m", 2, now));
  // The back-off doubles.
  BOOST_TEST(watch.stopped("m", 2, now + seconds(7)));
  BOOST_TEST(!watch.stopped("m", 2, now + seconds(9)));
}

BOOST_AUTO_TEST_CASE(ServedVersionIsNotStoppedByTerminations) {
  VersionWatch watch;
  const base::TimePoint now{seconds(100)};
  watch.onOrdered("m", 2, now);
  watch.onServed("m", 2);
  for (int count = 0; count < 5; ++count) BOOST_TEST(!watch.onTerminated("m", 2, now));
  BOOST_TEST(watch.mayOrder("m", 2, now));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::coordination
