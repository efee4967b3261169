#include "routing/replica_health.h"

#include <algorithm>

namespace covewing::routing {

void ReplicaHealth::onDispatched(base::TimePoint now, base::Duration work) {
  if (waiting_ == 0) inactiveSince_ = now;
  ++waiting_;
  waitingWork_ += work;
}

void ReplicaHealth::onWaitEnded(base::TimePoint now, base::Duration work) {
  if (waiting_ > 0) --waiting_;
  waitingWork_ -= work;
  if (waiting_ == 0) inactiveSince_ = now;
}

void ReplicaHealth::onBytesReceived(base::TimePoint now) { inactiveSince_ = now; }

void ReplicaHealth::onSuccess(base::TimePoint now) {
  inactiveSince_ = now;
  consecutiveFailures_ = 0;
  failureRate_ *= 1.0 - options_.smoothing;
  ++outcomes_;
  onProbation_ = false;
  if (failureRate_ < options_.excessRate) nextEjection_ = {};
}

void ReplicaHealth::onFailure(base::TimePoint now, double serviceRate) {
  ++consecutiveFailures_;
  ++outcomes_;
  failureRate_ += options_.smoothing * (1.0 - failureRate_);
  const bool inRow = consecutiveFailures_ >= options_.consecutiveFailures &&
                     serviceRate < 1.0 - options_.excessRate;
  const bool outlier =
      outcomes_ >= options_.minimumOutcomes && failureRate_ > serviceRate + options_.excessRate;
  if (onProbation_ || inRow || outlier) {
    eject(now, options_.maximumEjection);
    ejectedAsUnreachable_ = false;
  }
}

void ReplicaHealth::onUnreachable(base::TimePoint now) {
  ++consecutiveFailures_;
  if (!ejected(now)) ejectedAsUnreachable_ = true;
  eject(now, options_.maximumUnreachableEjection);
}

void ReplicaHealth::onReachable(base::TimePoint now) {
  if (!ejected(now) || !ejectedAsUnreachable_) return;
  ejectedUntil_ = now;
  nextEjection_ = {};
}

bool ReplicaHealth::unresponsive(base::TimePoint now) const {
  return waiting_ > 0 && now - inactiveSince_ > options_.unresponsiveAfter +
                                                    options_.graceIntervals * interval_ +
                                                    waitingWork_;
}

bool ReplicaHealth::available(base::TimePoint now) const {
  if (ejected(now) || unresponsive(now)) return false;
  return !onProbation_ || waiting_ == 0;
}

void ReplicaHealth::eject(base::TimePoint now, base::Duration maximum) {
  // Failures of requests that were sent before the ejection do not extend it.
  if (ejected(now)) return;
  nextEjection_ = nextEjection_.count() == 0
                      ? options_.firstEjection
                      : std::min(2 * nextEjection_, options_.maximumEjection);
  ejectedUntil_ = now + std::min(nextEjection_, maximum);
  onProbation_ = true;
}

}  // namespace covewing::routing
