/// \file
/// Formats measured figures as JSON lines.
#pragma once

#include <string>
#include <vector>

#include "capacity/budget.h"
#include "capacity/hollow_run.h"
#include "capacity/slopes.h"

namespace covewing::capacity {

/// Returns one line per figure of the slope, without line breaks; figures that are zero in all
/// samples are omitted. Fields: "slope", "metric", "per_unit", "intercept", "residual", "x",
/// "values".
std::vector<std::string> slopeLines(const Slope& slope);
/// Returns the line of a role's budget with the limits of a node: fields "budget", "role", the
/// figures, their limits and "within".
std::string budgetLine(const RoleBudget& role);
/// Returns the line of one run of a hollow fleet.
std::string hollowLine(const HollowResult& result);

}  // namespace covewing::capacity
