/// \file
/// Measures the time between the chunks of an attempt's stream as they arrive at this node.
#pragma once

#include <algorithm>
#include <optional>

#include "base/time.h"
#include "routing/replica_speed_model.h"

namespace covewing::request {

class StreamWatch {
 public:
  /// Records the arrival of a chunk.
  void onChunk(base::TimePoint now) {
    if (!firstAt_) firstAt_ = now;
    if (lastAt_) {
      ++observed_.pauses;
      observed_.longestPause = std::max(observed_.longestPause, now - *lastAt_);
    }
    lastAt_ = now;
    observed_.streamed = now - *firstAt_;
  }
  /// Called when this node stops or resumes reading. The time without reading is not attributed to
  /// the replica.
  void onReadingPaused() { lastAt_.reset(); }

  const routing::StreamObservation& observed() const { return observed_; }

 private:
  routing::StreamObservation observed_;
  std::optional<base::TimePoint> firstAt_;
  std::optional<base::TimePoint> lastAt_;
};

}  // namespace covewing::request
