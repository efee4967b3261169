#include "capacity/usage.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace covewing::capacity {

std::string_view toString(Traffic traffic) {
  switch (traffic) {
    case Traffic::kMembership:
      return "membership";
    case Traffic::kConfiguration:
      return "configuration";
    case Traffic::kCacheIndex:
      return "cache_index";
    case Traffic::kCoordination:
      return "coordination";
    case Traffic::kAdmission:
      return "admission";
    case Traffic::kClaims:
      return "claims";
    case Traffic::kEngineReports:
      return "engine_reports";
    case Traffic::kOrders:
      return "orders";
    case Traffic::kTable:
      return "table";
    case Traffic::kObjectStore:
      return "object_store";
    case Traffic::kMachineList:
      return "machine_list";
  }
  return "unknown";
}

double Usage::totalBytes() const { return std::accumulate(bytes.begin(), bytes.end(), 0.0); }

Usage& Usage::operator+=(const Usage& other) {
  for (std::size_t index = 0; index < kTrafficCount; ++index) {
    bytes.at(index) += other.bytes.at(index);
  }
  sentBytes += other.sentBytes;
  receivedBytes += other.receivedBytes;
  cpuNanoseconds += other.cpuNanoseconds;
  return *this;
}

Usage& Usage::operator-=(const Usage& other) {
  for (std::size_t index = 0; index < kTrafficCount; ++index) {
    bytes.at(index) -= other.bytes.at(index);
  }
  sentBytes -= other.sentBytes;
  receivedBytes -= other.receivedBytes;
  cpuNanoseconds -= other.cpuNanoseconds;
  return *this;
}

Usage& Usage::operator/=(double divisor) {
  for (double& value : bytes) value /= divisor;
  sentBytes /= divisor;
  receivedBytes /= divisor;
  cpuNanoseconds /= divisor;
  return *this;
}

Spread spreadOf(std::vector<double> values) {
  Spread spread;
  if (values.empty()) return spread;
  std::ranges::sort(values);
  const auto count = static_cast<double>(values.size());
  spread.mean = std::accumulate(values.begin(), values.end(), 0.0) / count;
  constexpr double kQuantile = 0.99;
  const auto rank = static_cast<std::size_t>(std::ceil(kQuantile * count));
  spread.p99 = values.at(std::max<std::size_t>(rank, 1) - 1);
  spread.worst = values.back();
  return spread;
}

}  // namespace covewing::capacity
