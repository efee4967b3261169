/// \file
/// What nodes spend on control: bytes by what they were sent for, processor time, memory.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace covewing::capacity {

/// What control bytes of a node were for: the channels between nodes, then platform services.
enum class Traffic : std::uint8_t {
  kMembership,
  kConfiguration,
  kCacheIndex,
  kCoordination,
  kAdmission,
  kClaims,
  kEngineReports,
  kOrders,
  kTable,
  kObjectStore,
  kMachineList,
};
inline constexpr std::size_t kTrafficCount = 11;
/// Name in reports, such as "engine_reports".
std::string_view toString(Traffic traffic);

/// Sums of one node since its start, or their differences over a time.
struct Usage {
  /// Sent and received together, network headers included.
  std::array<double, kTrafficCount> bytes{};
  double sentBytes = 0;
  double receivedBytes = 0;
  double cpuNanoseconds = 0;

  double totalBytes() const;
  Usage& operator+=(const Usage& other);
  Usage& operator-=(const Usage& other);
  Usage& operator/=(double divisor);
};

/// Distribution of one figure over the nodes.
struct Spread {
  double mean = 0;
  double p99 = 0;
  double worst = 0;
};
Spread spreadOf(std::vector<double> values);

}  // namespace covewing::capacity
