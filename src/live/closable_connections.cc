#include "live/closable_connections.h"

#include <algorithm>
#include <tuple>

namespace covewing::live {

std::shared_ptr<Connection> ClosableConnections::takeNext(const ConnectionMap& open,
                                                          base::TimePoint now) {
  if (auto connection = takeCandidate()) return connection;
  collect(open, now);
  return takeCandidate();
}

std::shared_ptr<Connection> ClosableConnections::takeCandidate() {
  while (!candidates_.empty()) {
    const auto candidate = std::move(candidates_.back());
    candidates_.pop_back();
    auto connection = candidate.connection.lock();
    if (!connection) continue;
    if (connection->idleSince() == candidate.since) return connection;
    const auto transfer = connection->transfer();
    if (transfer && transfer->since == candidate.since) return connection;
  }
  return nullptr;
}

void ClosableConnections::collect(const ConnectionMap& open, base::TimePoint now) {
  for (const auto& [key, connection] : open) {
    if (const auto since = connection->idleSince()) {
      const auto kind = connection->lingering() ? Kind::kLingering : Kind::kIdle;
      if (kind == Kind::kLingering || now - *since >= kMinimumIdleTime)
        candidates_.push_back({connection, kind, *since});
    } else if (const auto transfer = connection->transfer()) {
      const auto age = now - transfer->since;
      if (age < kMinimumTransferTime) continue;
      const auto slowness =
          static_cast<double>(age.count()) / static_cast<double>(transfer->bytes + 1);
      candidates_.push_back({connection, Kind::kTransferring, transfer->since, slowness});
    }
  }
  std::ranges::sort(candidates_, [](const Candidate& left, const Candidate& right) {
    return closesBefore(right, left);
  });
}

bool ClosableConnections::closesBefore(const Candidate& left, const Candidate& right) {
  return std::tuple(left.kind, -left.slowness, left.since) <
         std::tuple(right.kind, -right.slowness, right.since);
}

}  // namespace covewing::live
