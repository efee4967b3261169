/// \file
/// Watches how long callers' requests lie unread, and logs when this node does not keep up.
#pragma once

#include <chrono>
#include <cstdint>

#include "base/event_log.h"
#include "base/time.h"

namespace covewing::live {

class ReadDelayMonitor {
 public:
  /// A request that was read later than this after its arrival was read late.
  static constexpr base::Duration kLate = std::chrono::milliseconds(250);
  /// Minimum time between two log lines.
  static constexpr base::Duration kReportInterval = std::chrono::seconds(1);

  /// Both must outlive the monitor.
  ReadDelayMonitor(base::Clock& clock, base::EventLog& log) : clock_(clock), log_(log) {}

  /// A request was read `delay` after it had arrived.
  void record(base::Duration delay);

 private:
  base::Clock& clock_;
  base::EventLog& log_;
  base::TimePoint nextReportAt_{};
  /// Requests that were read late since the last report, and the longest delay among them.
  std::uint64_t late_ = 0;
  base::Duration longest_{};
};

}  // namespace covewing::live
