#include "routing/replica_speed_model.h"

#include <algorithm>
#include <cmath>

namespace covewing::routing {

namespace {

/// No caller waits longer than this for a stream or a chunk of it; larger values are measurement
/// faults.
constexpr base::Duration kMaximumStreamTime = std::chrono::minutes(2);
/// Timers that are later than this show that the node measures its own delays instead of the
/// replica's.
constexpr base::Duration kMaximumLateness = std::chrono::milliseconds(50);
constexpr std::uint32_t kMinimumPauses = 2;
/// Number of observed streams from which a replica's speed counts as known.
constexpr std::uint32_t kMinimumStreams = 4;
/// Each stream reduces the weight of the earlier ones to this share: some 30 streams count, which
/// is 5 to 10 seconds of typical traffic.
constexpr double kDecay = 0.97;
/// Number of pauses at which a stream has half of the maximum weight.
constexpr double kHalfWeightPauses = 10;
/// Prior for the time to prefill a thousand tokens (us; replicas prefill 30 to 50 tokens per ms),
/// used until streams that ran during prefills provide better data. The prior has the weight of a
/// few such streams.
constexpr double kUsualPrefillTime = 30'000;
constexpr double kPriorWeight = 0.05;
/// The influence of one stream on the mean is limited to this factor of the expected value.
constexpr double kMaximumRatio = 4;

/// Upper bound of the prefill backlog in tokens for each class of excess except the last.
constexpr std::array<std::uint64_t, 5> kClassBounds{256, 1024, 2048, 4096, 8192};
/// Quantile of the longest pauses: one stream in five may pause for longer than expected.
constexpr double kQuantile = 0.8;
constexpr double kInitialExcessStep = 0.4;
constexpr double kMinimumExcessStep = 0.08;
constexpr double kMinimumExcess = -1.2;
constexpr double kMaximumExcess = 1.6;

/// The reported speed changes only if it differs by this factor from the one reported before.
constexpr double kSpeedStep = 1.15;

/// A replica counts as slow from the first factor on until the factor falls below the second. The
/// observed slowness decays by half in the given time, so that a stream is sent there from time to
/// time.
constexpr double kSlowFrom = 2.3;
constexpr double kSlowUntil = 1.6;
constexpr double kSlownessWeight = 0.4;
/// Weight of streams observed while the replica is slow in the estimate of its usual speed.
constexpr double kSlowStreamWeight = 0.25;
constexpr base::Duration kSlownessHalfLife = std::chrono::milliseconds(1500);

std::size_t classOf(std::uint64_t prefillBacklog) {
  const auto bound = std::ranges::lower_bound(kClassBounds, prefillBacklog);
  return static_cast<std::size_t>(bound - kClassBounds.begin());
}

double microseconds(base::Duration duration) {
  return std::chrono::duration<double, std::micro>(duration).count();
}

double thousands(std::uint64_t tokens) { return static_cast<double>(tokens) / 1000; }

}  // namespace

bool ReplicaSpeedModel::isPlausible(const StreamObservation& observation) const {
  if (observation.pauses < kMinimumPauses) return false;
  if (observation.streamed <= base::Duration::zero() || observation.streamed > kMaximumStreamTime)
    return false;
  if (observation.longestPause <= base::Duration::zero() ||
      observation.longestPause > observation.streamed)
    return false;
  return observation.nodeLateness >= base::Duration::zero() &&
         observation.nodeLateness <= kMaximumLateness;
}

void ReplicaSpeedModel::addObservation(const StreamObservation& observation, const StreamLoad& load,
                                       base::NodeId node, base::TimePoint now) {
  if (!isPlausible(observation)) return;
  const auto pauses = static_cast<double>(observation.pauses);
  const double prefilled = thousands(load.prefilledTokens) / pauses;
  double pause = microseconds(observation.streamed) / pauses;
  if (streamsSeen_ >= kMinimumStreams) {
    const double expected = expectedPause(prefilled);
    updateSlowness(pause / expected, node, now);
    pause = std::clamp(pause, expected / kMaximumRatio, expected * kMaximumRatio);
  }
  ++streamsSeen_;
  const bool isSlowNow = slow(now);
  const double weight = pauses / (pauses + kHalfWeightPauses);
  updateMean(pause, prefilled, isSlowNow ? weight * kSlowStreamWeight : weight);
  if (streamsSeen_ < kMinimumStreams) return;
  if (!isSlowNow) updateExcess(observation, load);
  updateSpeed();
}

void ReplicaSpeedModel::updateMean(double pause, double prefilled, double weight) {
  const auto add = [](double& sum, double value) { sum = sum * kDecay + value; };
  add(sums_.weight, weight);
  add(sums_.prefilled, weight * prefilled);
  add(sums_.prefilledSquared, weight * prefilled * prefilled);
  add(sums_.pause, weight * pause);
  add(sums_.pausePrefilled, weight * pause * prefilled);
  const double meanPrefilled = sums_.prefilled / sums_.weight;
  const double meanPause = sums_.pause / sums_.weight;
  const double variance = sums_.prefilledSquared - meanPrefilled * sums_.prefilled + kPriorWeight;
  const double covariance =
      sums_.pausePrefilled - meanPrefilled * sums_.pause + kPriorWeight * kUsualPrefillTime;
  prefillTime_ = std::clamp(covariance / variance, kUsualPrefillTime / kMaximumRatio,
                            kUsualPrefillTime * kMaximumRatio);
  // A pause cannot consist of prefill alone.
  stepTime_ = std::max(meanPause - prefillTime_ * meanPrefilled, meanPause / kMaximumRatio);
}

double ReplicaSpeedModel::expectedPause(double thousands) const {
  return stepTime_ + prefillTime_ * thousands;
}

void ReplicaSpeedModel::updateExcess(const StreamObservation& observation, const StreamLoad& load) {
  auto& excess = excess_[classOf(load.prefillBacklog)];
  const double factor =
      microseconds(observation.longestPause) / expectedPause(thousands(load.prefillBacklog));
  const double step =
      std::max(kInitialExcessStep / static_cast<double>(++excess.count), kMinimumExcessStep);
  const bool above = std::log(factor) > excess.logarithm;
  excess.logarithm += step * (above ? kQuantile : kQuantile - 1);
  excess.logarithm = std::clamp(excess.logarithm, kMinimumExcess, kMaximumExcess);
}

void ReplicaSpeedModel::updateSlowness(double ratio, base::NodeId node, base::TimePoint now) {
  const double bounded = std::clamp(ratio, 1 / kMaximumRatio, kMaximumRatio);
  // A single node may be observing its own slowness, or that of its link.
  if (bounded > kSlowFrom && slowSeenBy_ == std::optional(node)) return;
  slowSeenBy_ = bounded > kSlowFrom ? std::optional(node) : std::nullopt;
  const double before = slowdown(now);
  slowness_ = before + kSlownessWeight * (bounded - before);
  slowAt_ = now;
  slow_ = slowness_ > (slow_ ? kSlowUntil : kSlowFrom);
}

bool ReplicaSpeedModel::slow(base::TimePoint now) const {
  return slow_ && slowdown(now) > kSlowUntil;
}

double ReplicaSpeedModel::slowdown(base::TimePoint now) const {
  const double halves = microseconds(now - slowAt_) / microseconds(kSlownessHalfLife);
  return 1 + (slowness_ - 1) * std::exp2(-std::max(halves, 0.0));
}

void ReplicaSpeedModel::updateSpeed() {
  const double speed = microseconds(kReferencePause) / stepTime_;
  const bool isClose = speed_ && speed < *speed_ * kSpeedStep && speed > *speed_ / kSpeedStep;
  if (!isClose) speed_ = speed;
}

double shareOfLongPrompts(double speed, double usualSpeed) {
  constexpr double kTolerance = 1.3;
  constexpr double kMaximumShare = 3;
  if (speed <= 0 || usualSpeed <= 0) return 1;
  const double ratio = std::clamp(speed / usualSpeed, 1 / kMaximumShare, kMaximumShare);
  return ratio < kTolerance && ratio > 1 / kTolerance ? 1 : ratio;
}

std::optional<base::Duration> ReplicaSpeedModel::expectedLongestPause(const StreamLoad& load,
                                                                      base::TimePoint now) const {
  if (streamsSeen_ < kMinimumStreams) return std::nullopt;
  double pause = expectedPause(thousands(load.prefillBacklog)) *
                 std::exp(excess_[classOf(load.prefillBacklog)].logarithm);
  if (slow(now)) pause *= slowdown(now);
  return base::Duration{static_cast<base::Duration::rep>(pause)};
}

}  // namespace covewing::routing
