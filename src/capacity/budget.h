/// \file
/// What each role of one node spends at the two-year size, extrapolated from slopes, and the sum
/// over all roles against the limits.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "capacity/slopes.h"

namespace covewing::capacity {

struct RoleBudget {
  std::string role;
  /// Sent and received together.
  double bytesPerSecond = 0;
  double cpuPercent = 0;
  double memoryMegabytes = 0;

  /// Within all limits of a node.
  bool within() const;
};

using Slopes = std::map<Dimension, Slope>;

/// One budget a role, in a fixed order; needs a slope of each dimension.
std::vector<RoleBudget> budgetsOf(const Slopes& slopes);
/// The role "sum".
RoleBudget sumOf(const std::vector<RoleBudget>& roles);

}  // namespace covewing::capacity
