#include "live/descriptor_budget.h"

#include <sys/resource.h>

#include <algorithm>

namespace covewing::live {

namespace {

/// Two in this many descriptors are the most that kFixedDescriptors takes.
constexpr std::size_t kFixedShare = 5;

}  // namespace

DescriptorBudget divideDescriptors(std::size_t limit, std::size_t maximumCallerConnections) {
  DescriptorBudget budget;
  budget.limit = limit;
  const auto fixed = std::min(kFixedDescriptors, limit / kFixedShare * 2);
  const auto maximum =
      std::clamp<std::size_t>(maximumCallerConnections, 1, kMaximumCallerConnections);
  budget.callerConnections = std::clamp<std::size_t>((limit - fixed) / 2, 1, maximum);
  budget.reserve = limit - budget.callerConnections;
  budget.peerRelayConnections =
      std::max<std::size_t>(fixed * kPeerRelayDescriptors / kFixedDescriptors, 1);
  return budget;
}

std::size_t descriptorLimit() {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  return limit.rlim_cur;
}

}  // namespace covewing::live
