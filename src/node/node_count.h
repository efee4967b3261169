/// \file
/// Estimates how many nodes share the replicas and the limits from the members that this node has
/// seen recently.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "base/time.h"
#include "membership/member_directory.h"

namespace covewing::node {

struct NodeCountOptions {
  /// How long the maximum number of live members is kept before the count follows a lower one.
  base::Duration memory = std::chrono::seconds(30);
  /// Minimum count that is assumed until `clusterFormationTime` has passed since the start, in
  /// which the membership forms.
  std::size_t assumedNodes = 8;
  base::Duration clusterFormationTime = std::chrono::seconds(5);
  /// False: a node that has never seen another one keeps assuming `assumedNodes`, since it may be
  /// cut off from the others.
  bool trustsSingleNodeView = true;
};

/// The maximum number of live members seen at once within the retention time. Members that are no
/// longer seen still count for that time, since nodes that are cut off may still send requests.
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
