// Identification of the request that crashes replicas among those that run at the same time.
#include "quarantine/crash_evidence.h"

#include <boost/test/unit_test.hpp>

#include "base/random.h"

namespace covewing::quarantine {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

base::RequestFeature part(std::uint64_t value) { return {value, base::FeatureKind::kPromptPart}; }

struct EvidenceFixture {
  using Values = std::vector<std::uint64_t>;
  /// Reports a crash of a new replica that was running prompts with these parts, some of which had
  /// just begun to be answered, and these requests. Time passes before it.
  void crashParts(const Values& parts, const Values& begun, const Values& requests = {},
                  base::Duration after = milliseconds(500)) {
    now += after;
    base::RequestFeatures runs;
    base::RequestFeatures begunRuns;
    for (const auto value : parts) runs.push_back(part(value));
    for (const auto value : begun) begunRuns.push_back(part(value));
    for (const auto value : requests) runs.push_back({value});
    evidence.onReplicaCrash({++replicas}, runs, now, begunRuns);
  }
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

// Requests of which no two are alike but all have one part in common: each of them is at one crash.
BOOST_AUTO_TEST_CASE(PartThatHadBegunAtThreeCrashesIsTheCulprit) {
  for (std::uint64_t end = 1; end <= 3; ++end) {
    BOOST_TEST(culprit() == 0U);
    crashParts({50, 60 + end}, {50, 60 + end}, {100 + end});
  }
  BOOST_TEST(culprit() == 50U);
  BOOST_TEST((evidence.findCulprit(now)->feature.kind == base::FeatureKind::kPromptPart));
}

// Guards against a part that many runs have, begun long before, being convicted as fast.
BOOST_AUTO_TEST_CASE(PartThatWasOnlyPresentIsTheCulpritAtFiveCrashes) {
  for (int count = 0; count < 5; ++count) {
    BOOST_TEST(culprit() == 0U);
    crashParts({50}, {});
  }
  BOOST_TEST(culprit() == 50U);
}

// Replicas that lose power together: whatever runs at all of them is present at many crashes.
BOOST_AUTO_TEST_CASE(CrashesOfAPartInOneWaveCountOnce) {
  for (int wave = 0; wave < 2; ++wave) {
    for (int count = 0; count < 4; ++count) crashParts({50}, {}, {}, milliseconds(40));
    now += seconds(2);
  }
  BOOST_TEST(culprit() == 0U);
  for (int count = 0; count < 4; ++count) crashParts({60}, {60}, {}, milliseconds(40));
  BOOST_TEST(culprit() == 0U);
}

// A crash of which one node reports only late that its response had begun.
BOOST_AUTO_TEST_CASE(BeginningIsRecordedWhicheverNodeReportsIt) {
  for (int count = 0; count < 3; ++count) {
    crashParts({50}, {});
    evidence.onReplicaCrash({replicas}, {part(50)}, now, {part(50)});
  }
  BOOST_TEST(culprit() == 50U);
}

// Requests with the culprit that come faster than one can tell their crashes from one wave.
BOOST_AUTO_TEST_CASE(CulpritOfABurstIsFoundAtTheNextCrash) {
  for (int count = 0; count < 5; ++count) crashParts({50}, {50}, {}, milliseconds(10));
  BOOST_TEST(culprit() == 0U);
  now += seconds(5);
  crashParts({50}, {50});
  BOOST_TEST(culprit() == 50U);
}

BOOST_AUTO_TEST_CASE(PartsAtTheSameCrashesAreJudgedTogetherAtTheFifth) {
  for (int count = 0; count < 4; ++count) crashParts({50, 51}, {50, 51});
  BOOST_TEST(culprit() == 0U);
  crashParts({50, 51}, {50, 51});
  const auto found = evidence.findCulprit(now);
  BOOST_REQUIRE(found.has_value());
  BOOST_TEST(evidence.inseparableFrom(*found).size() == 2U);
}

// A tenant's other requests run at the same replicas, with the parts that precede the culprit.
BOOST_AUTO_TEST_CASE(PartThatIsServedMeanwhileDoesNotHideTheCulprit) {
  for (int count = 0; count < 3; ++count) {
    crashParts({10, 50}, {10, 50});
    evidence.onServed(part(10), now);
  }
  BOOST_TEST(culprit() == 50U);
  evidence.onQuarantined(part(50), now + minutes(10));
  BOOST_TEST(culprit() == 0U);
}

// Guards against the parts of its own prompt delaying the verdict on a request.
BOOST_AUTO_TEST_CASE(RequestExplainsTheCrashesOfItsOwnParts) {
  for (int count = 0; count < 3; ++count) crashParts({50}, {50}, {7});
  const auto found = evidence.findCulprit(now);
  BOOST_REQUIRE(found.has_value());
  BOOST_TEST((found->feature == base::RequestFeature{7}));
  evidence.onQuarantined(found->feature, now + minutes(60));
  BOOST_TEST(culprit() == 0U);
}

BOOST_AUTO_TEST_CASE(PartsDoNotTakeTheCapacityOfRequests) {
  std::vector<base::RequestFeature> many;
  for (std::uint64_t value = 1; value <= 9000; ++value) many.push_back(part(value));
  evidence.onReplicaCrash({1}, many, now);
  report(1, {7});
  BOOST_TEST(evidence.crashesAgainst({7}).size() == 1U);
  BOOST_TEST(evidence.crashesAgainst(part(4096)).size() == 1U);
  BOOST_TEST(evidence.crashesAgainst(part(9000)).empty());
}

namespace {

/// Two waves of replicas that end for a reason of their own, two seconds apart. Every prompt has
/// one of eight rulebooks, which other replicas go on serving, and a part of its session. Sessions
/// are new, and some have runs at three replicas of a wave; interrupted runs are tried again.
/// Returns how many parts are convicted if they are judged as the given kind.
std::size_t convictedInWaves(std::uint64_t seed, base::FeatureKind kind, base::Duration spread,
                             bool withCulprit, bool& culpritFound) {
  constexpr std::uint64_t kCulprit = 5;
  constexpr std::size_t kReplicasPerWave = 8;
  constexpr std::size_t kSessions = 60;
  constexpr double kBegun = 0.25;
  base::SeededRandom random(seed);
  CrashEvidence evidence;
  std::size_t innocents = 0;
  std::uint64_t replica = 0;
  std::vector<std::uint64_t> sessions;
  std::uint64_t fresh = 1000;
  base::TimePoint now{seconds(100)};
  const auto judge = [&] {
    while (const auto culprit = evidence.findCulprit(now)) {
      const bool right = withCulprit && culprit->feature.value == kCulprit;
      culpritFound = culpritFound || right;
      innocents += right ? 0 : 1;
      evidence.onQuarantined(culprit->feature, now + minutes(10));
    }
  };
  for (int wave = 0; wave < 2; ++wave) {
    while (sessions.size() < kSessions) sessions.push_back(++fresh);
    std::vector<base::RequestFeatures> runs(kReplicasPerWave);
    std::vector<base::RequestFeatures> begun(kReplicasPerWave);
    for (const auto session : sessions) {
      const auto concurrent = random.below(6) == 0 ? 3U : 1U;
      for (std::uint64_t run = 0; run < concurrent; ++run) {
        const auto at = random.below(kReplicasPerWave);
        const base::RequestFeature rulebook{10 + session % 8, kind};
        for (const auto feature : {rulebook, base::RequestFeature{session, kind}}) {
          runs[at].push_back(feature);
          if (random.unit() < kBegun) begun[at].push_back(feature);
        }
      }
    }
    for (std::size_t at = 0; at < kReplicasPerWave; ++at) {
      evidence.onReplicaCrash({++replica}, runs[at], now, begun[at]);
      now += spread;
    }
    for (std::uint64_t rulebook = 10; rulebook < 18; ++rulebook)
      evidence.onServed({rulebook, kind}, now);
    judge();
    now += seconds(2);
    // One in three sessions is tried again and runs at a replica of the next wave.
    std::erase_if(sessions, [&](std::uint64_t /*session*/) { return random.below(3) != 0; });
  }
  for (std::size_t end = 0; withCulprit && end < 5 && !culpritFound; ++end) {
    now += seconds(1);
    const base::RequestFeatures both{{10, kind}, {kCulprit, kind}, {++fresh, kind}};
    evidence.onReplicaCrash({++replica}, both, now, both);
    evidence.onServed({10, kind}, now + milliseconds(200));
    judge();
  }
  return innocents;
}

}  // namespace

// Guards against a power loss that lasts two waves convicting what happened to run there. For
// comparison, the same waves are judged as requests are, by presence alone.
BOOST_AUTO_TEST_CASE(WavesOfUnrelatedCrashesConvictNoPart) {
  constexpr std::uint64_t kSeeds = 500;
  std::size_t byPresence = 0;
  std::size_t byBeginning = 0;
  std::size_t found = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const auto spread = milliseconds(seed % 2 == 0 ? 5 : 60);
    bool ignored = false;
    byPresence += convictedInWaves(seed, base::FeatureKind::kRequest, spread, false, ignored);
    byBeginning += convictedInWaves(seed, base::FeatureKind::kPromptPart, spread, false, ignored);
    bool culpritFound = false;
    byBeginning +=
        convictedInWaves(seed, base::FeatureKind::kPromptPart, spread, true, culpritFound);
    found += culpritFound ? 1 : 0;
  }
  BOOST_TEST_MESSAGE(byPresence << " innocent parts convicted by presence alone, " << byBeginning
                                << " by beginnings in separate waves");
  BOOST_TEST(byBeginning == 0U);
  BOOST_TEST(byPresence > 100U);
  BOOST_TEST(found == kSeeds);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::quarantine
