/// \file
/// Divides the memory of the machine between what the node needs for itself and what it may hold
/// for others. docs/CAPACITY.md has the reckoning.
#pragma once

#include <cstddef>
#include <optional>

#include "live/memory_account.h"

namespace covewing::live {

/// Bytes in a megabyte of the settings.
inline constexpr std::size_t kMegabyte = 1'000'000;
/// Maximum that is set aside for the program, its tables of replicas, parts and other nodes, and
/// connections.
inline constexpr std::size_t kOwnMemoryBytes = 32 * kMegabyte;

struct MemoryPlan {
  /// Memory of the machine in bytes.
  std::size_t machine = 0;
  /// What may be held for others.
  MemoryBounds bounds;
  /// Maximum number of callers' connections, by the memory that each takes by itself.
  std::size_t callerConnections = 0;
};

/// Divides `machineBytes`. On small machines the part for the node itself shrinks in proportion.
MemoryPlan divideMemory(std::size_t machineBytes);

/// Memory of the machine in bytes as the operating system reports it now; empty if it does not.
std::optional<std::size_t> machineMemory();

/// Divides `machineBytes` or, if that is 0, the memory that the operating system reports.
MemoryPlan planMemory(std::size_t machineBytes);

}  // namespace covewing::live
