// Identification of the request that crashes replicas among those that run at the same time.
#include "quarantine/crash_evidence.h"

#include <boost/test/unit_test.hpp>

#include "base/random.h"

namespace covewing::quarantine {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

struct EvidenceFixture {
  /// Reports a crash of a new replica that was running the requests.
  void crash(const std::vector<std::uint64_t>& runs) { report(++replicas, runs); }
  void report(std::uint64_t replica, const std::vector<std::uint64_t>& runs) {
    base::RequestFeatures fingerprints;
    for (const auto run : runs) fingerprints.push_back({run});
    evidence.onReplicaCrash({replica}, fingerprints, now);
  }
  std::uint64_t culprit() {
    const auto found = evidence.findCulprit(now);
    return found ? found->feature.value : 0;
  }

  CrashEvidence evidence;
  base::TimePoint now{seconds(1)};
  std::uint64_t replicas = 0;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(CrashEvidenceTest, EvidenceFixture)

BOOST_AUTO_TEST_CASE(RequestAtThreeCrashesIsTheCulprit) {
  crash({1, 2, 3});
  crash({1, 4});
  BOOST_TEST(culprit() == 0U);
  crash({1, 2, 5});
  BOOST_TEST(culprit() == 1U);
  BOOST_TEST(evidence.findCulprit(now)->crashes == 3U);
}

BOOST_AUTO_TEST_CASE(ReportsOfOneCrashCountOnce) {
  for (int node = 0; node < 4; ++node) report(7, {1});
  BOOST_TEST(culprit() == 0U);
}

BOOST_AUTO_TEST_CASE(NodesReportTheirRequestsOfOneCrashSeparately) {
  for (const std::uint64_t replica : {1U, 2U, 3U}) {
    report(replica, {100 + replica});
    report(replica, {1});
  }
  BOOST_TEST(culprit() == 1U);
}

// Requests that two nodes send together and that both fail are also retried together.
BOOST_AUTO_TEST_CASE(SuspectsAtTheSameCrashesWaitForTheNextOne) {
  for (int count = 0; count < 3; ++count) crash({1, 2});
  BOOST_TEST(culprit() == 0U);
  crash({1});
  BOOST_TEST(culprit() == 1U);
  evidence.onQuarantined({1}, now + minutes(60));
  BOOST_TEST(culprit() == 0U);
  BOOST_TEST(evidence.crashesAgainst({2}).empty());
}

BOOST_AUTO_TEST_CASE(InseparableSuspectsAreBothTreatedAsCulprits) {
  for (int count = 0; count < 5; ++count) crash({1, 2});
  BOOST_TEST(culprit() == 1U);
}

BOOST_AUTO_TEST_CASE(ServedRequestIsNoCulpritWhateverCrashedBefore) {
  for (int count = 0; count < 3; ++count) crash({1});
  evidence.onServed({1}, now);
  BOOST_TEST(culprit() == 0U);
  BOOST_TEST(evidence.crashesAgainst({1}).empty());
  // A late or repeated report does not restore the evidence.
  report(2, {1});
  BOOST_TEST(culprit() == 0U);
  now += seconds(1);
  for (int count = 0; count < 3; ++count) crash({1});
  BOOST_TEST(culprit() == 1U);
}

// A popular request is present at every crash, and hides the culprit unless it counts as served.
BOOST_AUTO_TEST_CASE(ServedRequestDoesNotHideTheCulprit) {
  for (int count = 0; count < 3; ++count) crash({1, 9});
  evidence.onServed({9}, now);
  BOOST_TEST(culprit() == 1U);
}

BOOST_AUTO_TEST_CASE(CrashesOfAKnownCulpritCountAgainstNoOtherRequest) {
  for (int count = 0; count < 3; ++count) crash({1, 10});
  crash({1});
  evidence.onQuarantined({1}, now + minutes(60));
  for (int count = 0; count < 3; ++count) {
    report(50 + static_cast<std::uint64_t>(count), {2});
    report(50 + static_cast<std::uint64_t>(count), {1});
  }
  BOOST_TEST(culprit() == 0U);
}

BOOST_AUTO_TEST_CASE(TwoCulpritsAreFoundOneByOne) {
  for (int count = 0; count < 3; ++count) crash({1, 20 + replicas});
  for (int count = 0; count < 4; ++count) crash({2, 30 + replicas});
  BOOST_TEST(culprit() == 2U);
  evidence.onQuarantined({2}, now + minutes(60));
  BOOST_TEST(culprit() == 1U);
}

BOOST_AUTO_TEST_CASE(OldCrashesNoLongerCount) {
  crash({1});
  crash({1});
  now += minutes(11);
  crash({1});
  BOOST_TEST(culprit() == 0U);
}

BOOST_AUTO_TEST_CASE(EvidenceIsBounded) {
  std::vector<std::uint64_t> many;
  for (std::uint64_t run = 1; run <= 5000; ++run) many.push_back(run);
  for (int count = 0; count < 300; ++count) crash({9999});
  report(9000, many);
  BOOST_TEST(evidence.findCulprit(now)->crashes == 255U);
  BOOST_TEST(evidence.crashesAgainst({5000}).empty());
}

// Waves of crashes among many requests, some of which are retried after a crash: the culprit is
// identified, and no other request.
BOOST_AUTO_TEST_CASE(OnlyTheCulpritIsFoundInRandomWaves) {
  constexpr std::uint64_t kCulprit = 1;
  constexpr std::uint64_t kSeeds = 500;
  std::size_t innocents = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    base::SeededRandom random(seed);
    CrashEvidence wave;
    base::RequestFeatures retried;
    std::uint64_t fresh = 1000;
    bool found = false;
    for (std::uint64_t replica = 1; replica <= 8 && !found; ++replica) {
      base::RequestFeatures runs{{kCulprit}};
      // Interrupted requests are retried once, each at one of twelve replicas.
      for (const auto run : retried) {
        if (random.below(12) == 0) runs.push_back(run);
      }
      retried.clear();
      const auto concurrent = 3 + random.below(20);
      for (std::uint64_t count = 0; count < concurrent; ++count) runs.push_back({++fresh});
      retried.assign(runs.begin() + 1, runs.end());
      wave.onReplicaCrash({replica}, runs, base::TimePoint{seconds(replica)});
      while (const auto culprit = wave.findCulprit(base::TimePoint{seconds(replica)})) {
        wave.onQuarantined(culprit->feature, base::TimePoint{seconds(1000)});
        found = found || culprit->feature.value == kCulprit;
        innocents += culprit->feature.value == kCulprit ? 0 : 1;
      }
    }
    BOOST_TEST(found);
  }
  BOOST_TEST(innocents == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::quarantine
