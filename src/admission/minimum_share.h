/// \file
/// The part of a replica that one urgency is served before more urgent ones, whatever these ask
/// for, kept as a credit: each request that asks adds a tenth of its work, each that is granted
/// takes its own. So also a kind that asks seldom gets every tenth request, and all together cost
/// the more urgent ones at most a tenth of the replica for each such kind.
///
/// Work is in seconds of the whole replica.
#pragma once

#include "base/time.h"

namespace covewing::admission {

class MinimumShare {
 public:
  /// A request that can be in time asked for room.
  void onArrival(double work, base::TimePoint now);
  void onGrant(double work, base::TimePoint now);
  /// Whether a request of this work goes before more urgent ones now.
  bool covers(double work, base::TimePoint now) const;

 private:
  double timeCredit(base::TimePoint now) const;

  base::TimePoint at_{};
  /// A tenth of what was asked, less what was granted.
  double demandCredit_ = 0.0;
  /// A tenth of the time that passed, less what was granted: bounds the part of the replica.
  double timeCredit_ = 0.0;
};

}  // namespace covewing::admission
