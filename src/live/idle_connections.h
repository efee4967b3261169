/// \file
/// Finds the connections of a server that may be closed to make room for new ones. Internal to the
/// server.
#pragma once

#include <memory>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "live/http_connection.h"

namespace covewing::live {

using ConnectionMap = std::unordered_map<Connection*, std::shared_ptr<Connection>>;

class IdleConnections {
 public:
  /// A connection is closed only after it has been idle for this long: the first request of a new
  /// connection, or the next one of a busy caller, is probably on its way before.
  static constexpr base::Duration kMinimumIdleTime = std::chrono::milliseconds(100);

  /// Returns a connection of `open` whose last response was written, or else the one that has been
  /// idle longest; nothing if none has been idle for kMinimumIdleTime.
  std::shared_ptr<Connection> takeOldest(const ConnectionMap& open, base::TimePoint now);

 private:
  struct Candidate {
    std::weak_ptr<Connection> connection;
    base::TimePoint idleSince{};
    bool lingering = false;
  };
  std::shared_ptr<Connection> takeCandidate();
  void collect(const ConnectionMap& open, base::TimePoint now);

  /// Connections that were idle or lingering when they were collected: lingering ones last, and
  /// among equals the oldest one last. All that became idle
  /// since have been idle for less time.
  std::vector<Candidate> candidates_;
};

}  // namespace covewing::live
