/// \file
/// Health of one replica as observed by a node from its responses; determines whether it should
/// receive requests.
///
/// States: healthy -> (a connection fails, several failures in a row, or a failure rate far above
/// that of the service) ejected for a time that doubles with each ejection -> on probation, one
/// request at a time -> healthy after a success. A replica that is unresponsive while requests wait
/// for their first byte is not selected while that lasts.
#pragma once

#include <cstdint>

#include "base/time.h"

namespace covewing::routing {

struct ReplicaHealthOptions {
  base::Duration firstEjection = std::chrono::milliseconds(400);
  base::Duration maximumEjection = std::chrono::seconds(4);
  /// Maximum ejection of a replica that could not be reached. Links are probed apart
  /// (routing/replica_links.h), so that trying one again costs little, and a service whose replicas
  /// were all silent for a moment is not left without any for seconds.
  base::Duration maximumUnreachableEjection = std::chrono::milliseconds(800);
  /// Number of consecutive failures that cause an ejection.
  std::uint32_t consecutiveFailures = 3;
  /// Weight of the newest outcome in the failure rate.
  double smoothing = 0.12;
  /// Excess of the failure rate over that of the service that causes an ejection.
  double excessRate = 0.3;
  /// Minimum number of outcomes for the failure rate to count.
  std::uint32_t minimumOutcomes = 6;
  /// Time without data, in addition to the expected work of the waiting requests, after which no
  /// more requests are sent.
  base::Duration unresponsiveAfter = std::chrono::milliseconds(700);
  /// Number of rate-limit intervals that are added to this time.
  std::int64_t graceIntervals = 2;
};

class ReplicaHealth {
 public:
  explicit ReplicaHealth(ReplicaHealthOptions options = {}) : options_(options) {}

  /// A request was sent and its response has not started; `work` is the expected time until it
  /// starts if nothing else runs there.
  void onDispatched(base::TimePoint now, base::Duration work = {});
  /// The wait for the first byte of the response ended, for whatever reason.
  void onWaitEnded(base::TimePoint now, base::Duration work = {});
  /// Data arrived from the replica.
  void onBytesReceived(base::TimePoint now);
  /// A complete response that was not a failure.
  void onSuccess(base::TimePoint now);
  /// The replica responded with an error of its own, broke off, or did not respond. `serviceRate`
  /// is the failure rate of the service's other replicas.
  void onFailure(base::TimePoint now, double serviceRate);
  /// No connection could be established.
  void onUnreachable(base::TimePoint now);
  /// A connection can be established again: ends an ejection for the lack of one.
  void onReachable(base::TimePoint now);

  /// Because of its rate limit the replica receives one request per `interval`; zero without a
  /// limit. A single waiting request is then weaker evidence and little can be lost in the
  /// meantime, so the replica counts as unresponsive later.
  void setInterval(base::Duration interval) { interval_ = interval; }

  /// Whether the replica may be selected now: neither ejected nor unresponsive, and if on probation
  /// with no other request waiting.
  bool available(base::TimePoint now) const;
  bool ejected(base::TimePoint now) const { return now < ejectedUntil_; }
  bool unresponsive(base::TimePoint now) const;
  double failureRate() const { return failureRate_; }
  /// How long the replica has sent nothing while requests wait for their responses to start.
  base::Duration currentWait(base::TimePoint now) const {
    return waiting_ > 0 ? now - inactiveSince_ : base::Duration::zero();
  }
  std::uint32_t waiting() const { return waiting_; }

 private:
  void eject(base::TimePoint now, base::Duration maximum);

  ReplicaHealthOptions options_;
  std::uint32_t waiting_ = 0;
  /// Expected work of the waiting requests.
  base::Duration waitingWork_{};
  base::Duration interval_{};
  /// When data last arrived, or the first of the waiting requests was sent.
  base::TimePoint inactiveSince_{};
  std::uint32_t consecutiveFailures_ = 0;
  std::uint32_t outcomes_ = 0;
  double failureRate_ = 0;
  base::Duration nextEjection_{};
  base::TimePoint ejectedUntil_{};
  bool onProbation_ = false;
  /// The latest ejection was for the lack of a connection.
  bool ejectedAsUnreachable_ = false;
};

}  // namespace covewing::routing
