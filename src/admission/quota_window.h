/// \file
/// What operators mean by a tenant's limit, and the token bucket that keeps to it.
///
/// Operators bound what a tenant uses in each window: at most (rate x window + burst) x
/// (1 + overshoot) + slack, where overshoot and slack are their tolerance for a count that many
/// nodes make together. A bucket of the stated rate and burst would refuse a tenant that stays
/// within each window, since a window lets it use its burst again and again; a count of what was
/// used in the window lets it use all at once, and a home that starts anew does not know when that
/// was. So the bucket earns the burst over the window, and holds a part of it.
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
  /// Part of the tolerance that is granted. The rest covers nodes that do not see each other, and
  /// requests that are held between their grant and their dispatch.
  double grantedToleranceShare = 0.3;
  /// Part of the tolerance, or of the burst if that is more, that may be saved up.
  double bucketToleranceShare = 0.2;
  double bucketBurstShare = 0.25;
  /// Of a burst of a second's worth or more, so much of a second's worth may be saved up: where the
  /// tolerance is small, a tenant's single prompts would be larger than its bucket otherwise.
  double bucketSeconds = 0.8;

  /// The bucket for a tenant's limit: in no window more passes than is allowed.
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
