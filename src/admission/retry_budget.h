/// \file
/// Retry budget of a node: a token bucket filled by requests, which bounds the share of retries in
/// the load when many requests fail at once.
#pragma once

#include "admission/admission_options.h"
#include "base/time.h"

namespace covewing::admission {

class RetryBudget {
 public:
  /// The budget starts full.
  RetryBudget(const RetryBudgetOptions& options, base::TimePoint now);

  /// A request was admitted.
  void onRequest(base::TimePoint now);
  /// Takes one retry; false if none is left.
  bool take(base::TimePoint now);

 private:
  void refill(base::TimePoint now);

  RetryBudgetOptions options_;
  double tokens_;
  base::TimePoint refilledAt_;
};

}  // namespace covewing::admission
