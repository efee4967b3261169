/// \file
/// Formats results as JSON lines, and summarises many of them in a table.
#pragma once

#include <iosfwd>
#include <optional>
#include <string>

#include "bench/experiment.h"

namespace covewing::bench {

/// Returns one line of JSON without a line break. `oracleHitRate` is the hit rate of the oracle
/// with the same scenario, seed and settings; empty if the oracle was not run.
std::string reportLine(ExperimentResult& result, std::optional<double> oracleHitRate);

/// Reads lines written by `reportLine` and writes a Markdown table with the means over the seeds
/// for each scenario and policy, and their ratios to those of the oracle. The number of lines that
/// are not reports is written at the end.
void writeComparison(std::istream& lines, std::ostream& table);

/// Writes the hit rate, the wasted ratio and the p99 of long completions as columns for gnuplot,
/// one block per scenario.
void writePlotData(std::istream& lines, std::ostream& data);

}  // namespace covewing::bench
