/// \file
/// Limits the requests that all nodes together send to one replica to the rate that the replica
/// reports. Used by the replica's home, which counts the requests of all nodes.
///
/// Each request advances the time at which the next one is due by the interval of the rate. A
/// request may pass while that time is at most `kCredit` ahead: capacity that was not used during
/// the last moment can be used later, older unused capacity is lost.
///
/// In any span t at most 1 + rate * (t + kCredit) requests pass. In four seconds that is 1 + 4.25
/// times the rate. The remainder, up to one and a half times the rate and a few requests, is left
/// for requests granted by a former home, for some control calls, and for grants that arrive
/// together over a slow connection.
///
/// Control calls (polls, reports and orders) are counted after they were sent. Those that are at
/// least `kIntervalsPerControlCall` intervals apart are part of the remainder: at most 1 + half of
/// the rate in four seconds. More frequent ones delay the next request.
#pragma once

#include <optional>

#include "base/time.h"

namespace covewing::routing {

class RatePacer {
 public:
  /// Unused time that can be made up for.
  static constexpr base::Duration kCredit = std::chrono::milliseconds(250);
  /// Lower rates, including zero, are treated as this one (requests per second): an occasional
  /// request checks whether the limit still applies.
  static constexpr double kMinimumRate = 0.1;
  /// Intervals of the rate for each control call that does not delay requests.
  static constexpr int kIntervalsPerControlCall = 8;

  /// Sets the rate from now on, in requests per second; empty removes the limit. Requests that
  /// passed before still count.
  void setRate(std::optional<double> perSecond, base::TimePoint now);
  bool limited() const { return interval_.has_value(); }
  /// Time between two requests at the rate; zero without a rate.
  static base::Duration intervalOf(std::optional<double> perSecond);
  /// Time between two requests at the current rate; zero without a limit.
  base::Duration interval() const { return interval_.value_or(base::Duration::zero()); }

  bool mayPass(base::TimePoint now) const { return untilNext(now) == base::Duration::zero(); }
  base::Duration untilNext(base::TimePoint now) const;
  void onPassed(base::TimePoint now);
  /// A control call was sent to the replica.
  void onControlCall(base::TimePoint now);
  /// A request that passed is not sent; its share of the rate is returned.
  void onNotSent();

 private:
  std::optional<base::Duration> interval_;
  base::TimePoint nextDue_{};
  base::TimePoint lastPassed_{};
  /// From when on the next control call does not delay requests.
  base::TimePoint nextFreeControlCall_{};
};

}  // namespace covewing::routing
