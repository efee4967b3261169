#include "routing/replica_health.h"

#include <algorithm>

namespace covewing::routing {

void ReplicaHealth::onDispatched(base::TimePoint now, base::Duration work) {
  if (waiting_ == 0) quietSince_ = now;
  ++waiting_;
  waitingWork_ += work;
}

void ReplicaHealth::onWaitEnded(base::TimePoint now, base::Duration work) {
  if (waiting_ > 0) --waiting_;
  waitingWork_ -= work;
  if (waiting_ == 0) quietSince_ = now;
}

void ReplicaHealth::onBytesReceived(base::TimePoint now) { quietSince_ = now; }

void ReplicaHealth::onSuccess(base::TimePoint now) {
  quietSince_ = now;
  failuresInRow_ = 0;
  failureRate_ *= 1.0 - options_.smoothing;
  ++outcomes_;
  onProbation_ = false;
  if (failureRate_ < options_.excessRate) nextEjection_ = {};
}

void ReplicaHealth::onFailure(base::TimePoint now, double serviceRate) {
  ++failuresInRow_;
  ++outcomes_;
  failureRate_ += options_.smoothing * (1.0 - failureRate_);
  const bool inRow =
      failuresInRow_ >= options_.consecutiveFailures && serviceRate < 1.0 - options_.excessRate;
  const bool outlier =
      outcomes_ >= options_.minimumOutcomes && failureRate_ > serviceRate + options_.excessRate;
  if (onProbation_ || inRow || outlier) eject(now);
}

void ReplicaHealth::onUnreachable(base::TimePoint now) {
  ++failuresInRow_;
  eject(now);
}

bool ReplicaHealth::silent(base::TimePoint now) const {
  return waiting_ > 0 && now - quietSince_ > options_.silence +
                                                 options_.intervalsOfSilence * interval_ +
                                                 waitingWork_;
}

bool ReplicaHealth::available(base::TimePoint now) const {
  if (ejected(now) || silent(now)) return false;
  return !onProbation_ || waiting_ == 0;
}

void ReplicaHealth::eject(base::TimePoint now) {
  // Failures of requests that were sent before the ejection do not lengthen it.
  if (ejected(now)) return;
  nextEjection_ = nextEjection_.count() == 0
                      ? options_.firstEjection
                      : std::min(2 * nextEjection_, options_.longestEjection);
  ejectedUntil_ = now + nextEjection_;
  onProbation_ = true;
}

}  // namespace covewing::routing
