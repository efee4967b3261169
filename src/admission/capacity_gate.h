/// \file
/// Decides whether a class may run now, from the router's expectation of the first token and from
/// how long admitted requests really wait for theirs, whichever is longer.
///
/// A class runs while its estimate is within its target. While it is not, the class and all less
/// urgent ones are held; estimates fade without samples, so that a few requests probe the engines.
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
  /// Its first token came.
  void onFirstToken(base::PriorityClass priority, RequestNumber request, base::TimePoint now);
  /// It ended without a first token.
  void onAbandoned(base::PriorityClass priority, RequestNumber request, base::TimePoint now);
  /// The router told its estimate for a request of the class.
  void onEstimate(base::PriorityClass priority, base::Duration expected, base::TimePoint now);

  /// Whether one more request of the class may run now, be it as a probe. `deadline` is its time to
  /// the first token; zero means none.
  bool isOpen(base::PriorityClass priority, base::Duration deadline, base::TimePoint now) const;
  base::Duration expected(base::PriorityClass priority, base::TimePoint now) const {
    return std::max(estimate_.current(priority, now), wait_.current(priority, now));
  }
  /// Time until the estimate will have faded to the target, without further samples.
  base::Duration timeToOpen(base::PriorityClass priority, base::Duration deadline,
                            base::TimePoint now) const;
  base::Duration target(base::PriorityClass priority, base::Duration deadline) const;

 private:
  /// Admitted requests whose estimate may still come.
  std::size_t awaitingEstimate(base::PriorityClass priority, base::TimePoint now) const;

  CapacityOptions options_;
  FirstTokenEstimate estimate_;
  FirstTokenWait wait_;
  AdmissionWindow window_;
  /// When something was last learned of the engines, or a probe sent to learn it.
  base::TimePoint lastObservedAt_;
  /// When the requests were admitted whose estimates have not come, oldest first.
  std::array<std::deque<base::TimePoint>, base::kPriorityClassCount> awaitingEstimate_;
};

}  // namespace covewing::admission
