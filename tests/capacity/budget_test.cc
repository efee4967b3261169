#include "capacity/budget.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "capacity/report.h"
#include "capacity/two_year_size.h"

namespace covewing::capacity {

namespace {

/// Slopes of one byte of each kind of traffic, one percent of a core and one byte of memory per
/// unit of x.
Slopes unitSlopes() {
  Slopes slopes;
  for (std::size_t number = 0; number < kDimensionCount; ++number) {
    const auto dimension = static_cast<Dimension>(number);
    Slope& slope = slopes[dimension];
    slope.dimension = dimension;
    slope.nodes = 10;
    for (const double x : {1.0, 2.0, 3.0}) {
      Sample sample;
      sample.x = x;
      sample.usage.bytes.fill(x);
      sample.usage.cpuNanoseconds = x * 1e7;
      sample.memoryBytes = x;
      slope.samples.push_back(sample);
    }
  }
  return slopes;
}

const RoleBudget& find(const std::vector<RoleBudget>& roles, std::string_view name) {
  for (const auto& role : roles) {
    if (role.role == name) return role;
  }
  throw std::logic_error("no such role");
}

}  // namespace

BOOST_AUTO_TEST_SUITE(BudgetTest)

BOOST_AUTO_TEST_CASE(ExtrapolatesToTheTwoYearSize) {
  const auto roles = budgetsOf(unitSlopes());
  const auto tolerance = boost::test_tools::tolerance(1e-9);
  BOOST_TEST(find(roles, "membership").bytesPerSecond == kNodes, tolerance);
  BOOST_TEST(
      find(roles, "cache index home").bytesPerSecond == (kEngines + kEventsPerSecond) / kNodes,
      tolerance);
  BOOST_TEST(find(roles, "caller gateway").cpuPercent == kRequestsPerSecond / kNodes, tolerance);
  BOOST_TEST(find(roles, "cache index home").memoryMegabytes == kBlocks / kNodes / 1e6, tolerance);
}

BOOST_AUTO_TEST_CASE(SumsAllRolesAndComparesEachLimit) {
  const auto roles = budgetsOf(unitSlopes());
  double bytes = 0;
  for (const auto& role : roles) bytes += role.bytesPerSecond;
  BOOST_TEST(sumOf(roles).bytesPerSecond == bytes, boost::test_tools::tolerance(1e-9));
  RoleBudget role{"role", kLimitBytesPerSecond, kLimitCpuPercent, kLimitMemoryMegabytes};
  BOOST_TEST(role.within());
  role.bytesPerSecond += 1;
  BOOST_TEST(!role.within());
  role = {"role", 0, kLimitCpuPercent * 1.01, 0};
  BOOST_TEST(!role.within());
  role = {"role", 0, 0, kLimitMemoryMegabytes * 1.01};
  BOOST_TEST(!role.within());
}

BOOST_AUTO_TEST_CASE(WritesABudgetLine) {
  const auto line = nlohmann::json::parse(budgetLine({"sum", 15'000, 0.5, 10}));
  BOOST_TEST(line.at("budget") == "sum");
  BOOST_TEST(line.at("bytes_per_s") == 15'000);
  BOOST_TEST(line.at("limit_bytes_per_s") == kLimitBytesPerSecond);
  BOOST_TEST(line.at("within") == false);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::capacity
