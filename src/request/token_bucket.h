/// \file
/// Bound of a rate: tokens come at a steady rate up to a burst.
#pragma once

#include <algorithm>

#include "base/time.h"

namespace covewing::request {

class TokenBucket {
 public:
  /// `rate` in tokens a second, above 0 before `take` is called; starts full.
  TokenBucket(double rate, double burst, base::TimePoint now)
      : rate_(rate), burst_(burst), tokens_(burst), filledAt_(now) {}

  void setRate(double rate) { rate_ = rate; }

  /// Takes a token and returns zero; else the time until there is one.
  base::Duration take(base::TimePoint now) {
    tokens_ = std::min(burst_, tokens_ + rate_ * base::toSeconds(now - filledAt_));
    filledAt_ = now;
    if (tokens_ >= 1.0) {
      tokens_ -= 1.0;
      return base::Duration::zero();
    }
    constexpr double kMicroseconds = 1'000'000.0;
    const double seconds = (1.0 - tokens_) / rate_;
    return base::Duration{static_cast<base::Duration::rep>(seconds * kMicroseconds) + 1};
  }

 private:
  double rate_;
  double burst_;
  double tokens_;
  base::TimePoint filledAt_;
};

}  // namespace covewing::request
