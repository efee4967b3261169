#include "admission/tenant_shares.h"

#include <algorithm>
#include <cmath>

namespace covewing::admission {

namespace {

/// Time constant in which use is forgotten: shortages last some seconds.
constexpr double kTimeConstantSeconds = 2.0;
/// Seconds of the whole replica within which tenants count as equal, so that the time left decides
/// among tenants that ask for their usual: about one request of 24 slots and a second.
constexpr double kUsageStep = 0.04;
/// Tenants kept; beyond that the ones with the least use are forgotten.
constexpr std::size_t kMaximumTenants = 1024;
/// Use below this counts as forgotten.
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
