/// \file
/// Requests that a node served recently, kept for objections if one of them becomes a suspect.
#pragma once

#include <cstddef>
#include <deque>
#include <unordered_map>

#include "base/ids.h"
#include "base/request_feature.h"
#include "base/time.h"

namespace covewing::quarantine {

class ServedRequests {
 public:
  void add(base::RequestFeature request, base::TimePoint now);
  bool contains(base::RequestFeature request, base::TimePoint now) const;

 private:
  /// A popular request is served many times a minute. If it starts to crash replicas under new
  /// software or weights, it is found this much later.
  static constexpr base::Duration kRetention = std::chrono::seconds(60);
  /// 60 s at 11 requests a second, which is the load of a node at the planned size, ten times over.
  static constexpr std::size_t kMaximumEntries = 8192;

  struct Served {
    base::RequestFeature request;
    base::TimePoint at{};
  };

  std::deque<Served> order_;
  std::unordered_map<base::RequestFeature, base::TimePoint> latest_;
};

}  // namespace covewing::quarantine
