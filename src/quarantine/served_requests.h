/// \file
/// The requests that a node has served lately, to object where one of them is suspected.
#pragma once

#include <cstddef>
#include <deque>
#include <unordered_map>

#include "base/ids.h"
#include "base/time.h"

namespace covewing::quarantine {

class ServedRequests {
 public:
  void add(base::RequestFingerprint request, base::TimePoint now);
  bool contains(base::RequestFingerprint request, base::TimePoint now) const;

 private:
  /// A request that many send is served many times a minute; one that began to crash replicas only
  /// now, under new software or weights, is found this much later.
  static constexpr base::Duration kRetention = std::chrono::seconds(60);
  /// 60 s of 11 requests a second, what a node serves at the planned size, ten times over.
  static constexpr std::size_t kMaximumEntries = 8192;

  struct Served {
    base::RequestFingerprint request;
    base::TimePoint at{};
  };

  std::deque<Served> order_;
  std::unordered_map<base::RequestFingerprint, base::TimePoint> latest_;
};

}  // namespace covewing::quarantine
