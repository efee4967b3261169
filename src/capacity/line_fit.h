/// \file
/// Least-squares line through measured points.
#pragma once

#include <span>

namespace covewing::capacity {

struct Point {
  double x = 0;
  double y = 0;
};

/// y = intercept + slope * x.
struct LineFit {
  double slope = 0;
  double intercept = 0;
  /// Root of the mean squared distance of the points from the line, in units of y.
  double residual = 0;

  double at(double x) const { return intercept + slope * x; }
};

/// The best line; flat through the mean where all x are equal, zero without points.
LineFit fitLine(std::span<const Point> points);

}  // namespace covewing::capacity
