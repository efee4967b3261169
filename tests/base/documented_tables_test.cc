// The pages for callers and operators list exactly the numbered codes and events of the code.
#include <fmt/core.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "base/result_code.h"

namespace covewing::base {

namespace {
constexpr std::size_t kHeaderLines = 2;

/// The table lines of a page, without the header.
std::vector<std::string> documentedRows(const std::string& page) {
  std::ifstream input("docs/" + page);
  std::vector<std::string> rows;
  for (std::string line; std::getline(input, line);) {
    if (line.starts_with("| ")) rows.push_back(line);
  }
  BOOST_REQUIRE_GT(rows.size(), kHeaderLines);
  rows.erase(rows.begin(), rows.begin() + kHeaderLines);
  return rows;
}

std::string row(const ResultCodeEntry& entry) {
  return fmt::format("| {} | {} | {} | {} |", static_cast<unsigned>(entry.code), entry.name,
                     entry.httpStatus, entry.meaning);
}

std::string row(const EventEntry& entry) {
  constexpr std::string_view kSeverities[] = {"Info", "Warning", "Error"};
  return fmt::format("| {} | {} | {} | {} |", static_cast<unsigned>(entry.event), entry.name,
                     kSeverities[static_cast<std::size_t>(entry.severity)], entry.meaning);
}

template <class Table>
std::vector<std::string> compiledRows(const Table& table) {
  std::vector<std::string> rows;
  for (const auto& entry : table) rows.push_back(row(entry));
  return rows;
}
}  // namespace

BOOST_AUTO_TEST_SUITE(DocumentedTablesTest)

BOOST_AUTO_TEST_CASE(ResultCodesAreThoseOfThePage) {
  BOOST_TEST(documentedRows("CODES.md") == compiledRows(resultCodeTable()),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(EventsAreThoseOfThePage) {
  BOOST_TEST(documentedRows("EVENTS.md") == compiledRows(eventTable()),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::base
