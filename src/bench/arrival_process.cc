#include "bench/arrival_process.h"

#include <algorithm>

#include "bench/draw.h"

namespace covewing::bench {

using base::Duration;

namespace {

/// Share of the run over which the rate rises to the peak.
constexpr double kRiseShare = 0.25;
constexpr double kMicrosecondsPerSecond = 1e6;

bool within(const std::vector<Burst>& bursts, Duration time) {
  return std::any_of(bursts.begin(), bursts.end(), [time](const Burst& burst) {
    return burst.begin <= time && time < burst.end;
  });
}

}  // namespace

double PeakEnvelope::at(Duration time) const {
  const double rise = base::toSeconds(duration) * kRiseShare;
  const double progress = rise <= 0 ? 1.0 : std::min(1.0, base::toSeconds(time) / rise);
  return startShare + (1.0 - startShare) * progress;
}

std::vector<Burst> drawBursts(base::RandomSource& random, Duration duration, Duration gap,
                              Duration length) {
  std::vector<Burst> bursts;
  Duration begin = drawExponential(random, gap);
  while (begin < duration) {
    bursts.push_back({begin, begin + length});
    begin += 2 * length + drawExponential(random, gap);
  }
  return bursts;
}

std::vector<Duration> drawArrivalTimes(base::RandomSource& random, const PeakEnvelope& envelope,
                                       const std::vector<Burst>& bursts, const ArrivalRate& rate) {
  std::vector<Duration> times;
  const double maximumRate = rate.peak * std::max(1.0, rate.burstFactor);
  if (maximumRate <= 0) return times;
  const Duration mean{static_cast<Duration::rep>(kMicrosecondsPerSecond / maximumRate)};
  // Thinning: draws candidates at the maximum rate and keeps each with a probability equal to the
  // ratio of the rate at its time to the maximum rate.
  for (Duration time = drawExponential(random, mean); time < envelope.duration;
       time += drawExponential(random, mean)) {
    const double factor = within(bursts, time) ? rate.burstFactor : 1.0;
    const double current = rate.peak * envelope.at(time) * factor;
    if (drawChance(random, current / maximumRate)) times.push_back(time);
  }
  return times;
}

}  // namespace covewing::bench
