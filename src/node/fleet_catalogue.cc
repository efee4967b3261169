#include "node/fleet_catalogue.h"

namespace covewing::node {

std::vector<coordination::CatalogueEngine> FleetCatalogue::engines() const {
  std::vector<coordination::CatalogueEngine> result;
  result.reserve(fleet_.engines().size());
  for (const engine_routing::EngineState& engine : fleet_.engines()) {
    result.push_back({.address = engine.address,
                      .zone = engine.zone,
                      .region = engine.region,
                      .role = engine.role,
                      .leaving = engine.leaving,
                      .unreachable = engine.unreachable,
                      .weights = engine.weights});
  }
  return result;
}

}  // namespace covewing::node
