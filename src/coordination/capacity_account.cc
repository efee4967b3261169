#include "coordination/capacity_account.h"

#include <algorithm>
#include <cmath>

namespace covewing::coordination {

std::size_t FleetCapacity::spareReplicas(double headroom) const {
  const double available = static_cast<double>(serving + changing);
  return static_cast<std::size_t>(std::max(0.0, std::floor(available - needed * (1 + headroom))));
}

void CapacityAccount::onDemand(const std::string& model, double replicas, base::TimePoint now) {
  auto& demand = demands_[model];
  const double elapsed = base::toSeconds(now - demand.at) / base::toSeconds(options_.decayTime);
  const double decay = demand.at == base::TimePoint{} ? 0 : std::exp(-elapsed);
  demand.replicas = std::max(replicas, replicas + (demand.replicas - replicas) * decay);
  demand.at = now;
}

double CapacityAccount::needed(const std::string& model) const {
  const auto found = demands_.find(model);
  return found == demands_.end() ? 0 : found->second.replicas;
}

}  // namespace covewing::coordination
