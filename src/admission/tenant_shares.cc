#include "admission/tenant_shares.h"

#include <algorithm>
#include <cmath>

namespace covewing::admission {

namespace {

/// Time constant of the decay of usage: shortages last some seconds.
constexpr double kTimeConstantSeconds = 2.0;
/// Seconds of the whole replica within which tenants count as equal, so that the due time decides
/// among tenants with their usual demand. It is about one request that holds one of 24 slots for a
/// second.
constexpr double kUsageStep = 0.04;
/// Maximum number of tenants that are tracked; beyond that, those with the least usage are dropped.
constexpr std::size_t kMaximumTenants = 1024;
/// Usage below this counts as none.
constexpr double kNegligibleUsage = kUsageStep / 8;

}  // namespace

double TenantShares::decayed(const Usage& usage, base::TimePoint now) {
  return usage.replicaSeconds *
         std::exp(-std::max(0.0, base::toSeconds(now - usage.at)) / kTimeConstantSeconds);
}

void TenantShares::onGrant(std::uint32_t urgency, std::uint64_t tenant, std::uint32_t weight,
                           double replicaSeconds, base::TimePoint now) {
  const Key key{urgency, tenant};
  if (usages_.size() >= kMaximumTenants && !usages_.contains(key)) evict(now);
  Usage& usage = usages_[key];
  usage.replicaSeconds = decayed(usage, now) + replicaSeconds / std::max<std::uint32_t>(weight, 1);
  usage.at = std::max(usage.at, now);
}

std::int64_t TenantShares::usageSteps(std::uint32_t urgency, std::uint64_t tenant,
                                      base::TimePoint now) const {
  const auto found = usages_.find({urgency, tenant});
  if (found == usages_.end()) return 0;
  return static_cast<std::int64_t>(decayed(found->second, now) / kUsageStep);
}

void TenantShares::evict(base::TimePoint now) {
  std::erase_if(usages_,
                [&](const auto& item) { return decayed(item.second, now) < kNegligibleUsage; });
  if (usages_.size() < kMaximumTenants) return;
  usages_.erase(std::min_element(usages_.begin(), usages_.end(), [&](const auto& a, const auto& b) {
    return decayed(a.second, now) < decayed(b.second, now);
  }));
}

}  // namespace covewing::admission
