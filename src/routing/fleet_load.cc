#include "routing/fleet_load.h"

#include <algorithm>
#include <utility>

namespace covewing::routing {

ReplicaLoad& ReplicaLoad::operator+=(const ReplicaLoad& other) {
  requests += other.requests;
  tokens += other.tokens;
  pendingPrefillTokens += other.pendingPrefillTokens;
  return *this;
}

void FleetLoad::onUpdate(base::NodeId node, base::Incarnation incarnation, std::uint64_t sequence,
                         LoadByReplica load, base::TimePoint now) {
  std::erase_if(nodes_, [&](const auto& entry) { return !isCurrent(entry.second, now); });
  auto& recorded = nodes_[node];
  const std::pair received{incarnation, sequence};
  if (received <= std::pair{recorded.incarnation, recorded.sequence}) return;
  recorded = {incarnation, sequence, now, std::move(load)};
}

ReplicaLoad FleetLoad::loadOfOtherNodes(base::EngineId replica, base::TimePoint now) const {
  ReplicaLoad sum;
  for (const auto& [id, node] : nodes_) {
    if (!isCurrent(node, now)) continue;
    const auto entry = node.load.find(replica);
    if (entry != node.load.end()) sum += entry->second;
  }
  return sum;
}

std::size_t FleetLoad::reportingNodes(base::TimePoint now) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      nodes_, [&](const auto& entry) { return isCurrent(entry.second, now); }));
}

}  // namespace covewing::routing
