/// \file
/// Open-loop arrival times: a Poisson process whose rate follows a daily peak and bursts.
#pragma once

#include <vector>

#include "base/random.h"
#include "base/time.h"

namespace covewing::bench {

/// A period in which callers come together, such as the end of a round.
struct Burst {
  base::Duration begin{};
  base::Duration end{};
};

/// The rate over the run as a share of the peak: rises linearly to 1 within the first quarter and
/// stays there.
struct PeakEnvelope {
  base::Duration duration{};
  double startShare = 0.6;

  double at(base::Duration time) const;
};

/// Bursts of `length` with exponentially distributed gaps of mean `gap`, none closer than `length`.
std::vector<Burst> drawBursts(base::RandomSource& random, base::Duration duration,
                              base::Duration gap, base::Duration length);

struct ArrivalRate {
  /// Calls a second at the peak, outside of bursts.
  double peak = 0;
  /// Factor on the rate within bursts.
  double burstFactor = 1.0;
};

/// Times of calls over the envelope's duration, ascending.
std::vector<base::Duration> drawArrivalTimes(base::RandomSource& random,
                                             const PeakEnvelope& envelope,
                                             const std::vector<Burst>& bursts,
                                             const ArrivalRate& rate);

}  // namespace covewing::bench
