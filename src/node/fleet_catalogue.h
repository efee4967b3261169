/// \file
/// Adapts the node's fleet view for coordination, which does not depend on routing.
#pragma once

#include "coordination/engine_catalogue.h"
#include "engine_routing/fleet_view.h"

namespace covewing::node {

class FleetCatalogue final : public coordination::EngineCatalogue {
 public:
  explicit FleetCatalogue(const engine_routing::FleetView& fleet) : fleet_(fleet) {}
  std::vector<coordination::CatalogueEngine> engines() const override;

 private:
  const engine_routing::FleetView& fleet_;
};

}  // namespace covewing::node
