/// \file
/// Logs the source and the age of the confirmations that the node's configuration is the newest.
/// A revoked key is refused only as long as these confirmations are correct.
///
/// Confirmations arrive every 0.8 s. A line is written when their source changes, when one is
/// unusually old, and otherwise at a routine interval; at most one line is written per second.
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

  /// Called when the configuration with this version has been confirmed as the newest.
  void onConfirmed(const config::Confirmation& confirmation, std::uint64_t version);

 private:
  /// Minimum time between two lines.
  static constexpr base::Duration kMinimumInterval = std::chrono::seconds(1);
  /// Time between two lines while the confirmations show nothing unusual.
  static constexpr base::Duration kRoutineInterval = std::chrono::seconds(15);
  /// A confirmation older than this on arrival is unusual: in a fleet without faults they are
  /// younger.
  static constexpr base::Duration kUnusualAge = std::chrono::milliseconds(1000);

  bool shouldLog(const config::Confirmation& confirmation, base::TimePoint now) const;

  base::Clock& clock_;
  base::EventLog& log_;
  std::optional<base::TimePoint> lastLoggedAt_;
  std::optional<base::Endpoint> lastLoggedNode_;
  /// Number of confirmations since the last line.
  std::uint64_t unloggedCount_ = 0;
};

}  // namespace covewing::node
