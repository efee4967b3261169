/// \file
/// Resource use of nodes for control: bytes by purpose, and CPU time.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace covewing::capacity {

/// Purpose of a node's control bytes: first the channels between nodes, in the order of their
/// numbers, then engines and platform services.
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
/// Name of the purpose in reports, such as "engine_reports".
std::string_view toString(Traffic traffic);

/// Totals of one node since its start, or differences of such totals.
struct Usage {
  /// Bytes sent plus received, including network headers, by Traffic.
  std::array<double, kTrafficCount> bytes{};
  double sentBytes = 0;
  double receivedBytes = 0;
  double cpuNanoseconds = 0;

  double totalBytes() const;
  Usage& operator+=(const Usage& other);
  Usage& operator-=(const Usage& other);
  Usage& operator/=(double divisor);
};

/// Distribution of one figure over the nodes of a fleet.
struct Spread {
  double mean = 0;
  double p99 = 0;
  double worst = 0;
};
/// Returns zeros if `values` is empty. `p99` is the nearest-rank quantile.
Spread spreadOf(std::vector<double> values);

}  // namespace covewing::capacity
