/// \file
/// Open-loop arrival times: a Poisson process whose rate follows a daily peak and bursts.
#pragma once

#include <vector>

#include "base/random.h"
#include "base/time.h"

namespace covewing::bench {

/// A period with a raised rate of calls, such as the end of a round, when many callers call at the
/// same time. Times are from the start of the workload.
struct Burst {
  base::Duration begin{};
  base::Duration end{};
};

/// The rate over the run as a share of the peak rate. It rises linearly from `startShare` to 1
/// within the first quarter of the run and stays at 1.
struct PeakEnvelope {
  base::Duration duration{};
  double startShare = 0.6;

  double at(base::Duration time) const;
};

/// Draws bursts of `length`. The gap between two bursts is at least `length`, plus an exponentially
/// distributed time of mean `gap`.
std::vector<Burst> drawBursts(base::RandomSource& random, base::Duration duration,
                              base::Duration gap, base::Duration length);

struct ArrivalRate {
  /// Calls per second at the peak, outside of bursts.
  double peak = 0;
  /// Factor by which the rate is multiplied within bursts.
  double burstFactor = 1.0;
};

/// Draws the times of calls over the envelope's duration, in ascending order.
std::vector<base::Duration> drawArrivalTimes(base::RandomSource& random,
                                             const PeakEnvelope& envelope,
                                             const std::vector<Burst>& bursts,
                                             const ArrivalRate& rate);

}  // namespace covewing::bench
