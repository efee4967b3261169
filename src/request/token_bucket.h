/// \file
/// Rate limiter: tokens are added at a constant rate, up to a maximum.
#pragma once

#include <algorithm>

#include "base/time.h"

namespace covewing::request {

class TokenBucket {
 public:
  /// `rate` is in tokens per second and must be above 0 when `take` is called. `burst` is the
  /// maximum number of tokens. The bucket starts full.
  TokenBucket(double rate, double burst, base::TimePoint now)
      : rate_(rate), burst_(burst), tokens_(burst), filledAt_(now) {}

  void setRate(double rate) { rate_ = rate; }

  /// Takes a token and returns zero. If there is none, takes nothing and returns the time until one
  /// is available.
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
