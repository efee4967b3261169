#include "bench/workload.h"

#include <boost/test/unit_test.hpp>
#include <set>

#include "bench/arrival_process.h"
#include "bench/scenario.h"
#include "bench/working_set.h"
#include "config/template_document.h"

namespace covewing::bench {

using std::chrono::seconds;

namespace {

WorkloadOptions optionsOf(std::uint64_t seed) {
  WorkloadOptions options;
  options.seed = seed;
  options.duration = seconds(20);
  return options;
}

std::string promptOf(const Arrival& arrival) {
  std::string prompt;
  for (const PromptSegment& segment : arrival.prompt) prompt += *segment;
  return prompt;
}

bool sameCalls(const Workload& left, const Workload& right) {
  return std::equal(left.arrivals.begin(), left.arrivals.end(), right.arrivals.begin(),
                    right.arrivals.end(), [](const Arrival& one, const Arrival& other) {
                      return one.at == other.at && one.label == other.label &&
                             one.tenant == other.tenant && promptOf(one) == promptOf(other);
                    });
}

}  // namespace

BOOST_AUTO_TEST_SUITE(WorkloadTest)

BOOST_AUTO_TEST_CASE(EqualSeedsGiveEqualWorkloadsAndOthersDiffer) {
  BOOST_TEST(sameCalls(drawTournaments(optionsOf(1)), drawTournaments(optionsOf(1))));
  BOOST_TEST(!sameCalls(drawTournaments(optionsOf(1)), drawTournaments(optionsOf(2))));
  BOOST_TEST(sameCalls(drawMarkets(optionsOf(1)), drawMarkets(optionsOf(1))));
  BOOST_TEST(!sameCalls(drawMarkets(optionsOf(1)), drawMarkets(optionsOf(2))));
}

BOOST_AUTO_TEST_CASE(ArrivalsAreInOrderAndWithinTheDuration) {
  for (const Workload& workload : {drawTournaments(optionsOf(3)), drawMarkets(optionsOf(3))}) {
    BOOST_TEST(!workload.arrivals.empty());
    base::Duration previous{};
    for (const Arrival& arrival : workload.arrivals) {
      BOOST_TEST_REQUIRE((arrival.at >= previous && arrival.at < seconds(20)));
      previous = arrival.at;
    }
  }
}

BOOST_AUTO_TEST_CASE(RulingPromptsShareRulebooksAndHouseRules) {
  const Workload workload = drawTournaments(optionsOf(4));
  std::set<const std::string*> rulebooks;
  std::set<const std::string*> houseRules;
  for (const Arrival& arrival : workload.arrivals) {
    if (arrival.label != "ruling") continue;
    BOOST_TEST_REQUIRE(arrival.prompt.size() >= 5U);
    rulebooks.insert(arrival.prompt[0].get());
    houseRules.insert(arrival.prompt[2].get());
    BOOST_TEST(arrival.promptTokens() > 10'000U);
  }
  BOOST_TEST(rulebooks.size() <= 5U);
  BOOST_TEST(houseRules.size() == 8U);
}

BOOST_AUTO_TEST_CASE(OnlyStandingsPostsAreNotRepeatableAndEachHasItsOwnKey) {
  const Workload workload = drawTournaments(optionsOf(5));
  std::set<std::string> keys;
  for (const Arrival& arrival : workload.arrivals) {
    BOOST_TEST(arrival.notRepeatable == (arrival.method == "POST"));
    if (arrival.notRepeatable) {
      BOOST_TEST(keys.insert(arrival.idempotencyKey).second);
    }
  }
  BOOST_TEST(!keys.empty());
}

BOOST_AUTO_TEST_CASE(ShiftReplacesExactlyOneRulebook) {
  WorkloadOptions options = optionsOf(6);
  options.shiftAt = seconds(10);
  std::set<const std::string*> before;
  std::set<const std::string*> after;
  for (const Arrival& arrival : drawTournaments(options).arrivals) {
    if (arrival.label != "ruling") continue;
    (arrival.at < options.shiftAt ? before : after).insert(arrival.prompt[0].get());
  }
  std::size_t fresh = 0;
  for (const std::string* rulebook : after) fresh += before.contains(rulebook) ? 0 : 1;
  BOOST_TEST(fresh == 1U);
}

BOOST_AUTO_TEST_CASE(LoadScalesTheNumberOfCalls) {
  WorkloadOptions twice = optionsOf(7);
  twice.load = 2.0;
  const auto calls = static_cast<double>(drawMarkets(optionsOf(7)).arrivals.size());
  const double ratio = static_cast<double>(drawMarkets(twice).arrivals.size()) / calls;
  BOOST_TEST((ratio > 1.6 && ratio < 2.4));
}

BOOST_AUTO_TEST_CASE(TemplatesOfTheWorkloadsAreValid) {
  for (const Workload& workload : {drawTournaments(optionsOf(1)), drawMarkets(optionsOf(1))}) {
    for (const WorkloadTenant& tenant : workload.tenants) {
      std::vector<config::FieldMistake> mistakes;
      const auto document = config::parseTemplateDocument(tenant.document, mistakes);
      BOOST_TEST_REQUIRE(document.has_value());
      BOOST_TEST(config::expandTemplate(tenant.name, *document, nullptr, mistakes).has_value());
      BOOST_TEST(mistakes.empty());
    }
  }
}

BOOST_AUTO_TEST_CASE(OnlyAFractionOfTheWorkingSetFitsIntoTheEngines) {
  const auto engineTokens = [](std::string_view scenario) {
    const ScenarioSettings& settings = findScenario(scenario)->settings;
    return settings.engines * settings.engineBlocks * prefix::kTokensPerBlock;
  };
  WorkloadOptions options;
  options.duration = seconds(90);
  const auto distinct = [&](const Workload& workload) {
    return measureWorkingSet(workload, seconds(30), seconds(90)).distinctTokens;
  };
  BOOST_TEST(static_cast<double>(distinct(drawTournaments(options))) >
             2 * engineTokens("tournaments"));
  BOOST_TEST(static_cast<double>(distinct(drawMarkets(options))) > 2 * engineTokens("markets"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ArrivalProcessTest)

BOOST_AUTO_TEST_CASE(BurstsRaiseTheRateByTheirFactor) {
  base::SeededRandom random(1);
  const PeakEnvelope envelope{.duration = seconds(400), .startShare = 1.0};
  const std::vector<Burst> bursts = {{seconds(100), seconds(300)}};
  std::size_t inside = 0;
  std::size_t outside = 0;
  for (const auto at : drawArrivalTimes(random, envelope, bursts, {10, 3})) {
    at >= seconds(100) && at < seconds(300) ? ++inside : ++outside;
  }
  // 200 s at 30 calls per second within the burst, 200 s at 10 calls per second outside.
  BOOST_TEST((inside > 5600U && inside < 6400U));
  BOOST_TEST((outside > 1800U && outside < 2200U));
}

BOOST_AUTO_TEST_CASE(EnvelopeRisesToOne) {
  const PeakEnvelope envelope{.duration = seconds(100), .startShare = 0.6};
  BOOST_TEST(envelope.at(seconds(0)) == 0.6, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(envelope.at(seconds(25)) == 1.0, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(envelope.at(seconds(99)) == 1.0, boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::bench
