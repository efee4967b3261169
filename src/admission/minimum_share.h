/// \file
/// Minimum share of a replica that one urgency level gets ahead of more urgent levels, whatever
/// their demand. It is kept as a credit: each request that arrives adds a tenth of its work, and
/// each request that is granted subtracts its own. A level with rare requests therefore also gets
/// every tenth request served, and each such level costs the more urgent ones at most a tenth of
/// the replica.
///
/// Work is measured in seconds of the whole replica.
#pragma once

#include "base/time.h"

namespace covewing::admission {

class MinimumShare {
 public:
  /// Records a request for capacity that can still be on time.
  void onArrival(double work, base::TimePoint now);
  void onGrant(double work, base::TimePoint now);
  /// Whether a request with this amount of work precedes more urgent ones now.
  bool covers(double work, base::TimePoint now) const;

 private:
  double timeCredit(base::TimePoint now) const;

  base::TimePoint at_{};
  /// A tenth of the work requested, less the work granted.
  double demandCredit_ = 0.0;
  /// A tenth of the elapsed time, less the work granted: bounds the share of the replica.
  double timeCredit_ = 0.0;
};

}  // namespace covewing::admission
