/// \file
/// How long a replica takes to read a prompt, learned from its answers.
#pragma once

#include <cstdint>

#include "base/time.h"

namespace covewing::routing {

class PrefillSpeed {
 public:
  /// It took so long from the dispatch of a request until its answer began, with so many tokens to
  /// read. Short prompts are left out: they tell more of the queue than of the reading.
  void learn(std::uint32_t tokens, base::Duration took);

  /// Expected time for so many tokens, usual queues included.
  base::Duration time(std::uint64_t tokens) const { return scaled(perToken_, tokens); }
  /// The same when nothing else waits: from the quickest answers.
  base::Duration minimumTime(std::uint64_t tokens) const {
    return scaled(minimumPerToken_, tokens);
  }

 private:
  static base::Duration scaled(double perToken, std::uint64_t tokens) {
    return base::Duration{static_cast<base::Duration::rep>(perToken * static_cast<double>(tokens))};
  }

  /// Microseconds a token. The first value is slower than replicas are.
  double perToken_ = 60;
  /// Follows shorter times at once and longer ones slowly.
  double minimumPerToken_ = 60;
};

}  // namespace covewing::routing
