/// \file
/// One run of the bench: a scenario, a policy and a seed, in virtual time over real nodes.
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

/// Name of the reference policy, which only the bench has.
inline constexpr std::string_view kOraclePolicy = "oracle";

struct ExperimentOptions {
  Scenario scenario;
  std::string policy;
  std::uint64_t seed = 1;
};

/// Calls of one class, or of one label, that arrived while measuring.
struct CallCounts {
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  /// Refused for any reason before the first chunk.
  std::uint64_t refused = 0;
  /// Of those, refused for lack of capacity.
  std::uint64_t shed = 0;
  /// Broken after the first chunk, or without an answer at the end of the run.
  std::uint64_t failed = 0;
  /// Milliseconds from the call to the first chunk, of completions.
  Quantiles firstToken;
  /// Milliseconds from the call to the answer, of plain calls.
  Quantiles answer;
  /// Refusals for lack of capacity while an engine worked for a less urgent class.
  std::uint64_t refusedWhileLowerRan = 0;
};

/// Count of broken promises, by promise.
struct ViolationCount {
  std::string promise;
  std::uint64_t count = 0;
};

/// Mean time to first token in one second around the shift of the hot document.
struct ShiftSecond {
  /// Seconds from the shift; negative before it.
  int second = 0;
  std::uint64_t requests = 0;
  double firstTokenMean = 0;
};

struct ExperimentResult {
  ExperimentOptions options;
  CallCounts all;
  std::array<CallCounts, base::kPriorityClassCount> classes;
  std::map<std::string_view, CallCounts> labels;
  ReuseTotals reuse;
  /// By result code.
  std::map<base::ResultCode, std::uint64_t> refusals;
  double controlBytesPerNodeSecond = 0;
  /// CPU of the node's own code in all, relaying included; measured, not reproducible.
  double cpuMicrosecondsPerRequest = 0;
  /// Share of the engines' step time that the executed work needs.
  double engineLoad = 0;
  std::vector<ShiftSecond> shift;
  std::vector<ViolationCount> violations;
};

/// Runs to the end. Equal options give equal results but for the CPU time.
ExperimentResult runExperiment(const ExperimentOptions& options);

}  // namespace covewing::bench
