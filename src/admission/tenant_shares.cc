#include "admission/tenant_shares.h"

#include <algorithm>
#include <cmath>

namespace covewing::admission {

namespace {

/// Time constant in which use is forgotten: shortages last some seconds.
constexpr double kMemorySeconds = 2.0;
/// Seconds of the whole replica within which tenants count as equal, so that the time left decides
/// among tenants that ask for their usual: about one request of 24 slots and a second.
constexpr double kStep = 0.04;
/// Tenants kept; beyond that the ones with the least use are forgotten.
constexpr std::size_t kMostTenants = 1024;
/// Use below this counts as forgotten.
constexpr double kForgotten = kStep / 8;

}  // namespace

double TenantShares::kept(const Use& use, base::TimePoint now) {
  return use.replicaSeconds *
         std::exp(-std::max(0.0, base::toSeconds(now - use.at)) / kMemorySeconds);
}

void TenantShares::onGrant(std::uint32_t urgency, std::uint64_t tenant, std::uint32_t weight,
                           double replicaSeconds, base::TimePoint now) {
  const Key key{urgency, tenant};
  if (uses_.size() >= kMostTenants && !uses_.contains(key)) makeRoom(now);
  Use& use = uses_[key];
  use.replicaSeconds = kept(use, now) + replicaSeconds / std::max<std::uint32_t>(weight, 1);
  use.at = std::max(use.at, now);
}

std::int64_t TenantShares::used(std::uint32_t urgency, std::uint64_t tenant,
                                base::TimePoint now) const {
  const auto found = uses_.find({urgency, tenant});
  if (found == uses_.end()) return 0;
  return static_cast<std::int64_t>(kept(found->second, now) / kStep);
}

void TenantShares::makeRoom(base::TimePoint now) {
  std::erase_if(uses_, [&](const auto& item) { return kept(item.second, now) < kForgotten; });
  if (uses_.size() < kMostTenants) return;
  uses_.erase(std::min_element(uses_.begin(), uses_.end(), [&](const auto& a, const auto& b) {
    return kept(a.second, now) < kept(b.second, now);
  }));
}

}  // namespace covewing::admission
