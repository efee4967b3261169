#include "bench/experiment.h"

#include <boost/test/unit_test.hpp>

#include "bench/report.h"

namespace covewing::bench {

namespace {

/// Options for a run of a few seconds with a small fleet.
ExperimentOptions smallRun(std::string_view scenario, std::string policy, std::uint64_t seed) {
  ExperimentOptions options;
  options.scenario = *findScenario(scenario);
  options.scenario.settings.engines = 8;
  options.scenario.settings.load = 0.12;
  options.scenario.settings.warmupSeconds = 6;
  options.scenario.settings.measuredSeconds = 8;
  options.scenario.settings.nodesPerZone = 1;
  options.policy = std::move(policy);
  options.seed = seed;
  return options;
}

std::string reportOf(ExperimentResult result) {
  // The CPU time is the only figure that is measured in real time, so it differs between runs.
  result.cpuMicrosecondsPerRequest = 0;
  return reportLine(result, std::nullopt);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(ExperimentTest)

BOOST_AUTO_TEST_CASE(EqualSeedsGiveEqualReportsAndOthersDiffer) {
  const auto report = [](std::uint64_t seed) {
    return reportOf(runExperiment(smallRun("tournaments", "power_of_two", seed)));
  };
  BOOST_TEST(report(1) == report(1));
  BOOST_TEST(report(1) != report(2));
}

BOOST_AUTO_TEST_CASE(AtLowLoadAllCallsSucceedWithoutViolations) {
  for (const char* scenario : {"tournaments", "markets"}) {
    const ExperimentResult result = runExperiment(smallRun(scenario, "default", 3));
    BOOST_TEST(result.all.requests > 50U);
    BOOST_TEST(result.all.answered == result.all.requests);
    BOOST_TEST(result.violations.size() > 5U);
    for (const ViolationCount& violation : result.violations) {
      BOOST_TEST(violation.count == 0U, violation.promise);
    }
  }
}

BOOST_AUTO_TEST_CASE(OracleReusesMoreThanRandomRouting) {
  const ExperimentResult oracle = runExperiment(smallRun("tournaments", "oracle", 4));
  const ExperimentResult random = runExperiment(smallRun("tournaments", "random", 4));
  BOOST_TEST(oracle.reuse.hitRate() > 0.9);
  BOOST_TEST(oracle.reuse.hitRate() > random.reuse.hitRate() + 0.1);
  BOOST_TEST(oracle.reuse.wastedRatio() < random.reuse.wastedRatio());
}

BOOST_AUTO_TEST_CASE(EngineCrashesLeaveNoCallWithoutOutcome) {
  ExperimentOptions options = smallRun("engine-crash", "default", 5);
  options.scenario.settings.crashEverySeconds = 1;
  const ExperimentResult result = runExperiment(options);
  BOOST_TEST(result.all.answered + result.all.refused + result.all.failed == result.all.requests);
  for (const ViolationCount& violation : result.violations) {
    BOOST_TEST(violation.count == 0U, violation.promise);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::bench
