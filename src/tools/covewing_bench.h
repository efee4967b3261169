/// \file
/// Verbs of covewing-bench. Each takes the arguments from its own name on and returns the exit
/// status.
#pragma once

namespace covewing::tools {

inline constexpr int kExitOk = 0;
inline constexpr int kExitFailure = 1;
inline constexpr int kExitUsage = 2;

/// Runs one scenario in virtual time and prints its report line.
int runScenario(int argc, char** argv);
/// Names scenarios, policies and keys.
int listScenarios();
/// Turns report lines on standard input into a table or into columns for plots.
int writeTable(int argc, char** argv);
/// Prints the sizes of a scenario's workload.
int describeWorkload(int argc, char** argv);
/// Loads running nodes over HTTP.
int runLive(int argc, char** argv);

}  // namespace covewing::tools
