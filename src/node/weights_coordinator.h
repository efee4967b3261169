/// \file
/// Takes part in the rollout of weights for one node: competes for the lease, rolls weights out
/// while it holds the lease, and publishes and receives which replicas are loading weights.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "base/peer_transport.h"
#include "coordination/lease_manager.h"
#include "coordination/weights_rollout.h"
#include "membership/member_directory.h"
#include "routing/prefix_holders.h"
#include "routing/replica_homes.h"

namespace covewing::node {

struct WeightsCoordinatorOptions {
  coordination::LeaseOptions lease;
  coordination::WeightsRolloutOptions rollout;
  /// How long a report that a replica is loading weights is valid unless it is renewed.
  base::Duration loadingStateLifetime = std::chrono::milliseconds(2500);
  /// With more members than this, changes are sent only to the replicas' home nodes and not
  /// gossiped: every node forwards a record some nine times, so that with many replicas the records
  /// would spread more slowly than the changes that they report.
  std::size_t maximumMembersForGossip = 32;
};

/// All references must outlive the coordinator and be used on its thread.
struct WeightsCoordinatorEnvironment {
  base::Clock& clock;
  base::TimerService& timers;
  base::RandomSource& random;
  base::EventLog& log;
  base::PeerTransport& peers;
  clients::TableClient& table;
  clients::WeightsClient& weights;
  const membership::MemberDirectory& members;
  membership::RecordDissemination& records;
  routing::ReplicaDirectory& replicas;
  routing::PrefixHolders& holders;
  const routing::WeightsTargets& targets;
  /// Number of replicas of a service that long-running requests fill.
  std::function<std::size_t(const std::string& service)> longRunReplicas;
  /// Number of replicas of a service that the work in progress fills; may be fractional.
  std::function<double(const std::string& service)> replicasInUse;
  /// Whether the configuration contains the service.
  std::function<bool(const std::string& service)> isConfigured{};
  /// Whether this node reaches enough replicas to send orders to them. Empty: always.
  std::function<bool()> canOrder{};
};

class WeightsCoordinator final : public base::PeerHandler,
                                 private coordination::LeaseListener,
                                 private coordination::ReplicaChangeListener {
 public:
  WeightsCoordinator(WeightsCoordinatorOptions options, WeightsCoordinatorEnvironment environment);
  ~WeightsCoordinator() override;
  WeightsCoordinator(const WeightsCoordinator&) = delete;
  WeightsCoordinator& operator=(const WeightsCoordinator&) = delete;

  void start();
  /// Planned stop: issues no more orders and releases the lease; `done` is called once.
  void drain(std::function<void()> done);
  /// Whether this node is one of the few that may hold the lease.
  bool isLeaseCandidate() const { return lease_.status().candidate; }
  bool holdsLease() const { return lease_.grant().has_value(); }
  void onPeerMessage(const base::PeerIdentity& sender, std::string_view payload) override;
  /// The table service was restored from an older backup.
  void onStoreReturned() { lease_.onStoreReturned(); }

 private:
  void onLeaseWritten(const coordination::LeaseAnnouncement& announcement) override;
  void onLeaseAcquired(const coordination::LeaseGrant& grant) override;
  void onLeaseLost() override;
  void onReplicaChanging(const std::string& instance) override;
  void onReplicaServing(const std::string& instance, const std::string& model,
                        base::WeightsVersion version) override;
  void publish(const std::string& instance, std::string value);
  /// Sends the record directly to the replica's home node: gossip takes a second in a fleet of
  /// hundreds of nodes, and requests are placed by the home (routing/placement.h).
  void sendToHome(const membership::GossipRecord& record);
  void onRecord(const membership::GossipRecord& record);
  /// Handles a record that the lease holder sent directly to this node.
  void onDirectRecord(const membership::GossipRecord& record);

  WeightsCoordinatorOptions options_;
  WeightsCoordinatorEnvironment environment_;
  routing::ReplicaHomes homes_;
  coordination::LeaseManager lease_;
  coordination::WeightsRollout rollout_;
  base::TimerId settleTimer_ = 0;
  base::FencingToken token_ = 0;
  std::uint32_t recordCounter_ = 0;
  /// When it was last published that a replica is loading weights, by replica instance.
  std::map<std::string, base::TimePoint> loadingPublishedAt_;
  /// Latest versions of the records that lease holders sent directly to this node, by key.
  std::map<std::string, std::uint64_t> directRecordVersions_;
};

}  // namespace covewing::node
