/// \file
/// Least-squares line fit to measured points.
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
  /// Root mean square of the distances of the points from the line, in units of y.
  double residual = 0;

  double at(double x) const { return intercept + slope * x; }
};

/// Fits a line to `points`. Returns a flat line through the mean of y if all x are equal, and a
/// zero line if there are no points.
LineFit fitLine(std::span<const Point> points);

}  // namespace covewing::capacity
