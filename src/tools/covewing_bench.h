/// \file
/// Verbs of covewing-bench. Each receives the arguments starting with the verb's name and returns
/// the exit status of the program.
#pragma once

namespace covewing::tools {

inline constexpr int kExitOk = 0;
inline constexpr int kExitFailure = 1;
inline constexpr int kExitUsage = 2;

/// Runs one scenario in virtual time and prints its report line.
int runScenario(int argc, char** argv);
/// Prints the names of the scenarios, the policies and the setting keys.
int listScenarios();
/// Reads report lines from standard input and prints a comparison table, or plot data in columns.
int writeTable(int argc, char** argv);
/// Prints the request rates and token counts of a scenario's workload.
int describeWorkload(int argc, char** argv);
/// Runs a load test over HTTP against running nodes.
int runLive(int argc, char** argv);

}  // namespace covewing::tools
