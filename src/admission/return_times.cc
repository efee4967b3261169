#include "admission/return_times.h"

#include <algorithm>

namespace covewing::admission {

namespace {

/// Equal for equal ids, between 0 and 1.
double fractionOf(std::uint64_t id) {
  std::uint64_t mixed = id + 0x9e3779b97f4a7c15ULL;
  mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
  mixed ^= mixed >> 31U;
  return static_cast<double>(mixed >> 11U) / static_cast<double>(1ULL << 53U);
}

base::Duration part(base::Duration whole, double fraction) {
  return base::Duration(
      static_cast<base::Duration::rep>(static_cast<double>(whole.count()) * fraction));
}

}  // namespace

base::Duration ReturnTimes::beyond(std::uint64_t id) {
  return kLongest / 2 + part(kLongest / 2, fractionOf(id));
}

std::optional<base::Duration> ReturnTimes::next(std::uint32_t urgency, std::uint64_t id,
                                                const Window& window, base::TimePoint now) {
  base::TimePoint& next = next_.at(std::min<std::size_t>(urgency, next_.size() - 1));
  const base::TimePoint from = std::max(next, now + std::max(window.earliest, base::Duration(0)));
  if (from >= now + window.latest) return std::nullopt;
  next = from + window.interval;
  return std::min(window.latest, from - now + part(window.interval, fractionOf(id)));
}

}  // namespace covewing::admission
