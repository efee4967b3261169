/// \file
/// The sets of weights in one engine's memory, and loads of more from the weight store.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/result_code.h"
#include "clients/engine_client.h"
#include "emulator/weight_store_model.h"

namespace covewing::emulator {

class WeightsMemory {
 public:
  /// `store` may be null: loads are then done at once. An adapter's size is `adapterShare` of a
  /// whole set of weights.
  WeightsMemory(std::vector<clients::LoadedWeights> loaded, WeightStoreModel* store,
                double adapterShare)
      : loaded_(std::move(loaded)), store_(store), adapterShare_(adapterShare) {}
  ~WeightsMemory();
  WeightsMemory(const WeightsMemory&) = delete;
  WeightsMemory& operator=(const WeightsMemory&) = delete;

  /// Ascending by model and version.
  const std::vector<clients::LoadedWeights>& loaded() const { return loaded_; }
  /// Null when the version is not loaded.
  const clients::LoadedWeights* find(const std::string& model, base::WeightsVersion version) const;
  /// Why a request of this identity cannot be served; empty when it can.
  std::optional<base::Reason> mismatch(const clients::CacheIdentity& identity) const;

  /// Fetches what is not loaded yet; `done` runs once, when it has arrived. `add` makes it usable.
  void fetch(const clients::LoadedWeights& weights, std::function<void()> done);
  void add(const clients::LoadedWeights& weights);
  void remove(const std::string& model, base::WeightsVersion version);
  /// Gives up all fetches and everything loaded.
  void clear();
  void cancelFetches();

 private:
  clients::LoadedWeights* findMutable(const std::string& model, base::WeightsVersion version);
  /// Part of a whole set of weights that is missing.
  double missingShare(const clients::LoadedWeights& weights) const;

  std::vector<clients::LoadedWeights> loaded_;
  WeightStoreModel* store_;
  double adapterShare_;
  std::vector<WeightStoreModel::LoadId> fetches_;
};

}  // namespace covewing::emulator
