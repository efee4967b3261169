/// \file
/// Limits the rate of log lines about changes of members and replicas, and of those that callers
/// cause by requests that this node refuses.
///
/// In a fleet of hundreds of nodes, every node receives every change of every member and replica.
/// If all nodes logged each change, the lines about decisions would be lost among them. A node
/// therefore logs a burst of these events and then a few lines a second, and logs how many lines it
/// dropped (event LogLinesDropped). Refusals cost a caller nothing, so callers that send one
/// request after the other could fill any disk: they have a budget of their own, and the dropped
/// ones are counted by result code. A request that was sent to a replica is logged however it ends.
/// All other events are passed on.
#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <utility>

#include "base/event_log.h"
#include "base/time.h"

namespace covewing::live {

/// Maximum number of lines written at once, and their sustained rate.
struct LineRate {
  double burst = 0;
  double linesPerSecond = 0;
};

struct RateLimitedEventLogOptions {
  /// Lines about fleet changes. The burst suffices to log a fleet of ten nodes completely.
  LineRate fleetChanges{60, 2};
  /// Lines about refused requests, and connections and messages that were ended or rejected.
  LineRate refusals{2000, 200};
  /// Minimum time between two reports of dropped lines.
  base::Duration reportInterval = std::chrono::seconds(5);
};

class RateLimitedEventLog final : public base::EventLog {
 public:
  RateLimitedEventLog(RateLimitedEventLogOptions options, base::Clock& clock, base::EventLog& next)
      : options_(options),
        clock_(clock),
        next_(next),
        fleetChanges_{options.fleetChanges, options.fleetChanges.burst},
        refusals_{options.refusals, options.refusals.burst} {}

  void write(base::Event event, std::initializer_list<base::EventField> fields) override;

 private:
  struct Budget {
    LineRate rate;
    double lines = 0;
    base::TimePoint refilledAt{};

    bool take(base::TimePoint now);
  };
  /// Dropped lines are counted by event, and by result code where the event names one.
  using Kind = std::pair<base::Event, std::string>;

  /// The budget that lines of this event are taken from; null: they are not limited.
  Budget* budgetFor(base::Event event, std::span<const base::EventField> fields);
  void reportDropped(base::TimePoint now);

  RateLimitedEventLogOptions options_;
  base::Clock& clock_;
  base::EventLog& next_;
  Budget fleetChanges_;
  Budget refusals_;
  base::TimePoint reportedAt_{};
  /// Number of lines dropped since the last report.
  std::map<Kind, std::uint64_t> dropped_;
};

}  // namespace covewing::live
