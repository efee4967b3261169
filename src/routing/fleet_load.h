/// \file
/// The load that other nodes have in progress at each replica, as they report it to this node.
///
/// Each message contains the sender's complete load, so that the next message makes up for a lost
/// one. The load of a node that has sent no update for longer than `retention` counts as not known.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace covewing::routing {

/// Load updates at longer intervals than this are out of date on arrival, since requests run for a
/// few hundred milliseconds.
inline constexpr base::Duration kMaximumUsefulLoadInterval = std::chrono::milliseconds(250);

/// Load in progress at one replica.
struct ReplicaLoad {
  std::uint32_t requests = 0;
  /// Cache memory that the requests need, in tokens.
  std::uint64_t tokens = 0;
  /// Prompt tokens that remain to be prefilled for the requests whose responses have not started.
  std::uint64_t pendingPrefillTokens = 0;

  bool operator==(const ReplicaLoad&) const = default;
  ReplicaLoad& operator+=(const ReplicaLoad& other);
};

/// Load of one node, by replica. Replicas without load are omitted.
using LoadByReplica = std::unordered_map<base::EngineId, ReplicaLoad>;

struct FleetLoadOptions {
  /// Older updates are discarded. Nodes repeat their updates at shorter intervals.
  base::Duration retention = std::chrono::milliseconds(2500);
};

class FleetLoad {
 public:
  explicit FleetLoad(FleetLoadOptions options = {}) : options_(options) {}

  /// Replaces the load that a node reported before. An update is dropped if it belongs to an
  /// earlier incarnation of the node or was sent before one that is already recorded.
  void onUpdate(base::NodeId node, base::Incarnation incarnation, std::uint64_t sequence,
                LoadByReplica load, base::TimePoint now);
  /// Returns the sum of the load of the nodes whose updates are current.
  ReplicaLoad loadOfOtherNodes(base::EngineId replica, base::TimePoint now) const;
  /// Interval at which each node currently sends updates; zero if it is not known.
  base::Duration interval() const { return interval_; }
  void setInterval(base::Duration interval) { interval_ = interval; }
  /// Returns the number of nodes whose updates are current.
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
