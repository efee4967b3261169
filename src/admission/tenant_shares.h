/// \file
/// What each tenant got of one replica lately, by urgency. In shortage the tenant that had least of
/// its share goes first, so that a tenant that asks for several times its usual makes itself wait.
///
/// Use is forgotten exponentially within seconds: a tenant is not made to pay for what it took
/// while there was room for all.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <tuple>

#include "base/time.h"

namespace covewing::admission {

class TenantShares {
 public:
  /// The tenant got work in seconds of the whole replica. A weight of 0 counts as 1.
  void onGrant(std::uint32_t urgency, std::uint64_t tenant, std::uint32_t weight,
               double replicaSeconds, base::TimePoint now);
  /// What the tenant had by its weight, in steps within which tenants count as equal.
  std::int64_t usageSteps(std::uint32_t urgency, std::uint64_t tenant, base::TimePoint now) const;
  /// Tenants that are kept; bounded.
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
  /// Drops tenants whose use is forgotten, and the one with the least use where that is not enough.
  void evict(base::TimePoint now);

  std::map<Key, Usage> usages_;
};

}  // namespace covewing::admission
