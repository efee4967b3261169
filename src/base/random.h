/// \file
/// Injected source of random numbers. Equal seeds give equal runs on every machine: only the
/// integer functions below are used for decisions, never the implementation-defined std
/// distributions.
#pragma once

#include <cstdint>
#include <random>

#include "base/time.h"

namespace covewing::base {

/// Source of random numbers of one node.
class RandomSource {
 public:
  virtual ~RandomSource() = default;
  /// A uniformly distributed 64-bit number.
  virtual std::uint64_t next() = 0;

  /// Uniform in [0, bound); 0 where bound is 0.
  std::uint64_t below(std::uint64_t bound);
  /// Uniform in [0, 1).
  double unit();
  /// Uniform in [base * (1 - spread), base * (1 + spread)]; jitter for periodic work.
  Duration jittered(Duration base, double spread);
};

/// Deterministic source on the standard 64-bit Mersenne twister.
class SeededRandom final : public RandomSource {
 public:
  explicit SeededRandom(std::uint64_t seed) : engine_(seed) {}
  std::uint64_t next() override { return engine_(); }

 private:
  std::mt19937_64 engine_;
};

}  // namespace covewing::base
