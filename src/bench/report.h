/// \file
/// Results as JSON lines, and the table over many of them.
#pragma once

#include <iosfwd>
#include <optional>
#include <string>

#include "bench/experiment.h"

namespace covewing::bench {

/// One line of JSON without its line break. `oracleHitRate`: of the oracle with the same scenario,
/// seed and settings, empty when it was not run.
std::string reportLine(ExperimentResult& result, std::optional<double> oracleHitRate);

/// Reads lines of `reportLine` and writes a Markdown table: for each scenario and policy the mean
/// over the seeds, and the distance to the oracle. Lines that are no reports are counted and told
/// at the end.
void writeComparison(std::istream& lines, std::ostream& table);

/// Writes the same figures as columns for gnuplot, one block a scenario.
void writePlotData(std::istream& lines, std::ostream& data);

}  // namespace covewing::bench
