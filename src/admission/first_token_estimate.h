/// \file
/// Recent times to first token as expected by the router, by priority class: the load signal of
/// hold and shed.
///
/// The estimate of a class is the median of its last samples, so that a single long prompt does not
/// count as load, and at least the estimate of every more urgent class, because engines serve those
/// first. It halves with each half-life that passes without a sample.
#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "base/priority.h"
#include "base/time.h"

namespace covewing::admission {

class FirstTokenEstimate {
 public:
  explicit FirstTokenEstimate(base::Duration halfLife) : halfLife_(halfLife) {}

  void add(base::PriorityClass priority, base::Duration expected, base::TimePoint now);
  /// Zero if there are no samples.
  base::Duration current(base::PriorityClass priority, base::TimePoint now) const;

 private:
  static constexpr std::size_t kSamples = 15;

  struct ClassSamples {
    std::vector<base::Duration> ring;
    std::size_t next = 0;
    base::TimePoint newest;
  };

  base::Duration currentOfClass(const ClassSamples& samples, base::TimePoint now) const;

  base::Duration halfLife_;
  std::array<ClassSamples, base::kPriorityClassCount> classes_;
};

}  // namespace covewing::admission
