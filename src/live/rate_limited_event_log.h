/// \file
/// Bounds the lines that a node writes of the fleet's changes.
///
/// In a fleet of hundreds every node hears of every member and every replica; all of them logging
/// each change would drown the decisions. Of these events a node writes a burst and then a few
/// lines a second; what it left out is told as a count (event LogLinesDropped). All other events
/// pass.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/event_log.h"
#include "base/time.h"

namespace covewing::live {

struct RateLimitedEventLogOptions {
  /// Lines of fleet changes at once, and sustained. A fleet of ten nodes is told of whole.
  double burst = 60;
  double linesPerSecond = 2;
  /// How often what was left out is told, at most.
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
  /// Lines left out since the last report.
  std::map<base::Event, std::uint64_t> dropped_;
};

}  // namespace covewing::live
