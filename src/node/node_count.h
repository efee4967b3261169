/// \file
/// How many nodes share the replicas and the limits, by what this node has seen lately.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "base/time.h"
#include "membership/member_directory.h"

namespace covewing::node {

struct NodeCountOptions {
  /// The number falls back to what is seen now only after this.
  base::Duration memory = std::chrono::seconds(30);
  /// Nodes assumed until the membership has had time to form, and how long that is.
  std::size_t assumedNodes = 8;
  base::Duration clusterFormationTime = std::chrono::seconds(5);
  /// A node that has never seen another one goes on to assume them: it may be cut off.
  bool trustsSingleNodeView = true;
};

/// The most nodes seen at once lately: those that are cut off may still send.
class NodeCount {
 public:
  NodeCount(const membership::MemberDirectory& members, const base::Clock& clock,
            NodeCountOptions options = {})
      : members_(members), clock_(clock), options_(options), startedAt_(clock.now()) {}

  std::size_t operator()() {
    const auto now = clock_.now();
    const auto live = members_.liveMembers().size();
    if (live >= maximumSeen_ || now - maximumSeenAt_ > options_.memory) {
      maximumSeen_ = live;
      maximumSeenAt_ = now;
    }
    const bool possiblyIsolated = maximumSeen_ <= 1 && !options_.trustsSingleNodeView;
    const bool useAssumption = possiblyIsolated || now - startedAt_ < options_.clusterFormationTime;
    return useAssumption ? std::max(maximumSeen_, options_.assumedNodes) : maximumSeen_;
  }

 private:
  const membership::MemberDirectory& members_;
  const base::Clock& clock_;
  NodeCountOptions options_;
  base::TimePoint startedAt_;
  std::size_t maximumSeen_ = 1;
  base::TimePoint maximumSeenAt_{};
};

}  // namespace covewing::node
