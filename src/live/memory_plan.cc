#include "live/memory_plan.h"

#include <algorithm>
#include <fstream>
#include <string>

namespace covewing::live {

namespace {

/// Where the operating system does not report its memory.
constexpr std::size_t kAssumedMachineBytes = 256 * kMegabyte;
/// Parts in a hundred.
constexpr std::size_t kHundred = 100;
constexpr std::size_t kOwnPercent = 37;
/// Of the machine, for what an allocator loses between the blocks that are in use.
constexpr std::size_t kAllocatorPercent = 13;
/// Of what may be held for others.
constexpr std::size_t kBodiesPercent = 40;
constexpr std::size_t kResponsesPercent = 20;
constexpr std::size_t kPeersPercent = 20;
constexpr std::size_t kConnectionsPercent = 25;
/// Memory of an idle connection in bytes.
constexpr std::size_t kConnectionBytes = 8000;
constexpr std::size_t kKilobyte = 1024;

std::size_t percentOf(std::size_t bytes, std::size_t percent) { return bytes / kHundred * percent; }

}  // namespace

MemoryPlan divideMemory(std::size_t machineBytes) {
  MemoryPlan plan;
  plan.machine = machineBytes;
  const auto own = std::min(kOwnMemoryBytes, percentOf(machineBytes, kOwnPercent));
  const auto total = machineBytes - own - percentOf(machineBytes, kAllocatorPercent);
  plan.bounds.total = total;
  plan.bounds.shares = {total, percentOf(total, kBodiesPercent),
                        percentOf(total, kResponsesPercent), percentOf(total, kPeersPercent)};
  plan.callerConnections =
      std::max<std::size_t>(percentOf(total, kConnectionsPercent) / kConnectionBytes, 1);
  return plan;
}

std::optional<std::size_t> machineMemory() {
  std::ifstream file("/proc/meminfo");
  std::string name;
  std::size_t kilobytes = 0;
  file >> name >> kilobytes;
  if (!file || name != "MemTotal:") return std::nullopt;
  return kilobytes * kKilobyte;
}

MemoryPlan planMemory(std::size_t machineBytes) {
  if (machineBytes > 0) return divideMemory(machineBytes);
  return divideMemory(machineMemory().value_or(kAssumedMachineBytes));
}

}  // namespace covewing::live
