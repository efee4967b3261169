/// \file
/// Tells in the log from whom a node has its proofs that its configuration is the newest, and how
/// old they are: a key that was taken away is refused only where these are right.
///
/// Proofs come every 0.8 s. A line is written when somebody else gives them than before, when one
/// is unusually old, and now and then besides; a line a second at most.
#pragma once

#include <cstdint>
#include <optional>

#include "base/event_log.h"
#include "base/time.h"
#include "config/table_watch.h"

namespace covewing::node {

class ConfirmationLog {
 public:
  ConfirmationLog(base::Clock& clock, base::EventLog& log) : clock_(clock), log_(log) {}

  /// The configuration with this version was confirmed.
  void onConfirmed(const config::Confirmation& confirmation, std::uint64_t version);

 private:
  /// Least time between two lines.
  static constexpr base::Duration kMinimumInterval = std::chrono::seconds(1);
  /// Without anything unusual.
  static constexpr base::Duration kRoutineInterval = std::chrono::seconds(15);
  /// Proofs of a fleet without faults are younger when they arrive.
  static constexpr base::Duration kUnusualAge = std::chrono::milliseconds(1000);

  bool shouldLog(const config::Confirmation& confirmation, base::TimePoint now) const;

  base::Clock& clock_;
  base::EventLog& log_;
  std::optional<base::TimePoint> lastLoggedAt_;
  std::optional<base::Endpoint> lastLoggedNode_;
  /// Confirmations since the last line.
  std::uint64_t unloggedCount_ = 0;
};

}  // namespace covewing::node
