/// \file
/// The other nodes that can pass a request on to a replica which this node does not reach itself.
///
/// Each node that accepts requests from other nodes publishes the address of its relay listener by
/// gossip; nodes without such a record, for instance of an older build, are never asked. A request
/// is passed on once only.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "membership/member_directory.h"
#include "routing/replica.h"

namespace covewing::routing {

struct RelayPeerOptions {
  /// Time for which a node is not asked after it could not be reached or refused to pass a request
  /// on.
  base::Duration avoidPeerFor = std::chrono::seconds(1);
  /// Time for which a node is not asked about a replica that it could not reach.
  base::Duration avoidReplicaFor = std::chrono::seconds(2);
};

/// A node that passes requests on.
struct RelayPeer {
  base::NodeId id;
  base::Endpoint endpoint;
};

class RelayPeers {
 public:
  /// All must outlive the object.
  RelayPeers(RelayPeerOptions options, base::RandomSource& random,
             const membership::MemberDirectory& members, membership::RecordDissemination& records)
      : options_(options), random_(random), members_(members), records_(records) {}

  /// Subscribes to the records of other nodes and publishes the address of this node's relay
  /// listener, if it has one; call once.
  void start(const std::optional<base::Endpoint>& ownListener);

  /// Selects a node to pass a request on to the replica: one of the own zone, else of the replica's
  /// zone, else any; of two drawn at random the one with fewer requests of this node in flight.
  /// Empty if there is none but those in `excluded`.
  std::optional<RelayPeer> choose(const Replica& replica, const std::vector<base::NodeId>& excluded,
                                  base::TimePoint now);
  void onSent(base::NodeId peer) { ++inFlight_[peer]; }
  void onEnded(base::NodeId peer);
  /// The node could not be reached, or refused to pass the request on.
  void onPeerFailed(base::NodeId peer, base::TimePoint now);
  /// The node does not reach the replica either.
  void onReplicaUnreachable(base::NodeId peer, const std::string& instance, base::TimePoint now);

 private:
  void onRecord(const membership::GossipRecord& record);
  bool isCandidate(const membership::Member& member, const std::string& instance,
                   const std::vector<base::NodeId>& excluded, base::TimePoint now) const;
  std::uint32_t inFlightAt(base::NodeId peer) const;

  RelayPeerOptions options_;
  base::RandomSource& random_;
  const membership::MemberDirectory& members_;
  membership::RecordDissemination& records_;
  /// Addresses of the relay listeners by the names of their nodes.
  std::map<std::string, base::Endpoint, std::less<>> listeners_;
  std::map<base::NodeId, std::uint32_t> inFlight_;
  std::map<base::NodeId, base::TimePoint> avoidedUntil_;
  std::map<std::pair<base::NodeId, std::string>, base::TimePoint> replicaAvoidedUntil_;
};

}  // namespace covewing::routing
