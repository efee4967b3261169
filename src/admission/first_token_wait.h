/// \file
/// Measures how long admitted requests actually wait for their first token. This covers conditions
/// that the router's expectation misses, such as engines whose memory is full.
///
/// The wait of a class is the median over two groups: the first tokens received within the last
/// second, and the pending requests that have already waited longer than the median of the first
/// group. A few requests stuck at one engine therefore do not count as load of the whole fleet.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "base/priority.h"
#include "base/time.h"

namespace covewing::admission {

class FirstTokenWait {
 public:
  /// Identifies a request; unique within this node.
  using RequestNumber = std::uint64_t;

  /// A request was admitted and starts waiting.
  void onAdmitted(base::PriorityClass priority, RequestNumber request, base::TimePoint now);
  /// The first token of the request was received; returns the time it waited.
  base::Duration onFirstToken(base::PriorityClass priority, RequestNumber request,
                              base::TimePoint now);
  /// The request ended without a first token; returns the time it waited.
  base::Duration onAbandoned(base::PriorityClass priority, RequestNumber request,
                             base::TimePoint now);
  /// Number of requests that are waiting now.
  std::uint32_t waiting() const;

  /// Longest wait over the class and all more urgent ones; zero if there are too few samples.
  base::Duration current(base::PriorityClass priority, base::TimePoint now) const;

 private:
  struct Finished {
    base::TimePoint at;
    base::Duration wait{};
  };
  struct ClassWaits {
    std::map<RequestNumber, base::TimePoint> waiting;
    /// First tokens of the last second, oldest first.
    std::deque<Finished> finished;
  };

  static base::Duration currentOfClass(const ClassWaits& waits, base::TimePoint now);
  static base::Duration median(std::vector<base::Duration>& sample);

  ClassWaits& waitsOf(base::PriorityClass priority) {
    return classes_.at(static_cast<std::size_t>(priority));
  }

  std::array<ClassWaits, base::kPriorityClassCount> classes_;
};

}  // namespace covewing::admission
