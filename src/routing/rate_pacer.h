/// \file
/// Paces what goes to one replica to the rate that it names: the place where the requests of all
/// nodes are counted, kept by the replica's home.
///
/// Each request moves the time at which the next one is due by the interval of the rate. A request
/// may go while that time is at most `kCredit` ahead, so that a rate that was not used for a moment
/// is made up for, and nothing older is.
///
/// In any span t at most 1 + rate * (t + kCredit) requests pass. In four seconds that is 1 + 4.25
/// times the rate: what a former home granted, calls that are no requests and grants that arrive
/// together behind a slow connection have the rest up to one and a half times the rate, and a few.
#pragma once

#include <optional>

#include "base/time.h"

namespace covewing::routing {

class RatePacer {
 public:
  /// So much of the rate may be made up for.
  static constexpr base::Duration kCredit = std::chrono::milliseconds(250);
  /// Lower rates, zero too, are paced as this one (requests a second): one request now and then
  /// asks whether the limit still holds.
  static constexpr double kMinimumRate = 0.1;

  /// The rate from now on, in requests a second; empty: without limit. What passed before counts.
  void setRate(std::optional<double> perSecond, base::TimePoint now);
  bool limited() const { return interval_.has_value(); }
  /// Between two requests at the rate; zero without one.
  static base::Duration intervalOf(std::optional<double> perSecond);
  /// Between two requests; zero without a limit.
  base::Duration interval() const { return interval_.value_or(base::Duration::zero()); }

  bool mayPass(base::TimePoint now) const { return untilNext(now) == base::Duration::zero(); }
  base::Duration untilNext(base::TimePoint now) const;
  void onPassed(base::TimePoint now);
  /// A request that passed is not sent after all.
  void onNotSent();

 private:
  std::optional<base::Duration> interval_;
  base::TimePoint nextDue_{};
  base::TimePoint lastPassed_{};
};

}  // namespace covewing::routing
