/// \file
/// Times the pieces of one attempt's stream as they reach this node.
#pragma once

#include <algorithm>
#include <optional>

#include "base/time.h"
#include "routing/replica_speed_model.h"

namespace covewing::request {

class StreamWatch {
 public:
  /// A piece of the stream arrived.
  void onChunk(base::TimePoint now) {
    if (!firstAt_) firstAt_ = now;
    if (lastAt_) {
      ++observed_.pauses;
      observed_.longestPause = std::max(observed_.longestPause, now - *lastAt_);
    }
    lastAt_ = now;
    observed_.streamed = now - *firstAt_;
  }
  /// This node stopped reading, or reads again: the time between says nothing of the replica.
  void onReadingPaused() { lastAt_.reset(); }

  const routing::StreamObservation& observed() const { return observed_; }

 private:
  routing::StreamObservation observed_;
  std::optional<base::TimePoint> firstAt_;
  std::optional<base::TimePoint> lastAt_;
};

}  // namespace covewing::request
