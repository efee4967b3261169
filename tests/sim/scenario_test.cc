#include "sim/scenario.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "sim/report.h"
#include "sim/simulation_run.h"

namespace covewing::sim {
namespace {

std::vector<std::string> scenarioNames() {
  std::vector<std::string> names;
  for (const auto& scenario : scenarios()) names.emplace_back(scenario.name);
  return names;
}

std::vector<std::string> mutationNames() {
  std::vector<std::string> names;
  for (const auto& entry : mutations()) names.emplace_back(entry.name);
  return names;
}

/// Runs the scenario and fails the test, with the history around it, on any violation.
SimulationResult runClean(std::string_view name, std::uint64_t seed) {
  auto result = runScenario(*findScenario(name), seed);
  for (const auto& violation : result.violations) {
    BOOST_ERROR(name << " seed " << seed << ": " << toString(violation.promise) << ": "
                     << violation.detail << "\n"
                     << historyAround(result.history, violation));
  }
  return result;
}

BOOST_AUTO_TEST_SUITE(ScenarioTest)

BOOST_DATA_TEST_CASE(everyScenarioKeepsThePromises, boost::unit_test::data::make(scenarioNames()),
                     name) {
  const auto result = runClean(name, 1);
  BOOST_TEST(result.calls.complete > 100U);
  BOOST_TEST(result.calls.open == 0U);
  std::uint64_t faults = 0;
  for (const auto count : result.faults) faults += count;
  BOOST_TEST((faults > 0) == (name != "calm"));
}

BOOST_DATA_TEST_CASE(chaosKeepsThePromises, boost::unit_test::data::xrange(2, 22), seed) {
  runClean("chaos", static_cast<std::uint64_t>(seed));
}

BOOST_AUTO_TEST_CASE(equalSeedsGiveEqualRuns) {
  const auto& chaos = *findScenario("chaos");
  const auto first = runScenario(chaos, 7);
  const auto second = runScenario(chaos, 7);
  BOOST_TEST(first.digest == second.digest);
  BOOST_TEST(toJsonLine(first) == toJsonLine(second));
  BOOST_TEST(first.digest != runScenario(chaos, 8).digest);
}

BOOST_DATA_TEST_CASE(everyMutationIsCaught, boost::unit_test::data::make(mutationNames()), name) {
  constexpr std::uint64_t kMostSeeds = 6;
  const auto mutation = findMutation(name);
  BOOST_REQUIRE(mutation.has_value());
  std::string_view scenario;
  for (const auto& entry : mutations()) {
    if (entry.mutation == *mutation) scenario = entry.scenario;
  }
  bool caught = false;
  for (std::uint64_t seed = 1; seed <= kMostSeeds && !caught; ++seed) {
    caught = !runScenario(*findScenario(scenario), seed, *mutation).violations.empty();
  }
  BOOST_TEST(caught);
}

BOOST_AUTO_TEST_SUITE_END()
}  // namespace
}  // namespace covewing::sim
