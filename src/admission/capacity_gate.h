/// \file
/// Decides whether requests of a class may run now. The estimate of a class is the larger of two
/// values: the time to first token that the router expects, and the time that admitted requests
/// actually wait for their first token.
///
/// A class runs while its estimate is within its target. Otherwise the class and all less urgent
/// ones are held. Estimates decay without new samples, so that a few requests eventually probe the
/// engines.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <deque>

#include "admission/admission_options.h"
#include "admission/admission_window.h"
#include "admission/first_token_estimate.h"
#include "admission/first_token_wait.h"
#include "base/priority.h"
#include "base/time.h"

namespace covewing::admission {

class CapacityGate {
 public:
  using RequestNumber = FirstTokenWait::RequestNumber;

  explicit CapacityGate(const CapacityOptions& options)
      : options_(options), estimate_(options.estimateHalfLife), window_(options.window) {}

  /// A request of the class was admitted; its routing estimate is to follow.
  void onAdmitted(base::PriorityClass priority, RequestNumber request, base::TimePoint now);
  /// The first token of the request was received.
  void onFirstToken(base::PriorityClass priority, RequestNumber request, base::TimePoint now);
  /// The request ended without a first token.
  void onAbandoned(base::PriorityClass priority, RequestNumber request, base::TimePoint now);
  /// The router reported its estimate for a request of the class.
  void onEstimate(base::PriorityClass priority, base::Duration expected, base::TimePoint now);

  /// Whether one more request of the class may run now, possibly as a probe. `deadline` is the
  /// request's time limit to the first token; zero means none.
  bool isOpen(base::PriorityClass priority, base::Duration deadline, base::TimePoint now) const;
  base::Duration expected(base::PriorityClass priority, base::TimePoint now) const {
    return std::max(estimate_.current(priority, now), wait_.current(priority, now));
  }
  /// Time until the estimate will have decayed to the target if no further samples arrive.
  base::Duration timeToOpen(base::PriorityClass priority, base::Duration deadline,
                            base::TimePoint now) const;
  base::Duration target(base::PriorityClass priority, base::Duration deadline) const;

 private:
  /// Number of admitted requests whose estimate may still arrive.
  std::size_t awaitingEstimate(base::PriorityClass priority, base::TimePoint now) const;

  CapacityOptions options_;
  FirstTokenEstimate estimate_;
  FirstTokenWait wait_;
  AdmissionWindow window_;
  /// Time of the last observation of the engines, or of the last probe that was sent to obtain one.
  base::TimePoint lastObservedAt_;
  /// Admission times of the requests whose estimates have not arrived, oldest first.
  std::array<std::deque<base::TimePoint>, base::kPriorityClassCount> awaitingEstimate_;
};

}  // namespace covewing::admission
