#include "emulator/weights_memory.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace covewing::emulator {

using base::Reason;
using base::ResultCode;
using clients::LoadedWeights;

namespace {

bool contains(const std::vector<std::string>& adapters, const std::string& adapter) {
  return std::find(adapters.begin(), adapters.end(), adapter) != adapters.end();
}

bool ordered(const LoadedWeights& left, const LoadedWeights& right) {
  return std::tie(left.model, left.version) < std::tie(right.model, right.version);
}

}  // namespace

WeightsMemory::~WeightsMemory() { cancelFetches(); }

const LoadedWeights* WeightsMemory::find(const std::string& model,
                                         base::WeightsVersion version) const {
  const auto found = std::find_if(loaded_.begin(), loaded_.end(), [&](const LoadedWeights& each) {
    return each.model == model && each.version == version;
  });
  return found == loaded_.end() ? nullptr : &*found;
}

LoadedWeights* WeightsMemory::findMutable(const std::string& model, base::WeightsVersion version) {
  const LoadedWeights* found = find(model, version);
  return found == nullptr ? nullptr : &loaded_[static_cast<std::size_t>(found - loaded_.data())];
}

std::optional<Reason> WeightsMemory::mismatch(const clients::CacheIdentity& identity) const {
  const LoadedWeights* weights = find(identity.model, identity.weightsVersion);
  if (weights == nullptr) return Reason{ResultCode::kIdentityMismatch, "weights_version"};
  if (!identity.adapter.empty() && !contains(weights->adapters, identity.adapter)) {
    return Reason{ResultCode::kIdentityMismatch, "adapter"};
  }
  return std::nullopt;
}

double WeightsMemory::missingShare(const LoadedWeights& weights) const {
  const LoadedWeights* present = find(weights.model, weights.version);
  double share = present == nullptr ? 1.0 : 0.0;
  for (const std::string& adapter : weights.adapters) {
    const bool known = present != nullptr && contains(present->adapters, adapter);
    if (!known) share += adapterShare_;
  }
  return share;
}

void WeightsMemory::fetch(const LoadedWeights& weights, std::function<void()> done) {
  const double share = missingShare(weights);
  if (store_ == nullptr || share <= 0.0) {
    done();
    return;
  }
  fetches_.push_back(store_->load(share, std::move(done)));
}

void WeightsMemory::add(const LoadedWeights& weights) {
  LoadedWeights* present = findMutable(weights.model, weights.version);
  if (present == nullptr) {
    loaded_.push_back(weights);
    std::sort(loaded_.begin(), loaded_.end(), ordered);
    return;
  }
  for (const std::string& adapter : weights.adapters) {
    if (!contains(present->adapters, adapter)) present->adapters.push_back(adapter);
  }
}

void WeightsMemory::remove(const std::string& model, base::WeightsVersion version) {
  std::erase_if(loaded_, [&](const LoadedWeights& weights) {
    return weights.model == model && weights.version == version;
  });
}

void WeightsMemory::clear() {
  cancelFetches();
  loaded_.clear();
}

void WeightsMemory::cancelFetches() {
  for (const auto fetch : fetches_) store_->cancel(fetch);
  fetches_.clear();
}

}  // namespace covewing::emulator
