/// \file
/// Operators' orders to engines as stored in the table service: one row per order, with every step
/// and its state, so that the next holder of the lease can complete the order.
///
/// Step states by kind of order (`waiting` first, a final state last):
///
///     load:  waiting -> loading -> done
///     swap:  waiting -> loading -> loaded -> unloading -> done
///     role:  waiting -> changing [-> draining] -> done
///
/// `failed`, `skipped` and `cancelled` are final too. A swap that fails or is cancelled before
/// every engine has loaded the version unloads it again where it was loaded: loaded -> rolling_back
/// -> rolled_back.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/result_code.h"
#include "base/time.h"
#include "clients/engine_client.h"

namespace covewing::coordination {

enum class OrderType : std::uint8_t { kLoad, kSwap, kRole };

enum class OrderState : std::uint8_t {
  kPending,
  kRunning,
  kRollingBack,
  kDone,
  kFailed,
  kCancelled,
};

enum class StepState : std::uint8_t {
  kWaiting,
  kLoading,
  kLoaded,
  kUnloading,
  kChanging,
  kDraining,
  kRollingBack,
  kDone,
  kFailed,
  kSkipped,
  kCancelled,
  kRolledBack,
};

std::string_view toString(OrderType type);
std::string_view toString(OrderState state);
std::string_view toString(StepState state);
std::string_view toString(clients::EngineRole role);
std::optional<OrderType> parseOrderType(std::string_view name);
std::optional<clients::EngineRole> parseEngineRole(std::string_view name);

/// The part of an order that concerns one engine.
struct OrderStep {
  /// Name of the engine in the machine list.
  std::string engine;
  StepState state = StepState::kWaiting;
  /// Reason why the step waits or failed.
  std::string detail;
  /// Name of the node that made the last change of state.
  std::string executor;
  /// Time from the start of the step to its last change of state, by the executors' clocks.
  base::Duration elapsed{};
  /// Incarnation of the engine when the step started.
  base::Incarnation incarnation = 0;
  /// The engine already had the version before the order, so a rollback does not unload it.
  bool hadVersion = false;
  /// Other versions of the model that the engine had, which a swap unloads.
  std::vector<base::WeightsVersion> oldVersions;
};

struct Order {
  std::string id;
  std::string region;
  OrderType type = OrderType::kLoad;
  /// Weights to load or to swap to.
  clients::LoadedWeights weights;
  clients::EngineRole role = clients::EngineRole::kServing;
  /// Maximum number of concurrent loads of this order; 0: limited by the weight store only.
  std::uint32_t parallel = 0;
  /// Minimum number of engines of the model that must be able to serve at every moment.
  std::uint32_t minimumServing = 0;
  /// Whether a swap leaves the old versions loaded.
  bool keepOld = false;
  /// Identifier of the operator's call, by which a repeated call is recognised.
  std::string operationId;
  std::string author;
  bool cancelRequested = false;
  OrderState state = OrderState::kPending;
  std::string detail;
  std::vector<OrderStep> steps;
  /// Random number of each write, by which a node recognises its own write after a lost reply.
  std::uint64_t nonce = 0;
  /// Fencing token of the last executor that wrote the row; 0 before the first.
  base::FencingToken token = 0;
  /// Revision of the row; not part of the stored value.
  base::Revision revision = 0;
};

bool isFinal(StepState state);
bool isFinal(OrderState state);
/// Whether a step in this state occupies one of the weight store's load slots.
bool usesLoadSlot(StepState state);
/// Whether a step in this state is in progress on the engine.
bool isActive(StepState state);

/// Identifier of the order that results from this operator call; repetitions of the call give the
/// same one.
std::string orderIdOf(std::string_view operationId);
/// Prefix of the row keys of a region's orders.
std::string orderPrefix(std::string_view region);
std::string orderKey(std::string_view region, std::string_view id);
std::string encodeOrder(const Order& order);
/// Empty, with the reason, if the value does not have this form.
std::optional<Order> parseOrder(std::string_view value, base::Revision revision,
                                base::Reason& reason);

}  // namespace covewing::coordination
