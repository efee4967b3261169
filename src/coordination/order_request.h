/// \file
/// An operator's request, and the order that results from it for the fleet as currently known.
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
  /// If empty for a swap: the adapters that the engines currently have with the model.
  std::vector<std::string> adapters;
  clients::EngineRole role = clients::EngineRole::kServing;
  /// Names of the engines; if empty, engines of the region are chosen.
  std::vector<std::string> engines;
  /// Choose engines of this zone only; if empty, of any zone.
  std::string zone;
  /// Number of engines to choose; if empty, all that qualify, or one for a load without a zone.
  std::optional<std::uint32_t> count;
  std::uint32_t parallel = 0;
  /// If empty: half of the model's serving engines for a swap, 1 for a role, 0 for a load.
  std::optional<std::uint32_t> minimumServing;
  bool keepOld = false;
  std::string operationId;
  std::string author;
};

/// Chooses the engines and creates the steps, alternating between zones so that work is not
/// concentrated on one zone. Returns empty and all mistakes if the request cannot become an order.
std::optional<Order> makeOrder(const OrderRequest& request,
                               const std::vector<CatalogueEngine>& engines,
                               std::vector<config::FieldMistake>& mistakes);

}  // namespace covewing::coordination
