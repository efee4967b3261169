/// \file
/// Decides the next states of an order's steps from what its engines report. A pure function of its
/// inputs: the executor writes the result to the table before it acts on it.
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

/// What an engine itself reported lately.
struct EngineObservation {
  base::Incarnation incarnation = 0;
  clients::EngineRole role = clients::EngineRole::kServing;
  bool leaving = false;
  std::vector<clients::LoadedWeights> weights;
  /// Requests running and waiting.
  std::uint32_t requests = 0;
};

/// What the executor knows about one step besides the row.
struct StepEvidence {
  /// Empty while the engine has not answered lately.
  std::optional<EngineObservation> observation;
  /// The machine list names the engine.
  bool listed = true;
  /// Time since the step entered its state or its engine last answered, whichever is later, for a
  /// step that waits or has loaded; else time in the state. As this executor has seen it.
  base::Duration inState{};
  /// The engine refused the order for good.
  std::string refusal;
};

struct ProgressLimits {
  /// Loads at once over all orders: the weight store's limit.
  std::uint32_t loadSlots = 2;
  /// A load or unload that takes longer has failed.
  base::Duration stepTimeout = std::chrono::minutes(10);
  /// An engine that does not answer for this long before its step starts is skipped.
  base::Duration absenceTimeout = std::chrono::minutes(1);
  /// Time between the last engine's load and the first unload of a swap, in which the nodes learn
  /// of the new version and send requests there.
  base::Duration settleTime = std::chrono::seconds(3);
};

/// The surroundings of one order.
struct ProgressContext {
  ProgressLimits limits;
  /// By engine name.
  std::map<std::string, StepEvidence> evidence;
  /// Engines on which an earlier order works or will, with that order's identifier.
  std::map<std::string, std::string> blockedEngines;
  /// Load slots taken by other orders.
  std::uint32_t slotsInUse = 0;
  /// Engines that serve now, of the order's region; a loading engine serves nobody.
  std::vector<CatalogueEngine> servingEngines;
  /// How long all engines of a swap have the new version, as this executor has seen it.
  base::Duration settledFor{};
};

/// Moves the order on as far as the evidence allows. Changes neither author's fields nor
/// `revision`.
void advanceOrder(Order& order, const ProgressContext& context);

/// Orders for the engine that the step's state calls for; none where it calls for nothing.
std::vector<clients::EngineOrder> engineOrdersFor(const Order& order, const OrderStep& step,
                                                  base::FencingToken token);

/// Every engine of a swap has the new version and none was told to unload the old one yet.
bool isSettling(const Order& order);

}  // namespace covewing::coordination
