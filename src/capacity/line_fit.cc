#include "capacity/line_fit.h"

#include <cmath>

namespace covewing::capacity {

LineFit fitLine(std::span<const Point> points) {
  LineFit fit;
  if (points.empty()) return fit;
  const auto count = static_cast<double>(points.size());
  double meanX = 0;
  double meanY = 0;
  for (const Point& point : points) {
    meanX += point.x / count;
    meanY += point.y / count;
  }
  double squaresX = 0;
  double products = 0;
  for (const Point& point : points) {
    squaresX += (point.x - meanX) * (point.x - meanX);
    products += (point.x - meanX) * (point.y - meanY);
  }
  if (squaresX > 0) fit.slope = products / squaresX;
  fit.intercept = meanY - fit.slope * meanX;
  double squares = 0;
  for (const Point& point : points) {
    const double distance = point.y - fit.at(point.x);
    squares += distance * distance / count;
  }
  fit.residual = std::sqrt(squares);
  return fit;
}

}  // namespace covewing::capacity
