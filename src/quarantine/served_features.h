/// \file
/// Requests and parts of prompts that a node served recently, kept for objections if one of them
/// becomes a suspect.
#pragma once

#include <cstddef>
#include <list>
#include <unordered_map>

#include "base/request_feature.h"
#include "base/time.h"

namespace covewing::quarantine {

class ServedFeatures {
 public:
  void add(base::RequestFeature feature, base::TimePoint now);
  bool contains(base::RequestFeature feature, base::TimePoint now) const;

 private:
  /// A popular request, or a part of many prompts, is served many times a minute. If it starts to
  /// crash replicas under new software or weights, it is found this much later.
  static constexpr base::Duration kRetention = std::chrono::seconds(60);
  /// 60 s at 11 requests a second, which is the load of a node at the planned size, ten times over.
  static constexpr std::size_t kMaximumRequests = 8192;
  /// The same with four parts of its own in each prompt.
  static constexpr std::size_t kMaximumParts = 32768;

  struct Served {
    base::RequestFeature feature;
    base::TimePoint at{};
  };

  /// The features of one kind, each once, bounded.
  class Recent {
   public:
    explicit Recent(std::size_t capacity) : capacity_(capacity) {}
    void add(base::RequestFeature feature, base::TimePoint now);
    bool contains(base::RequestFeature feature, base::TimePoint now) const;

   private:
    std::size_t capacity_;
    /// Ascending by the time of the latest run.
    std::list<Served> order_;
    std::unordered_map<base::RequestFeature, std::list<Served>::iterator> entries_;
  };

  Recent requests_{kMaximumRequests};
  Recent parts_{kMaximumParts};
};

}  // namespace covewing::quarantine
