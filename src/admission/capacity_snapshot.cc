#include "admission/capacity_snapshot.h"

#include <algorithm>
#include <limits>

namespace covewing::admission {

namespace {

/// Taken where neither the request nor the replica knows; runs last 0.2 to 2.5 s.
constexpr base::Duration kAssumedRun = std::chrono::milliseconds(500);
/// Longer runs count as this long, so that one wrong figure does not stop the queue.
constexpr base::Duration kLongestRun = std::chrono::seconds(60);
constexpr std::int64_t kNoLimit = std::numeric_limits<std::int64_t>::max() / 4;

std::int64_t left(std::uint64_t all, std::uint64_t taken) {
  if (all == 0) return kNoLimit;
  return taken >= all ? 0 : static_cast<std::int64_t>(all - taken);
}

}  // namespace

base::Duration fromSeconds(double seconds) {
  constexpr double kMostSeconds = 3600.0;
  return base::Duration(
      static_cast<base::Duration::rep>(std::clamp(seconds, 0.0, kMostSeconds) * 1e6));
}

RoomFigures::RoomFigures(const ReplicaCapacity& room)
    : slots(room.slots()),
      taken(room.slotsInUse()),
      memory(std::min<std::uint64_t>(room.memory(), kNoLimit)),
      memoryTaken(room.memoryInUse()),
      runTime(room.meanRunTime()) {
  runTime = runTime <= base::Duration::zero() ? kAssumedRun : std::min(runTime, kLongestRun);
}

base::Duration RoomFigures::runOf(const QueueCost& cost) const {
  return cost.run <= base::Duration::zero() ? runTime : std::min(cost.run, kLongestRun);
}

double RoomFigures::shareOf(const QueueCost& cost) const {
  const std::uint32_t places = slots != 0 ? slots : std::max<std::uint32_t>(taken, 1);
  const double bySlot = 1.0 / places;
  const double byMemory =
      memory != 0 ? static_cast<double>(cost.tokens) / static_cast<double>(memory) : 0.0;
  return std::min(1.0, std::max(bySlot, byMemory));
}

Work RoomFigures::workOf(const QueueCost& cost) const {
  const double seconds = base::toSeconds(runOf(cost));
  return {seconds, seconds * cost.tokens, seconds * shareOf(cost)};
}

FreeRoom RoomFigures::whole() const { return {left(slots, 0), left(memory, 0)}; }

FreeRoom RoomFigures::free() const { return {left(slots, taken), left(memory, memoryTaken)}; }

}  // namespace covewing::admission
