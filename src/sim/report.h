/// \file
/// Texts of a simulation's result: one JSON line a run, and the history around a violation.
#pragma once

#include <string>
#include <vector>

#include "sim/simulation_run.h"

namespace covewing::sim {

/// One line of JSON, without the line break.
std::string toJsonLine(const SimulationResult& result);

/// All faults, leaves and events of nodes in order of time, one a line.
std::string timeline(const History& history);

/// The records that concern the violation, in order of time, one a line: the request or template
/// itself and, close to it, faults, events of nodes and their log.
std::string historyAround(const History& history, const Violation& violation);

}  // namespace covewing::sim
