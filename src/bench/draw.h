/// \file
/// Random draws from distributions. They are computed from uniform numbers, so that equal seeds
/// give equal workloads.
#pragma once

#include <cmath>
#include <cstdint>
#include <span>

#include "base/random.h"
#include "base/time.h"

namespace covewing::bench {

/// Draws an index with a probability proportional to its weight; returns 0 if there are no weights.
inline std::size_t drawIndex(base::RandomSource& random, std::span<const double> weights) {
  double total = 0;
  for (const double weight : weights) total += weight;
  double remaining = random.unit() * total;
  for (std::size_t index = 0; index < weights.size(); ++index) {
    remaining -= weights[index];
    if (remaining < 0) return index;
  }
  return weights.empty() ? 0 : weights.size() - 1;
}

/// Draws from the uniform distribution on [low, high].
inline std::uint32_t drawBetween(base::RandomSource& random, std::uint32_t low,
                                 std::uint32_t high) {
  return low + static_cast<std::uint32_t>(random.below(high - low + 1ULL));
}

/// Draws from the exponential distribution with this mean.
inline base::Duration drawExponential(base::RandomSource& random, base::Duration mean) {
  const double factor = -std::log(1.0 - random.unit());
  return base::Duration{
      static_cast<base::Duration::rep>(static_cast<double>(mean.count()) * factor)};
}

/// Returns true with this probability.
inline bool drawChance(base::RandomSource& random, double probability) {
  return random.unit() < probability;
}

}  // namespace covewing::bench
