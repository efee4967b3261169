/// \file
/// The figures of one replica's room, read once for a decision, and what a request takes of it.
#pragma once

#include <cstdint>

#include "admission/arrival_rates.h"
#include "admission/granted_runs.h"
#include "admission/queue_entry.h"
#include "base/time.h"

namespace covewing::admission {

/// At least zero and at most an hour.
base::Duration fromSeconds(double seconds);

struct CapacitySnapshot {
  explicit CapacitySnapshot(const ReplicaCapacity& capacity);

  /// How long the request is expected to run.
  base::Duration runTimeOf(const QueueCost& cost) const;
  Work workOf(const QueueCost& cost) const;
  /// The larger of the request's shares of slots and memory.
  double shareOf(const QueueCost& cost) const;
  /// All slots and memory; what is not known counts as without limit.
  FreeCapacity total() const;
  /// What is free; what is not known counts as without limit.
  FreeCapacity free() const;
  bool atCapacity() const { return slots != 0 && slotsInUse >= slots; }
  /// Half of the places are free; requests are then not refused for want of room. A replica that
  /// runs nothing is free also where its slots are not known.
  bool halfFree() const { return 2 * static_cast<std::uint64_t>(slotsInUse) <= slots; }
  /// The request is larger than the replica's memory.
  bool exceedsMemory(const QueueCost& cost) const { return memory != 0 && cost.tokens > memory; }

  std::uint32_t slots = 0;
  std::uint32_t slotsInUse = 0;
  std::uint64_t memory = 0;
  std::uint64_t memoryInUse = 0;
  /// Positive, also where the caller knows none.
  base::Duration meanRunTime{};
};

}  // namespace covewing::admission
