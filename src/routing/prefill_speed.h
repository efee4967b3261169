/// \file
/// Estimates how long a replica takes to prefill a prompt, from the time until its responses start.
#pragma once

#include <cstdint>

#include "base/time.h"

namespace covewing::routing {

class PrefillSpeed {
 public:
  /// Records the time from the dispatch of a request until its response started, and the number of
  /// tokens that were to prefill. Short prompts are ignored: their times depend more on the queue
  /// than on the prefill.
  void record(std::uint32_t tokens, base::Duration took);

  /// Expected time to prefill this many tokens, including typical queueing.
  base::Duration time(std::uint64_t tokens) const { return scaled(perToken_, tokens); }
  /// Expected time without queueing, estimated from the fastest responses.
  base::Duration minimumTime(std::uint64_t tokens) const {
    return scaled(minimumPerToken_, tokens);
  }

 private:
  static base::Duration scaled(double perToken, std::uint64_t tokens) {
    return base::Duration{static_cast<base::Duration::rep>(perToken * static_cast<double>(tokens))};
  }

  /// Microseconds per token. The initial value is slower than real replicas are.
  double perToken_ = 60;
  /// Follows shorter times at once and longer ones slowly.
  double minimumPerToken_ = 60;
};

}  // namespace covewing::routing
