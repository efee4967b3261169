/// \file
/// Decides the next states of an order's steps from the reports of its engines. A pure function of
/// its inputs: the executor writes the result to the table before it acts on it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "coordination/engine_catalogue.h"
#include "coordination/order.h"

namespace covewing::coordination {

/// State that an engine itself reported recently.
struct EngineObservation {
  base::Incarnation incarnation = 0;
  clients::EngineRole role = clients::EngineRole::kServing;
  bool leaving = false;
  std::vector<clients::LoadedWeights> weights;
  /// Number of running and waiting requests.
  std::uint32_t requests = 0;
};

/// Information about one step beyond the order's row.
struct StepEvidence {
  /// Empty if the engine has not reported recently.
  std::optional<EngineObservation> observation;
  /// Whether the machine list contains the engine.
  bool listed = true;
  /// For a step that waits or has loaded: time since it entered its state or since its engine last
  /// reported, whichever is later. Otherwise the time in the state. As observed by this executor.
  base::Duration timeInState{};
  /// Reason with which the engine permanently refused the order; empty if it did not.
  std::string refusal;
};

struct ProgressLimits {
  /// Maximum number of concurrent loads over all orders: the weight store's limit.
  std::uint32_t loadSlots = 2;
  /// A load or unload that takes longer than this has failed.
  base::Duration stepTimeout = std::chrono::minutes(10);
  /// A step is skipped if its engine is unresponsive for this long before the step starts.
  base::Duration absenceTimeout = std::chrono::minutes(1);
  /// Time between the last engine's load and the first unload of a swap, in which the nodes receive
  /// the new version and route requests to it.
  base::Duration settleTime = std::chrono::seconds(3);
};

/// Inputs for advancing one order.
struct ProgressContext {
  ProgressLimits limits;
  /// By engine name.
  std::map<std::string, StepEvidence> evidence;
  /// Engines on which another order takes precedence, because it is older or already in progress
  /// there, with that order's identifier.
  std::map<std::string, std::string> blockedEngines;
  /// Number of load slots in use by other orders.
  std::uint32_t slotsInUse = 0;
  /// Engines of the order's region that serve now; an engine that loads for another order does not
  /// count.
  std::vector<CatalogueEngine> servingEngines;
  /// Time for which all engines of a swap have had the new version, as observed by this executor.
  base::Duration settledFor{};
};

/// Advances the order as far as the evidence allows. Changes neither the author's fields nor
/// `revision`.
void advanceOrder(Order& order, const ProgressContext& context);

/// Engine orders that the step's state requires; empty if it requires none.
std::vector<clients::EngineOrder> engineOrdersFor(const Order& order, const OrderStep& step,
                                                  base::FencingToken token);

/// Whether every engine of a swap has the new version and none was ordered to unload the old one
/// yet.
bool isSettling(const Order& order);

}  // namespace covewing::coordination
