/// \file
/// How long admitted requests really wait for their first token. It sees what a router's
/// expectation misses, such as engines whose memory is full.
///
/// The wait of a class is the median over the first tokens of the last second and over the requests
/// that have waited longer than the median of those already. A few requests stuck at one engine
/// therefore do not count as load of the whole fleet.
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

  /// A request was admitted and waits from now on.
  void onAdmitted(base::PriorityClass priority, RequestNumber request, base::TimePoint now);
  /// Its first token came; returns how long it waited.
  base::Duration onFirstToken(base::PriorityClass priority, RequestNumber request,
                              base::TimePoint now);
  /// It ended without one; returns how long it waited.
  base::Duration onAbandoned(base::PriorityClass priority, RequestNumber request,
                             base::TimePoint now);
  /// Requests that wait now.
  std::uint32_t waiting() const;

  /// The longest wait over the class and the more urgent ones; zero where too little is known.
  base::Duration current(base::PriorityClass priority, base::TimePoint now) const;

 private:
  struct Finished {
    base::TimePoint at;
    base::Duration wait{};
  };
  struct ClassWaits {
    std::map<RequestNumber, base::TimePoint> waiting;
    /// Of the last second, oldest first.
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
