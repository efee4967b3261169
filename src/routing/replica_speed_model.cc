#include "routing/replica_speed_model.h"

#include <algorithm>
#include <cmath>

namespace covewing::routing {

namespace {

/// No caller waits longer for a stream or a piece of it; larger figures are faults.
constexpr base::Duration kLongestStream = std::chrono::minutes(2);
/// A node whose timers were later than this times other things than the replica.
constexpr base::Duration kMostLateness = std::chrono::milliseconds(50);
constexpr std::uint32_t kFewestPauses = 2;
/// Streams seen until a replica's pace counts as known.
constexpr std::uint32_t kFewestStreams = 4;
/// Each stream takes this part of the weight of those before it: some 30 streams count, that is 5
/// to 10 seconds of usual traffic.
constexpr double kKept = 0.97;
/// Pauses at which a stream has half of the greatest weight.
constexpr double kHalfWeightPauses = 10;
/// Reading a thousand tokens takes about this (us; replicas read 30 to 50 tokens a ms) until
/// streams beside readings tell more; the prior counts like a few such streams.
constexpr double kUsualReading = 30'000;
constexpr double kPriorWeight = 0.05;
/// Influence of one stream on the mean is bounded by this factor to what was expected.
constexpr double kMostRatio = 4;

/// Most tokens to be read of each class of excess, but for the last.
constexpr std::array<std::uint64_t, 5> kClassBounds{256, 1024, 2048, 4096, 8192};
/// One stream in five may pause for longer than expected.
constexpr double kQuantile = 0.8;
constexpr double kFirstExcessStep = 0.4;
constexpr double kLeastExcessStep = 0.08;
constexpr double kLeastExcess = -1.2;
constexpr double kMostExcess = 1.6;

/// The speed told changes when it differs by this factor from the one told before.
constexpr double kSpeedStep = 1.15;

/// A replica is slow from the first factor on until it falls below the second; what was seen fades
/// by half in the time, so that a stream is sent there now and then.
constexpr double kSlowFrom = 2.3;
constexpr double kSlowUntil = 1.6;
constexpr double kSlownessWeight = 0.4;
/// Streams seen while the replica is slow count less for its usual pace.
constexpr double kSlowStreamWeight = 0.25;
constexpr base::Duration kSlownessHalf = std::chrono::milliseconds(1500);

std::size_t classOf(std::uint64_t unread) {
  const auto bound = std::ranges::lower_bound(kClassBounds, unread);
  return static_cast<std::size_t>(bound - kClassBounds.begin());
}

double microseconds(base::Duration duration) {
  return std::chrono::duration<double, std::micro>(duration).count();
}

double thousands(std::uint64_t tokens) { return static_cast<double>(tokens) / 1000; }

}  // namespace

bool ReplicaSpeedModel::usable(const StreamObservation& observation) const {
  if (observation.pauses < kFewestPauses) return false;
  if (observation.streamed <= base::Duration::zero() || observation.streamed > kLongestStream)
    return false;
  if (observation.longestPause <= base::Duration::zero() ||
      observation.longestPause > observation.streamed)
    return false;
  return observation.nodeLateness >= base::Duration::zero() &&
         observation.nodeLateness <= kMostLateness;
}

void ReplicaSpeedModel::learn(const StreamObservation& observation, const PaceLoad& load,
                              base::NodeId node, base::TimePoint now) {
  if (!usable(observation)) return;
  const auto pauses = static_cast<double>(observation.pauses);
  const double read = thousands(load.read) / pauses;
  double pause = microseconds(observation.streamed) / pauses;
  if (seen_ >= kFewestStreams) {
    const double expected = line(read);
    learnSlowness(pause / expected, node, now);
    pause = std::clamp(pause, expected / kMostRatio, expected * kMostRatio);
  }
  ++seen_;
  const bool slowNow = slow(now);
  const double weight = pauses / (pauses + kHalfWeightPauses);
  learnMean(pause, read, slowNow ? weight * kSlowStreamWeight : weight);
  if (seen_ < kFewestStreams) return;
  if (!slowNow) learnExcess(observation, load);
  updateSpeed();
}

void ReplicaSpeedModel::learnMean(double pause, double read, double weight) {
  const auto add = [](double& sum, double value) { sum = sum * kKept + value; };
  add(sums_.weight, weight);
  add(sums_.read, weight * read);
  add(sums_.readSquared, weight * read * read);
  add(sums_.pause, weight * pause);
  add(sums_.pauseRead, weight * pause * read);
  const double meanRead = sums_.read / sums_.weight;
  const double meanPause = sums_.pause / sums_.weight;
  const double spread = sums_.readSquared - meanRead * sums_.read + kPriorWeight;
  const double together = sums_.pauseRead - meanRead * sums_.pause + kPriorWeight * kUsualReading;
  reading_ = std::clamp(together / spread, kUsualReading / kMostRatio, kUsualReading * kMostRatio);
  // Not all of a pause can be reading.
  step_ = std::max(meanPause - reading_ * meanRead, meanPause / kMostRatio);
}

double ReplicaSpeedModel::line(double thousands) const { return step_ + reading_ * thousands; }

void ReplicaSpeedModel::learnExcess(const StreamObservation& observation, const PaceLoad& load) {
  auto& excess = excess_[classOf(load.unread)];
  const double factor = microseconds(observation.longestPause) / line(thousands(load.unread));
  const double step =
      std::max(kFirstExcessStep / static_cast<double>(++excess.seen), kLeastExcessStep);
  const bool above = std::log(factor) > excess.logarithm;
  excess.logarithm += step * (above ? kQuantile : kQuantile - 1);
  excess.logarithm = std::clamp(excess.logarithm, kLeastExcess, kMostExcess);
}

void ReplicaSpeedModel::learnSlowness(double ratio, base::NodeId node, base::TimePoint now) {
  const double bounded = std::clamp(ratio, 1 / kMostRatio, kMostRatio);
  // One node alone may see its own slowness, or that of its link.
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
  const double halves = microseconds(now - slowAt_) / microseconds(kSlownessHalf);
  return 1 + (slowness_ - 1) * std::exp2(-std::max(halves, 0.0));
}

void ReplicaSpeedModel::updateSpeed() {
  const double speed = microseconds(kReferencePause) / step_;
  const bool near = speed_ && speed < *speed_ * kSpeedStep && speed > *speed_ / kSpeedStep;
  if (!near) speed_ = speed;
}

double shareOfReading(double speed, double usualSpeed) {
  constexpr double kNear = 1.3;
  constexpr double kMost = 3;
  if (speed <= 0 || usualSpeed <= 0) return 1;
  const double ratio = std::clamp(speed / usualSpeed, 1 / kMost, kMost);
  return ratio < kNear && ratio > 1 / kNear ? 1 : ratio;
}

std::optional<base::Duration> ReplicaSpeedModel::expectedLongestPause(const PaceLoad& load,
                                                                      base::TimePoint now) const {
  if (seen_ < kFewestStreams) return std::nullopt;
  double pause = line(thousands(load.unread)) * std::exp(excess_[classOf(load.unread)].logarithm);
  if (slow(now)) pause *= slowdown(now);
  return base::Duration{static_cast<base::Duration::rep>(pause)};
}

}  // namespace covewing::routing
