/// \file
/// One run of one scenario under one seed: history, verdict and measured times.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sim/checkers.h"
#include "sim/fault_injector.h"
#include "sim/history.h"
#include "sim/mutation.h"
#include "sim/scenario.h"

namespace covewing::sim {

/// Longest of each kind in the run; empty where it did not occur.
struct MeasuredTimes {
  std::optional<base::Duration> leaveToLastDispatch;
  /// Accepted changes that met no fault until they were in force on every node, and all others.
  std::optional<base::Duration> acceptToEverywhere;
  std::optional<base::Duration> acceptToEverywhereDisturbed;
  std::optional<base::Duration> restartToReady;
  std::optional<base::Duration> restartToFirstServed;
  /// From a node's death to the first other node that holds it dead.
  std::optional<base::Duration> nodeFailureToDetection;
  /// From the loss of a holder to the next holder's lease, and to its first accepted order.
  std::optional<base::Duration> holderLossToNextLease;
  std::optional<base::Duration> holderLossToNextOrder;
};

/// Callers' calls by their end.
struct CallCounts {
  std::uint64_t calls = 0;
  std::uint64_t complete = 0;
  std::uint64_t refusedNotRun = 0;
  std::uint64_t refusedUnknown = 0;
  std::uint64_t nodeLost = 0;
  std::uint64_t disconnected = 0;
  std::uint64_t open = 0;
  /// Refusals by result code.
  std::map<base::ResultCode, std::uint64_t> refusals;
};

struct SimulationResult {
  std::string scenario;
  std::uint64_t seed = 0;
  Mutation mutation = Mutation::kNone;
  std::uint64_t digest = 0;
  std::uint64_t events = 0;
  std::vector<Violation> violations;
  FaultCounts faults{};
  CallCounts calls;
  MeasuredTimes times;
  /// Template changes by operators: accepted, and all.
  std::uint64_t changesAccepted = 0;
  std::uint64_t changes = 0;
  std::uint64_t ordersObeyed = 0;
  History history;
};

SimulationResult runScenario(const Scenario& scenario, std::uint64_t seed,
                             Mutation mutation = Mutation::kNone);

/// `region` is the one whose lease orders of the scenarios need.
MeasuredTimes measureTimes(const History& history, std::string_view region);
CallCounts countCalls(const History& history);

}  // namespace covewing::sim
