/// \file
/// Measured figures as JSON lines.
#pragma once

#include <string>
#include <vector>

#include "capacity/budget.h"
#include "capacity/hollow_run.h"
#include "capacity/slopes.h"

namespace covewing::capacity {

/// One line a figure of the slope that is not zero throughout: "slope", "metric", "per_unit",
/// "intercept", "residual", "x", "values". Without line breaks at the ends.
std::vector<std::string> slopeLines(const Slope& slope);
/// "budget" with its limits.
std::string budgetLine(const RoleBudget& role);
std::string hollowLine(const HollowResult& result);

}  // namespace covewing::capacity
