/// \file
/// One run of the benchmark: a scenario with a policy and a seed, in virtual time with real nodes.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/priority.h"
#include "base/result_code.h"
#include "bench/cache_ground_truth.h"
#include "bench/quantiles.h"
#include "bench/scenario.h"

namespace covewing::bench {

/// Name of the reference policy, which exists only in the benchmark.
inline constexpr std::string_view kOraclePolicy = "oracle";

struct ExperimentOptions {
  Scenario scenario;
  std::string policy;
  std::uint64_t seed = 1;
};

/// Counts of calls that arrived during the measured period: of all, of one class, or of one label.
struct CallCounts {
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  /// Refused for any reason before the first chunk.
  std::uint64_t refused = 0;
  /// Those of the refused calls that were refused for lack of capacity.
  std::uint64_t shed = 0;
  /// Failed after the first chunk, or lost because their node failed.
  std::uint64_t failed = 0;
  /// Time from the call to the first chunk in milliseconds; completions only.
  Quantiles firstToken;
  /// Time from the call to the response in milliseconds; proxied calls only.
  Quantiles answer;
  /// Refusals for lack of capacity while an engine executed a request of a less urgent class.
  std::uint64_t refusedWhileLowerRan = 0;
};

/// Number of violations of one promise (see sim/checkers.h).
struct ViolationCount {
  std::string promise;
  std::uint64_t count = 0;
};

/// Mean time to first token within one second before or after the replacement of the high-demand
/// document.
struct ShiftSecond {
  /// Seconds from the shift; negative before it.
  int second = 0;
  std::uint64_t requests = 0;
  /// Milliseconds.
  double firstTokenMean = 0;
};

struct ExperimentResult {
  ExperimentOptions options;
  CallCounts all;
  std::array<CallCounts, base::kPriorityClassCount> classes;
  std::map<std::string_view, CallCounts> labels;
  ReuseTotals reuse;
  /// Measured refusals by result code.
  std::map<base::ResultCode, std::uint64_t> refusals;
  /// Control bytes that a node sends plus receives per second, as the mean over the nodes.
  double controlBytesPerNodeSecond = 0;
  /// CPU time of all code of the nodes, including relaying. Real time of the machine, so it is not
  /// reproducible.
  double cpuMicrosecondsPerRequest = 0;
  /// Step time that the executed work needs, computed from the engines' step costs, as a share of
  /// the step time of all engines.
  double engineLoad = 0;
  std::vector<ShiftSecond> shift;
  std::vector<ViolationCount> violations;
};

/// Runs the experiment to its end. Equal options give equal results, except for the CPU time.
ExperimentResult runExperiment(const ExperimentOptions& options);

}  // namespace covewing::bench
