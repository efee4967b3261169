/// \file
/// The engines to which orders may be sent, as this node knows them. The node fills the catalogue
/// from its fleet view. Its data may lag by seconds, so the order executor polls the engine itself
/// before it acts.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "clients/engine_client.h"

namespace covewing::coordination {

struct CatalogueEngine {
  clients::BackEndAddress address;
  std::string zone;
  std::string region;
  clients::EngineRole role = clients::EngineRole::kServing;
  bool leaving = false;
  bool unreachable = false;
  std::vector<clients::LoadedWeights> weights;
};

class EngineCatalogue {
 public:
  virtual ~EngineCatalogue() = default;
  /// All known engines, ascending by identifier.
  virtual std::vector<CatalogueEngine> engines() const = 0;
};

/// Whether `weights` contain any version of the model.
bool holdsModel(const std::vector<clients::LoadedWeights>& weights, std::string_view model);
/// Whether `weights` contain the version with all adapters of `wanted`.
bool holdsWeights(const std::vector<clients::LoadedWeights>& weights,
                  const clients::LoadedWeights& wanted);
/// Whether `weights` contain the version, with any adapters.
bool holdsVersion(const std::vector<clients::LoadedWeights>& weights, std::string_view model,
                  base::WeightsVersion version);

}  // namespace covewing::coordination
