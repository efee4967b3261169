/// \file
/// Translates an operator's limit for a tenant into the parameters of a token bucket that keeps to
/// it.
///
/// Operators limit the usage of a tenant within each window: at most (rate x window + burst) x (1 +
/// overshoot) + slack, where overshoot and slack are the tolerance for a count that many nodes keep
/// together. A bucket with the stated rate and burst would refuse a tenant that stays within each
/// window, since a window permits its burst again and again. A count of the usage within the window
/// would permit all of it at once, and a newly started home node has no record of when that
/// happened. The bucket therefore earns the burst over the window, and holds only a part of it.
#pragma once

#include <algorithm>

#include "admission/quota_demand.h"
#include "base/time.h"
#include "config/route_table.h"

namespace covewing::admission {

struct QuotaWindow {
  base::Duration span = std::chrono::seconds(8);
  double overshoot = 0;
  double slack = 0;
  /// Fraction of the tolerance that is granted. The remainder covers nodes that do not see each
  /// other, and requests that are held between their grant and their dispatch.
  double grantedToleranceShare = 0.3;
  /// Fractions of the tolerance and of the burst; the larger of the two amounts may accumulate in
  /// the bucket.
  double bucketToleranceShare = 0.2;
  double bucketBurstShare = 0.25;
  /// Minimum capacity of the bucket: this many seconds' worth of tokens if the burst is at least
  /// one second's worth, otherwise this fraction of the burst. Without this minimum, a single
  /// prompt of a tenant would exceed its bucket if the tolerance is small.
  double bucketSeconds = 0.8;

  /// The bucket for a tenant's limit: no window admits more than the limit allows.
  QuotaLimits limitsFor(const config::TenantRate& rate) const {
    const double seconds = base::toSeconds(span);
    const double stated = rate.perSecond * seconds + rate.burst;
    const double tolerance = overshoot * stated + slack;
    QuotaLimits limits;
    limits.burst = std::max({bucketToleranceShare * tolerance, bucketBurstShare * rate.burst,
                             bucketSeconds * std::min(rate.burst, rate.perSecond)});
    limits.ratePerSecond = (stated + grantedToleranceShare * tolerance - limits.burst) / seconds;
    return limits;
  }
};

}  // namespace covewing::admission
