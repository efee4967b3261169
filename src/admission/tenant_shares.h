/// \file
/// Recent usage of one replica by each tenant, by urgency level. In a shortage, the tenant that has
/// used the least of its share is served first, so that a tenant whose demand is several times its
/// usual one delays only itself.
///
/// Usage decays exponentially within seconds: a tenant is not penalized for what it used while
/// there was capacity for all.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <tuple>

#include "base/time.h"

namespace covewing::admission {

class TenantShares {
 public:
  /// The tenant was granted this much work, in seconds of the whole replica. A weight of 0 counts
  /// as 1.
  void onGrant(std::uint32_t urgency, std::uint64_t tenant, std::uint32_t weight,
               double replicaSeconds, base::TimePoint now);
  /// The tenant's usage relative to its weight, in steps within which tenants count as equal.
  std::int64_t usageSteps(std::uint32_t urgency, std::uint64_t tenant, base::TimePoint now) const;
  /// Number of tenants that are tracked; bounded.
  std::size_t size() const { return usages_.size(); }

 private:
  struct Key {
    std::uint32_t urgency = 0;
    std::uint64_t tenant = 0;
    bool operator<(const Key& other) const {
      return std::tie(urgency, tenant) < std::tie(other.urgency, other.tenant);
    }
  };
  struct Usage {
    base::TimePoint at{};
    double replicaSeconds = 0.0;
  };

  static double decayed(const Usage& usage, base::TimePoint now);
  /// Drops tenants with negligible usage; if that is not enough, also the one with the least usage.
  void evict(base::TimePoint now);

  std::map<Key, Usage> usages_;
};

}  // namespace covewing::admission
