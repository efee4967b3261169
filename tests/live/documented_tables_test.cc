// Compares the documentation for operators with the code: it must list exactly the settings and
// metrics that the code defines.
#include <fmt/core.h>

#include <boost/test/unit_test.hpp>
#include <fstream>

#include "live/node_metrics.h"
#include "live/settings_schema.h"

namespace covewing::live {

namespace {

/// Returns the rows of the last table of a page, without its header.
std::vector<std::string> lastTable(const std::string& page) {
  std::ifstream input("docs/" + page);
  std::vector<std::string> rows;
  for (std::string line; std::getline(input, line);) {
    if (line.starts_with("| ---")) rows.clear();
    if (line.starts_with("| `")) rows.push_back(line);
  }
  BOOST_REQUIRE(!rows.empty());
  return rows;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(DocumentedTablesTest)

BOOST_AUTO_TEST_CASE(SettingsAreThoseOfThePage) {
  std::vector<std::string> compiled;
  for (const auto& entry : settingsSchema()) {
    compiled.push_back(fmt::format("| `{}` | {} | {} | {} | {} |", entry.key, toString(entry.type),
                                   entry.defaultText, entry.allowed, entry.meaning));
  }
  BOOST_TEST(lastTable("SETTINGS.md") == compiled, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(MetricsAreThoseOfThePage) {
  std::vector<std::string> compiled;
  for (const auto& entry : metricTable()) {
    compiled.push_back(fmt::format("| `{}` | {} | {} | {} |", entry.name, entry.type, entry.labels,
                                   entry.meaning));
  }
  BOOST_TEST(lastTable("METRICS.md") == compiled, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::live
