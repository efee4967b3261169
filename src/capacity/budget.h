/// \file
/// Resource use of each role of one node at the two-year size, extrapolated from measured slopes,
/// and the sum over all roles, compared with the limits of a node.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "capacity/slopes.h"

namespace covewing::capacity {

struct RoleBudget {
  std::string role;
  /// Control bytes sent plus received.
  double bytesPerSecond = 0;
  /// Percent of one core.
  double cpuPercent = 0;
  double memoryMegabytes = 0;

  /// True if no figure exceeds the limit of a node.
  bool within() const;
};

using Slopes = std::map<Dimension, Slope>;

/// Returns one budget per role, in a fixed order. `slopes` must have a slope of every dimension.
std::vector<RoleBudget> budgetsOf(const Slopes& slopes);
/// Returns the sum over `roles` as a role named "sum".
RoleBudget sumOf(const std::vector<RoleBudget>& roles);

}  // namespace covewing::capacity
