#include "admission/granted_runs.h"

#include <algorithm>

namespace covewing::admission {

namespace {

/// Maximum number of runs kept if the caller does not report their true number.
constexpr std::size_t kMaximumRuns = 1024;

}  // namespace

void GrantedRuns::onGrant(const GrantedRun& run) {
  trim(kMaximumRuns - 1);
  const auto position = std::upper_bound(
      runs_.begin(), runs_.end(), run,
      [](const GrantedRun& a, const GrantedRun& b) { return a.expectedEnd < b.expectedEnd; });
  runs_.insert(position, run);
}

void GrantedRuns::trim(std::size_t slotsInUse) {
  if (runs_.size() <= slotsInUse) return;
  runs_.erase(runs_.begin(), runs_.end() - static_cast<std::ptrdiff_t>(slotsInUse));
}

FreeCapacity GrantedRuns::heldBy(std::uint32_t urgency) const {
  FreeCapacity held;
  for (const GrantedRun& run : runs_) {
    if (run.urgency != urgency) continue;
    ++held.slots;
    held.tokens += run.tokens;
  }
  return held;
}

FutureCapacity GrantedRuns::whenFree(const FreeCapacity& need, FreeCapacity free,
                                     base::TimePoint now) const {
  base::TimePoint at = now;
  for (const GrantedRun& run : runs_) {
    if (free.slots >= need.slots && free.tokens >= need.tokens) break;
    ++free.slots;
    free.tokens += run.tokens;
    at = std::max(at, run.expectedEnd);
  }
  return {at, {free.slots - need.slots, free.tokens - need.tokens}};
}

}  // namespace covewing::admission
