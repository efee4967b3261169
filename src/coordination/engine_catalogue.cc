#include "coordination/engine_catalogue.h"

#include <algorithm>

namespace covewing::coordination {

bool holdsModel(const std::vector<clients::LoadedWeights>& weights, std::string_view model) {
  return std::ranges::any_of(
      weights, [model](const clients::LoadedWeights& loaded) { return loaded.model == model; });
}

bool holdsVersion(const std::vector<clients::LoadedWeights>& weights, std::string_view model,
                  base::WeightsVersion version) {
  return std::ranges::any_of(weights, [&](const clients::LoadedWeights& loaded) {
    return loaded.model == model && loaded.version == version;
  });
}

bool holdsWeights(const std::vector<clients::LoadedWeights>& weights,
                  const clients::LoadedWeights& wanted) {
  return std::ranges::any_of(weights, [&](const clients::LoadedWeights& loaded) {
    return loaded.model == wanted.model && loaded.version == wanted.version &&
           std::ranges::all_of(wanted.adapters, [&](const std::string& adapter) {
             return std::ranges::find(loaded.adapters, adapter) != loaded.adapters.end();
           });
  });
}

}  // namespace covewing::coordination
