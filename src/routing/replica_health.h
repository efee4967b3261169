/// \file
/// What a node has seen of one replica's answers, and whether it should get requests.
///
/// States: healthy -> (a connection fails, or failures in a row, or a failure rate far above the
/// service's) ejected for a time that doubles with each ejection -> on probation, one request at a
/// time -> healthy after a success. A replica that is silent while requests wait for its first byte
/// is not chosen while that lasts.
#pragma once

#include <cstdint>

#include "base/time.h"

namespace covewing::routing {

struct ReplicaHealthOptions {
  base::Duration firstEjection = std::chrono::milliseconds(400);
  base::Duration maximumEjection = std::chrono::seconds(4);
  /// Failures in a row that eject.
  std::uint32_t consecutiveFailures = 3;
  /// Weight of the newest outcome in the failure rate.
  double smoothing = 0.12;
  /// Failure rate above the service's that ejects.
  double excessRate = 0.3;
  /// Outcomes before the failure rate counts.
  std::uint32_t minimumOutcomes = 6;
  /// Silence, beyond the work of the requests that wait, after which nothing more is sent.
  base::Duration unresponsiveAfter = std::chrono::milliseconds(700);
  /// Intervals of a rate limit that are added to it.
  std::int64_t graceIntervals = 2;
};

class ReplicaHealth {
 public:
  explicit ReplicaHealth(ReplicaHealthOptions options = {}) : options_(options) {}

  /// A request was sent and its answer has not begun; `work` is what it takes until then when
  /// nothing else runs.
  void onDispatched(base::TimePoint now, base::Duration work = {});
  /// The wait for the answer's first byte ended, in whatever way.
  void onWaitEnded(base::TimePoint now, base::Duration work = {});
  /// Bytes came from the replica.
  void onBytesReceived(base::TimePoint now);
  /// A whole answer that was no failure.
  void onSuccess(base::TimePoint now);
  /// The replica answered with a failure of its own, broke off or did not answer.
  /// `serviceRate` is the failure rate of the service's other replicas.
  void onFailure(base::TimePoint now, double serviceRate);
  /// No connection could be had.
  void onUnreachable(base::TimePoint now);

  /// The replica gets a request only each `interval`, by its rate limit; zero without one. One that
  /// waits long tells less then, and little can be lost meanwhile: it counts as silent later.
  void setInterval(base::Duration interval) { interval_ = interval; }

  /// May be chosen now: neither ejected nor silent; on probation with nothing else under way.
  bool available(base::TimePoint now) const;
  bool ejected(base::TimePoint now) const { return now < ejectedUntil_; }
  bool unresponsive(base::TimePoint now) const;
  double failureRate() const { return failureRate_; }
  /// How long the replica has been quiet while requests wait for their answers to begin.
  base::Duration currentWait(base::TimePoint now) const {
    return waiting_ > 0 ? now - inactiveSince_ : base::Duration::zero();
  }
  std::uint32_t waiting() const { return waiting_; }

 private:
  void eject(base::TimePoint now);

  ReplicaHealthOptions options_;
  std::uint32_t waiting_ = 0;
  /// Work of the requests that wait.
  base::Duration waitingWork_{};
  base::Duration interval_{};
  /// When something was last heard, or the first of the waiting requests was sent.
  base::TimePoint inactiveSince_{};
  std::uint32_t consecutiveFailures_ = 0;
  std::uint32_t outcomes_ = 0;
  double failureRate_ = 0;
  base::Duration nextEjection_{};
  base::TimePoint ejectedUntil_{};
  bool onProbation_ = false;
};

}  // namespace covewing::routing
