#include "live/descriptor_budget.h"

#include <sys/resource.h>

#include <algorithm>

namespace covewing::live {

DescriptorBudget divideDescriptors(std::size_t limit) {
  DescriptorBudget budget;
  budget.limit = limit;
  budget.reserve = std::min(kReserveDescriptors, limit / 2);
  budget.callerConnections =
      std::clamp<std::size_t>(limit - budget.reserve, 1, kMaximumCallerConnections);
  budget.peerRelayConnections =
      std::max<std::size_t>(budget.reserve * kPeerRelayDescriptors / kReserveDescriptors, 1);
  return budget;
}

std::size_t descriptorLimit() {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  return limit.rlim_cur;
}

}  // namespace covewing::live
