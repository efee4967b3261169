#include "admission/capacity_snapshot.h"

#include <algorithm>
#include <limits>

namespace covewing::admission {

namespace {

/// Assumed if neither the request nor the replica provides a value; runs take 0.2 to 2.5 s.
constexpr base::Duration kAssumedRunTime = std::chrono::milliseconds(500);
/// Longer run times are treated as this long, so that a single wrong value does not block the
/// queue.
constexpr base::Duration kMaximumRunTime = std::chrono::seconds(60);
constexpr std::int64_t kNoLimit = std::numeric_limits<std::int64_t>::max() / 4;

std::int64_t remaining(std::uint64_t all, std::uint64_t inUse) {
  if (all == 0) return kNoLimit;
  return inUse >= all ? 0 : static_cast<std::int64_t>(all - inUse);
}

}  // namespace

base::Duration fromSeconds(double seconds) {
  constexpr double kMaximumSeconds = 3600.0;
  return base::Duration(
      static_cast<base::Duration::rep>(std::clamp(seconds, 0.0, kMaximumSeconds) * 1e6));
}

CapacitySnapshot::CapacitySnapshot(const ReplicaCapacity& capacity)
    : slots(capacity.slots()),
      slotsInUse(capacity.slotsInUse()),
      memory(std::min<std::uint64_t>(capacity.memory(), kNoLimit)),
      memoryInUse(capacity.memoryInUse()),
      meanRunTime(capacity.meanRunTime()) {
  meanRunTime = meanRunTime <= base::Duration::zero() ? kAssumedRunTime
                                                      : std::min(meanRunTime, kMaximumRunTime);
}

base::Duration CapacitySnapshot::runTimeOf(const QueueCost& cost) const {
  return cost.runTime <= base::Duration::zero() ? meanRunTime
                                                : std::min(cost.runTime, kMaximumRunTime);
}

double CapacitySnapshot::shareOf(const QueueCost& cost) const {
  const std::uint32_t slotCount = slots != 0 ? slots : std::max<std::uint32_t>(slotsInUse, 1);
  const double slotShare = 1.0 / slotCount;
  const double memoryShare =
      memory != 0 ? static_cast<double>(cost.tokens) / static_cast<double>(memory) : 0.0;
  return std::min(1.0, std::max(slotShare, memoryShare));
}

Work CapacitySnapshot::workOf(const QueueCost& cost) const {
  const double seconds = base::toSeconds(runTimeOf(cost));
  return {seconds, seconds * cost.tokens, seconds * shareOf(cost)};
}

FreeCapacity CapacitySnapshot::total() const { return {remaining(slots, 0), remaining(memory, 0)}; }

FreeCapacity CapacitySnapshot::free() const {
  return {remaining(slots, slotsInUse), remaining(memory, memoryInUse)};
}

}  // namespace covewing::admission
