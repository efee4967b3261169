// Checks that docs/RELAY.md lists exactly the settings and metrics of the code.
#include <fmt/core.h>

#include <boost/test/unit_test.hpp>
#include <fstream>

#include "live/relay_metrics.h"
#include "live/relay_settings.h"

namespace covewing::live {

namespace {

/// Rows of the table that follows the marker in docs/RELAY.md.
std::vector<std::string> documentedTable(const std::string& marker) {
  std::ifstream input("docs/RELAY.md");
  std::vector<std::string> rows;
  bool inside = false;
  for (std::string line; std::getline(input, line);) {
    if (line == "<!-- " + marker + " -->") inside = true;
    if (line == "<!-- end -->") inside = false;
    if (inside && line.starts_with("| `")) rows.push_back(line);
  }
  return rows;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(RelayReferenceTest)

BOOST_AUTO_TEST_CASE(SettingsMatchTheDocumentation) {
  std::vector<std::string> compiled;
  for (const auto& entry : relaySettingTable()) {
    compiled.push_back(fmt::format("| `{}` | {} | {} | {} |", entry.key,
                                   entry.required ? "yes" : "no", entry.rule, entry.meaning));
  }
  BOOST_TEST(documentedTable("settings") == compiled, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(MetricsMatchTheDocumentation) {
  std::vector<std::string> compiled;
  for (const auto& entry : relayMetricTable()) {
    compiled.push_back(fmt::format("| `{}` | {} | {} | {} |", entry.name, entry.type, entry.labels,
                                   entry.meaning));
  }
  BOOST_TEST(documentedTable("metrics") == compiled, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(EveryMetricOfTheTableIsServed) {
  RelayMetrics metrics;
  config::Route route;
  request::RelayOutcome outcome;
  outcome.timeToFirstByte = std::chrono::milliseconds(1);
  outcome.service = "app";
  outcome.retries.front() = 1;
  metrics.onRelayFinished(route, outcome);
  outcome.code = base::ResultCode::kRateLimited;
  metrics.onRelayFinished(route, outcome);
  outcome.code = base::ResultCode::kPromptPartQuarantined;
  outcome.quarantinedPart = "part-1";
  metrics.onRelayFinished(route, outcome);
  metrics.onEvent(base::Event::kNodeReady);
  const auto text = metrics.render({});
  for (const auto& entry : relayMetricTable()) {
    const auto type = fmt::format("# TYPE {} {}", entry.name, entry.type);
    BOOST_TEST((text.find(type) != std::string::npos), type);
  }
}

// Guards against a time series for each part that was ever refused.
BOOST_AUTO_TEST_CASE(RefusalsByPartHaveABoundedNumberOfLabels) {
  RelayMetrics metrics;
  config::Route route;
  request::RelayOutcome outcome;
  outcome.code = base::ResultCode::kPromptPartQuarantined;
  for (int part = 1; part <= 70; ++part) {
    outcome.quarantinedPart = "part-" + std::to_string(part);
    metrics.onRelayFinished(route, outcome);
  }
  const auto text = metrics.render({});
  const std::string name = "covewing_quarantined_part_refusals_total";
  BOOST_TEST(text.find(name + "{part=\"part-64\"} 1") != std::string::npos);
  BOOST_TEST(text.find(name + "{part=\"part-65\"}") == std::string::npos);
  BOOST_TEST(text.find(name + "{part=\"other\"} 6") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::live
