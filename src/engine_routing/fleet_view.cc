#include "engine_routing/fleet_view.h"

#include <algorithm>

namespace covewing::engine_routing {

bool EngineState::serves(std::string_view model, std::string_view adapter,
                         base::WeightsVersion version) const {
  return std::any_of(weights.begin(), weights.end(), [&](const clients::LoadedWeights& loaded) {
    if (loaded.model != model || loaded.version != version) return false;
    if (adapter.empty()) return true;
    return std::find(loaded.adapters.begin(), loaded.adapters.end(), adapter) !=
           loaded.adapters.end();
  });
}

}  // namespace covewing::engine_routing
