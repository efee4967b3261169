/// \file
/// Notices that one instance of a replica has given about itself, in responses or in its entry:
/// that it is leaving, until when this node must back off, and how many requests it accepts from
/// all nodes together.
///
/// States of the back-off: none -> backing off until its end -> to be probed, with one request at a
/// time -> none once a request was not rejected, or backing off again. Without the probe, all
/// requests that waited for the end of the back-off would arrive at once at a replica that may
/// still be overloaded.
#pragma once

#include <algorithm>
#include <utility>

#include "base/time.h"
#include "routing/instance_rate_limit.h"

namespace covewing::routing {

class InstanceNotices {
 public:
  /// Records that the instance is leaving. This is final for the instance: an instance that is
  /// leaving ends, so any contrary message that arrives later is older. Returns true if it was not
  /// known before.
  bool recordLeaving() { return !std::exchange(leaving_, true); }
  bool leaving() const { return leaving_; }

  /// The instance accepts no requests from this node until the given time. Of several end times the
  /// latest counts: a response that was overtaken must not shorten a back-off that a later one
  /// requested.
  void startBackOff(base::TimePoint until) {
    backOffUntil_ = std::max(backOffUntil_, until);
    probed_ = false;
  }
  bool backingOff(base::TimePoint now) const { return now < backOffUntil_; }
  base::TimePoint backOffUntil() const { return backOffUntil_; }
  /// The back-off is over and the one request that probes the instance is in flight.
  bool probing() const { return probeInFlight_; }

  /// A request is sent. Returns true if it is the probe; endProbe must then be called exactly once,
  /// when its response started or can no longer start.
  bool beginProbe() {
    if (probed_) return false;
    probeInFlight_ = true;
    return true;
  }
  /// `accepted`: the instance did not reject the request.
  void endProbe(bool accepted) {
    probeInFlight_ = false;
    probed_ = probed_ || accepted;
  }

  InstanceRateLimit& rateLimit() { return rateLimit_; }
  const InstanceRateLimit& rateLimit() const { return rateLimit_; }

 private:
  bool leaving_ = false;
  base::TimePoint backOffUntil_{};
  /// Whether it has accepted a request since its last back-off.
  bool probed_ = true;
  bool probeInFlight_ = false;
  InstanceRateLimit rateLimit_;
};

}  // namespace covewing::routing
