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

struct RoomFigures {
  explicit RoomFigures(const ReplicaCapacity& room);

  /// How long the request is expected to run.
  base::Duration runOf(const QueueCost& cost) const;
  Work workOf(const QueueCost& cost) const;
  /// The larger of the request's shares of slots and memory.
  double shareOf(const QueueCost& cost) const;
  /// All slots and memory; what is not known counts as without limit.
  FreeRoom whole() const;
  /// What is free; what is not known counts as without limit.
  FreeRoom free() const;
  bool full() const { return slots != 0 && taken >= slots; }
  /// Half of the places are free; requests are then not refused for want of room. A replica that
  /// runs nothing is free also where its slots are not known.
  bool halfFree() const { return 2 * static_cast<std::uint64_t>(taken) <= slots; }
  /// The request is larger than the replica's memory.
  bool neverFits(const QueueCost& cost) const { return memory != 0 && cost.tokens > memory; }

  std::uint32_t slots = 0;
  std::uint32_t taken = 0;
  std::uint64_t memory = 0;
  std::uint64_t memoryTaken = 0;
  /// Positive, also where the caller knows none.
  base::Duration runTime{};
};

}  // namespace covewing::admission
