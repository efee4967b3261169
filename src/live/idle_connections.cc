#include "live/idle_connections.h"

#include <algorithm>

namespace covewing::live {

std::shared_ptr<Connection> IdleConnections::takeOldest(const ConnectionMap& open,
                                                        base::TimePoint now) {
  if (auto connection = takeCandidate()) return connection;
  collect(open, now);
  return takeCandidate();
}

std::shared_ptr<Connection> IdleConnections::takeCandidate() {
  while (!candidates_.empty()) {
    const auto candidate = std::move(candidates_.back());
    candidates_.pop_back();
    auto connection = candidate.connection.lock();
    if (connection && connection->idleSince() == candidate.idleSince) return connection;
  }
  return nullptr;
}

void IdleConnections::collect(const ConnectionMap& open, base::TimePoint now) {
  for (const auto& [key, connection] : open) {
    const auto since = connection->idleSince();
    if (!since) continue;
    const bool lingering = connection->lingering();
    if (lingering || now - *since >= kMinimumIdleTime)
      candidates_.push_back({connection, *since, lingering});
  }
  std::ranges::sort(candidates_, [](const Candidate& left, const Candidate& right) {
    if (left.lingering != right.lingering) return right.lingering;
    return left.idleSince > right.idleSince;
  });
}

}  // namespace covewing::live
