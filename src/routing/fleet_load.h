/// \file
/// The work that other nodes have under way at each replica, as they told this node.
///
/// Each node tells all of its work at once, so that a lost message is repaired by the next one. A
/// node that is silent for longer than `memory` counts as one that this node does not hear.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace covewing::routing {

/// News that come less often than this are older than what they tell of: requests run for a few
/// hundred milliseconds.
inline constexpr base::Duration kLongestUsefulLoadInterval = std::chrono::milliseconds(250);

/// Work under way at one replica.
struct ReplicaLoad {
  std::uint32_t requests = 0;
  /// Tokens of memory that the requests need.
  std::uint64_t tokens = 0;
  /// Tokens to be read of the prompts of the requests whose answers have not begun.
  std::uint64_t pendingPrefillTokens = 0;

  bool operator==(const ReplicaLoad&) const = default;
  ReplicaLoad& operator+=(const ReplicaLoad& other);
};

/// What one node has under way. Replicas without work are left out.
using LoadByReplica = std::unordered_map<base::EngineId, ReplicaLoad>;

struct FleetLoadOptions {
  /// News older than this are forgotten. Nodes repeat theirs more often.
  base::Duration retention = std::chrono::milliseconds(2500);
};

class FleetLoad {
 public:
  explicit FleetLoad(FleetLoadOptions options = {}) : options_(options) {}

  /// Takes what a node has under way in place of what it told before. News of an earlier run of the
  /// node, or sent before some that are known, are dropped.
  void onUpdate(base::NodeId node, base::Incarnation incarnation, std::uint64_t sequence,
                LoadByReplica load, base::TimePoint now);
  /// The sum over the nodes that are heard.
  ReplicaLoad loadOfOtherNodes(base::EngineId replica, base::TimePoint now) const;
  /// Time between two news of one node at present; zero where nothing was heard.
  base::Duration interval() const { return interval_; }
  void setInterval(base::Duration interval) { interval_ = interval; }
  /// Nodes whose news are known.
  std::size_t reportingNodes(base::TimePoint now) const;

 private:
  struct NodeLoad {
    base::Incarnation incarnation = 0;
    std::uint64_t sequence = 0;
    base::TimePoint receivedAt{};
    LoadByReplica load;
  };
  bool isCurrent(const NodeLoad& node, base::TimePoint now) const {
    return now - node.receivedAt <= options_.retention;
  }

  FleetLoadOptions options_;
  base::Duration interval_{};
  std::unordered_map<base::NodeId, NodeLoad> nodes_;
};

}  // namespace covewing::routing
