/// \file
/// What one run of a replica has said of itself, in answers or in its entry: that it leaves, until
/// when it wants no requests from this node, and how many it takes from all nodes together.
///
/// States of the rest: none -> resting until its end -> to be tried, with one request at a time ->
/// none once one was not turned away, or resting again. All that waited for the end would otherwise
/// come at once to a replica that may still have too much.
#pragma once

#include <algorithm>
#include <utility>

#include "base/time.h"
#include "routing/instance_rate_limit.h"

namespace covewing::routing {

class InstanceNotices {
 public:
  /// The run leaves. Holds for as long as the run lives: whatever is read later is older, as a run
  /// that leaves ends. True where this is news.
  bool recordLeaving() { return !std::exchange(leaving_, true); }
  bool leaving() const { return leaving_; }

  /// The run wants no requests from this node until then. Of several ends the latest counts: an
  /// answer that was overtaken must not shorten what a later one asked for.
  void startBackOff(base::TimePoint until) {
    backOffUntil_ = std::max(backOffUntil_, until);
    probed_ = false;
  }
  bool backingOff(base::TimePoint now) const { return now < backOffUntil_; }
  base::TimePoint backOffUntil() const { return backOffUntil_; }
  /// The run has rested, and the one request that tries it is under way.
  bool probing() const { return probeInFlight_; }

  /// A request is sent. True where it tries the run; call endProbe then once, when its answer began
  /// or will not.
  bool beginProbe() {
    if (probed_) return false;
    probeInFlight_ = true;
    return true;
  }
  /// `taken`: the run did not turn the request away.
  void endProbe(bool accepted) {
    probeInFlight_ = false;
    probed_ = probed_ || accepted;
  }

  InstanceRateLimit& rateLimit() { return rateLimit_; }
  const InstanceRateLimit& rateLimit() const { return rateLimit_; }

 private:
  bool leaving_ = false;
  base::TimePoint backOffUntil_{};
  /// It has taken a request since its last rest.
  bool probed_ = true;
  bool probeInFlight_ = false;
  InstanceRateLimit rateLimit_;
};

}  // namespace covewing::routing
