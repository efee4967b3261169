/// \file
/// Limits the rate of log lines about changes of members and replicas.
///
/// In a fleet of hundreds of nodes, every node receives every change of every member and replica.
/// If all nodes logged each change, the lines about decisions would be lost among them. A node
/// therefore logs a burst of these events and then a few lines a second, and logs how many lines it
/// dropped (event LogLinesDropped). All other events are passed on.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/event_log.h"
#include "base/time.h"

namespace covewing::live {

struct RateLimitedEventLogOptions {
  /// Maximum number of lines about fleet changes written at once, and their sustained rate. The
  /// burst suffices to log a fleet of ten nodes completely.
  double burst = 60;
  double linesPerSecond = 2;
  /// Minimum time between two reports of dropped lines.
  base::Duration reportInterval = std::chrono::seconds(5);
};

class RateLimitedEventLog final : public base::EventLog {
 public:
  RateLimitedEventLog(RateLimitedEventLogOptions options, base::Clock& clock, base::EventLog& next)
      : options_(options), clock_(clock), next_(next), budget_(options.burst) {}

  void write(base::Event event, std::initializer_list<base::EventField> fields) override;

 private:
  bool takeFromBudget(base::TimePoint now);
  void reportDropped(base::TimePoint now);

  RateLimitedEventLogOptions options_;
  base::Clock& clock_;
  base::EventLog& next_;
  double budget_;
  base::TimePoint refilledAt_{};
  base::TimePoint reportedAt_{};
  /// Number of lines dropped since the last report, by event.
  std::map<base::Event, std::uint64_t> dropped_;
};

}  // namespace covewing::live
