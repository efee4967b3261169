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

class ClosableConnections {
 public:
  /// A connection is closed only after it has been idle for this long: the first request of a new
  /// connection, or the next one of a busy caller, is probably on its way before.
  static constexpr base::Duration kMinimumIdleTime = std::chrono::milliseconds(100);
  /// A connection whose peer is sending a request or reading a response is closed only after this
  /// long: peers that go on are done by then.
  static constexpr base::Duration kMinimumTransferTime = std::chrono::milliseconds(500);

  /// Returns a connection of `open` whose last response was written; without one, the one that has
  /// been idle longest; without one, that of the peer that has transferred least for longest.
  /// Never one whose request is being served. Nothing if there is none that may be closed yet.
  std::shared_ptr<Connection> takeNext(const ConnectionMap& open, base::TimePoint now);

 private:
  /// In the order in which they are closed.
  enum class Kind { kLingering, kIdle, kTransferring };
  struct Candidate {
    std::weak_ptr<Connection> connection;
    Kind kind = Kind::kIdle;
    /// When the state began that makes it a candidate.
    base::TimePoint since{};
    /// Time for each byte that was transferred, in microseconds; 0 unless it is transferring.
    double slowness = 0;
  };
  static bool closesBefore(const Candidate& left, const Candidate& right);
  std::shared_ptr<Connection> takeCandidate();
  void collect(const ConnectionMap& open, base::TimePoint now);

  /// The connections that could be closed when they were collected, the first one to close last.
  /// All that became idle since have been idle for less time.
  std::vector<Candidate> candidates_;
};

}  // namespace covewing::live
