#include "capacity/line_fit.h"

#include <array>
#include <boost/test/unit_test.hpp>

namespace covewing::capacity {

BOOST_AUTO_TEST_SUITE(LineFitTest)

BOOST_AUTO_TEST_CASE(FindsAnExactLine) {
  const std::array<Point, 3> points = {{{1, 5}, {2, 7}, {4, 11}}};
  const LineFit fit = fitLine(points);
  BOOST_TEST(fit.slope == 2, boost::test_tools::tolerance(1e-12));
  BOOST_TEST(fit.intercept == 3, boost::test_tools::tolerance(1e-12));
  BOOST_TEST(fit.residual < 1e-9);
  BOOST_TEST(fit.at(10) == 23, boost::test_tools::tolerance(1e-12));
}

BOOST_AUTO_TEST_CASE(ResidualIsTheDistanceFromTheLine) {
  // The best line is y = 1; two points lie 1 below it and two points 1 above it.
  const std::array<Point, 4> points = {{{0, 0}, {1, 2}, {1, 0}, {0, 2}}};
  const LineFit fit = fitLine(points);
  BOOST_TEST(fit.slope == 0, boost::test_tools::tolerance(1e-12));
  BOOST_TEST(fit.residual == 1, boost::test_tools::tolerance(1e-12));
}

BOOST_AUTO_TEST_CASE(IsFlatIfAllXAreEqual) {
  const std::array<Point, 2> points = {{{3, 4}, {3, 6}}};
  const LineFit fit = fitLine(points);
  BOOST_TEST(fit.slope == 0);
  BOOST_TEST(fit.intercept == 5);
  BOOST_TEST(fitLine({}).intercept == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace covewing::capacity
