/// \file
/// Logs when new connections wait because this node has no room for them, and when idle ones are
/// closed to make room: at most one line a second of each kind.
#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>

#include "base/event_log.h"
#include "base/time.h"
#include "live/http_server.h"

namespace covewing::live {

class ConnectionRoomMonitor {
 public:
  /// Minimum time between two log lines of one kind.
  static constexpr base::Duration kReportInterval = std::chrono::seconds(1);

  /// Both must outlive the monitor.
  ConnectionRoomMonitor(base::Clock& clock, base::EventLog& log) : clock_(clock), log_(log) {}

  /// Connections that were made to `listener` cannot be accepted now.
  void onAcceptDelay(std::string_view listener, const AcceptDelay& delay);
  /// An idle connection of a caller was closed to make room, and `open` ones are left.
  void onClosedForRoom(std::size_t open);
  /// Number of idle connections of callers that were closed to make room, since the start.
  std::uint64_t closedForRoom() const { return closed_; }

 private:
  base::Clock& clock_;
  base::EventLog& log_;
  base::TimePoint nextDelayReportAt_{};
  base::TimePoint nextCloseReportAt_{};
  std::uint64_t closed_ = 0;
  std::uint64_t reportedClosed_ = 0;
};

}  // namespace covewing::live
