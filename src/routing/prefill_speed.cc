#include "routing/prefill_speed.h"

#include <algorithm>

namespace covewing::routing {

void PrefillSpeed::record(std::uint32_t tokens, base::Duration took) {
  constexpr std::uint32_t kMinimumTokens = 500;
  constexpr double kSmoothing = 0.2;
  constexpr double kUpwardSmoothing = 0.01;
  if (tokens < kMinimumTokens) return;
  const double perToken = static_cast<double>(took.count()) / tokens;
  perToken_ += kSmoothing * (perToken - perToken_);
  minimumPerToken_ =
      std::min(perToken, minimumPerToken_ + kUpwardSmoothing * (perToken - minimumPerToken_));
}

}  // namespace covewing::routing
