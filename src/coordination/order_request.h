/// \file
/// An operator's wish, and the order with its steps that it becomes on the fleet as known now.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "config/field_mistake.h"
#include "coordination/engine_catalogue.h"
#include "coordination/order.h"

namespace covewing::coordination {

struct OrderRequest {
  OrderType type = OrderType::kLoad;
  std::string region;
  std::string model;
  base::WeightsVersion version = 0;
  /// Empty for a swap: those that the engines have with the model now.
  std::vector<std::string> adapters;
  clients::EngineRole role = clients::EngineRole::kServing;
  /// Engines by name; empty: chosen from the region.
  std::vector<std::string> engines;
  /// Choose engines of this zone only; empty: any.
  std::string zone;
  /// How many engines to choose; empty: all that qualify (a swap), or one.
  std::optional<std::uint32_t> count;
  std::uint32_t parallel = 0;
  /// Empty: half of the model's serving engines for a swap, 1 for a role, 0 for a load.
  std::optional<std::uint32_t> minimumServing;
  bool keepOld = false;
  std::string operationId;
  std::string author;
};

/// Chooses the engines and lays out the steps, zones in turn so that no zone is worked on alone.
/// Empty with every mistake when the request cannot be an order.
std::optional<Order> makeOrder(const OrderRequest& request,
                               const std::vector<CatalogueEngine>& engines,
                               std::vector<config::FieldMistake>& mistakes);

}  // namespace covewing::coordination
