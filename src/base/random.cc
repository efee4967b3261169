#include "base/random.h"

namespace covewing::base {

namespace {
constexpr double kUnitScale =
    1.0 / 9007199254740992.0;  // 2^-53: the 53 bits a double holds exactly
constexpr int kUnitShift = 11;
}  // namespace

std::uint64_t RandomSource::below(std::uint64_t bound) {
  if (bound == 0) return 0;
  const auto product = static_cast<unsigned __int128>(next()) * bound;
  return static_cast<std::uint64_t>(product >> 64U);
}

double RandomSource::unit() { return static_cast<double>(next() >> kUnitShift) * kUnitScale; }

Duration RandomSource::jittered(Duration base, double spread) {
  const double factor = 1.0 + spread * (2.0 * unit() - 1.0);
  return Duration{static_cast<Duration::rep>(static_cast<double>(base.count()) * factor)};
}

}  // namespace covewing::base
