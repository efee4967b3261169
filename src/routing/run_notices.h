/// \file
/// What one run of a replica has said of itself, in answers or in its entry: that it leaves, and
/// until when it wants no requests from this node.
#pragma once

#include <algorithm>
#include <utility>

#include "base/time.h"

namespace covewing::routing {

class RunNotices {
 public:
  /// The run leaves. Holds for as long as the run lives: whatever is read later is older, as a run
  /// that leaves ends. True where this is news.
  bool noteLeaving() { return !std::exchange(leaving_, true); }
  bool leaving() const { return leaving_; }

  /// The run wants no requests from this node until then. Of several ends the latest counts: an
  /// answer that was overtaken must not shorten what a later one asked for.
  void noteRest(base::TimePoint until) { restsUntil_ = std::max(restsUntil_, until); }
  bool resting(base::TimePoint now) const { return now < restsUntil_; }
  base::TimePoint restsUntil() const { return restsUntil_; }

 private:
  bool leaving_ = false;
  base::TimePoint restsUntil_{};
};

}  // namespace covewing::routing
