#include "routing/prefill_speed.h"

#include <algorithm>

namespace covewing::routing {

void PrefillSpeed::learn(std::uint32_t tokens, base::Duration took) {
  constexpr std::uint32_t kLeastTokens = 500;
  constexpr double kSmoothing = 0.2;
  constexpr double kRising = 0.01;
  if (tokens < kLeastTokens) return;
  const double perToken = static_cast<double>(took.count()) / tokens;
  perToken_ += kSmoothing * (perToken - perToken_);
  leastPerToken_ = std::min(perToken, leastPerToken_ + kRising * (perToken - leastPerToken_));
}

}  // namespace covewing::routing
