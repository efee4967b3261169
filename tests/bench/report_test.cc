#include "bench/report.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <sstream>

#include "bench/cache_ground_truth.h"

namespace covewing::bench {

namespace {

ExperimentResult resultOf(std::string policy, std::uint64_t seed, double hitShare) {
  ExperimentResult result;
  result.options = {*findScenario("tournaments"), std::move(policy), seed};
  result.all.requests = 10;
  result.reuse.reusable = 1000;
  result.reuse.local = static_cast<std::uint64_t>(1000 * hitShare);
  for (int value = 1; value <= 100; ++value) {
    result.all.firstToken.add(value);
    result.labels["ruling"].firstToken.add(value);
  }
  result.labels["ruling"].requests = 100;
  return result;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(ReportTest)

BOOST_AUTO_TEST_CASE(ReportLineHasTheRequiredFields) {
  ExperimentResult result = resultOf("random", 7, 0.5);
  const auto json = nlohmann::json::parse(reportLine(result, 0.8));
  for (const char* field :
       {"scenario", "policy", "seed", "requests", "prefix_hit_rate", "prefix_hit_rate_oracle",
        "ttft_p50_ms", "ttft_p95_ms", "ttft_p99_ms", "wasted_recompute_ratio", "refused", "shed",
        "control_bytes_per_node_s", "control_cpu_us_per_request", "violations"}) {
    BOOST_TEST(json.contains(field), field);
  }
  BOOST_TEST(json["prefix_hit_rate"] == 0.5);
  BOOST_TEST(json["prefix_hit_rate_oracle"] == 0.8);
  BOOST_TEST(json["ttft_p99_ms"] == 99.0);
  BOOST_TEST(json["violations"].is_object());
}

BOOST_AUTO_TEST_CASE(TableHasMeansOverSeedsAndRatiosToTheOracle) {
  std::stringstream lines;
  for (const std::uint64_t seed : {1U, 2U}) {
    ExperimentResult result = resultOf("random", seed, seed == 1 ? 0.2 : 0.4);
    ExperimentResult oracle = resultOf("oracle", seed, 0.6);
    lines << reportLine(result, std::nullopt) << '\n' << reportLine(oracle, 0.6) << '\n';
  }
  lines << "no report\n";
  std::stringstream table;
  writeComparison(lines, table);
  BOOST_TEST(table.str().find("| random | 2 | 10 | 0.300 | 0.50 |") != std::string::npos);
  BOOST_TEST(table.str().find("1 lines were no reports") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(QuantilesTest)

BOOST_AUTO_TEST_CASE(NearestRank) {
  Quantiles sample;
  BOOST_TEST(sample.at(0.5) == 0);
  for (const double value : {5.0, 1.0, 4.0, 2.0, 3.0}) sample.add(value);
  BOOST_TEST(sample.at(0.0) == 1.0);
  BOOST_TEST(sample.at(0.5) == 3.0);
  BOOST_TEST(sample.at(0.8) == 4.0);
  BOOST_TEST(sample.at(1.0) == 5.0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(CacheGroundTruthTest)

BOOST_AUTO_TEST_CASE(PrefillOfBlocksThatAnotherEngineHadCachedIsWasted) {
  const std::vector<base::EngineId> engines = {base::engineIdOf("a"), base::engineIdOf("b")};
  CacheGroundTruth truth(engines);
  truth.setMeasuring(true);
  const std::vector<base::BlockHash> chain = {{1}, {2}, {3}, {4}};
  truth.onBlockStored(engines[0], chain[0]);
  truth.onBlockStored(engines[1], chain[0]);
  truth.onBlockStored(engines[1], chain[1]);
  truth.onBlockStored(engines[0], chain[2]);
  BOOST_TEST(truth.bestLeadingBlocks(chain) == 2U);
  emulator::ExecutionRecord record;
  record.promptTokens = 70;
  truth.onStarted(record, {.chain = chain, .localBlocks = 1, .provenances = {}});
  BOOST_TEST(truth.totals().reusable == 32U);
  BOOST_TEST(truth.totals().prefilled == 54U);
  BOOST_TEST(truth.totals().wasted == 16U);
  BOOST_TEST(truth.totals().hitRate() == 0.5);
  truth.onBlockEvicted(engines[1], chain[1]);
  BOOST_TEST(truth.bestLeadingBlocks(chain) == 1U);
  truth.onCacheLost(engines[0]);
  truth.onCacheLost(engines[1]);
  BOOST_TEST(truth.bestLeadingBlocks(chain) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ScenarioTest)

BOOST_AUTO_TEST_CASE(SettingsAreSetByNameAndInvalidOnesAreRejected) {
  ScenarioSettings settings;
  base::Reason reason;
  BOOST_TEST(applySetting(settings, "load=1.5", reason));
  BOOST_TEST(settings.load == 1.5);
  for (const char* wrong : {"load", "load=", "load=x", "load=-1", "load=nan", "speed=1", ""}) {
    BOOST_TEST(!applySetting(settings, wrong, reason), wrong);
  }
  BOOST_TEST(settings.load == 1.5);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::bench
