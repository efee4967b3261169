/// \file
/// Capacity of one replica, read once per decision, and the part of it that a request uses.
#pragma once

#include <cstdint>

#include "admission/arrival_rates.h"
#include "admission/granted_runs.h"
#include "admission/queue_entry.h"
#include "base/time.h"

namespace covewing::admission {

/// Converts seconds to a duration, limited to the range from zero to one hour.
base::Duration fromSeconds(double seconds);

struct CapacitySnapshot {
  explicit CapacitySnapshot(const ReplicaCapacity& capacity);

  /// Expected run time of the request.
  base::Duration runTimeOf(const QueueCost& cost) const;
  Work workOf(const QueueCost& cost) const;
  /// The larger of the request's shares of slots and of memory.
  double shareOf(const QueueCost& cost) const;
  /// All slots and memory; unknown values count as unlimited.
  FreeCapacity total() const;
  /// Free slots and memory; unknown values count as unlimited.
  FreeCapacity free() const;
  bool atCapacity() const { return slots != 0 && slotsInUse >= slots; }
  /// At least half of the slots are free; requests are then not refused for lack of capacity. A
  /// replica that runs nothing also counts as half free if its number of slots is unknown.
  bool halfFree() const { return 2 * static_cast<std::uint64_t>(slotsInUse) <= slots; }
  /// The request is larger than the replica's memory.
  bool exceedsMemory(const QueueCost& cost) const { return memory != 0 && cost.tokens > memory; }

  std::uint32_t slots = 0;
  std::uint32_t slotsInUse = 0;
  std::uint64_t memory = 0;
  std::uint64_t memoryInUse = 0;
  /// Positive, even if the caller has no value.
  base::Duration meanRunTime{};
};

}  // namespace covewing::admission
