/// \file
/// A node's part in the rollout of weights: it competes for the lease, rolls out while it holds it,
/// and tells and hears which replicas are changing.
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
  /// News that a replica is changing holds for so long unless it is renewed.
  base::Duration loadingStateLifetime = std::chrono::milliseconds(2500);
  /// In larger fleets changes are told to the homes of replicas alone: every node passes a record
  /// on some nine times, so that records of many replicas take longer than what they tell of.
  std::size_t maximumMembersForGossip = 32;
};

/// All must outlive the coordinator and share its thread.
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
  /// How many replicas of a service long runs fill.
  std::function<std::size_t(const std::string& service)> longRunReplicas;
  /// How many replicas of a service the work under way fills.
  std::function<double(const std::string& service)> replicasInUse;
  /// Whether the configuration has the service.
  std::function<bool(const std::string& service)> isConfigured{};
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
  /// Planned stop: orders nothing more and hands the lease over; `done` is called once.
  void drain(std::function<void()> done);
  /// This node is one of the few that may hold the lease.
  bool isLeaseCandidate() const { return lease_.status().candidate; }
  bool holdsLease() const { return lease_.grant().has_value(); }
  void onPeerMessage(const base::PeerIdentity& sender, std::string_view payload) override;
  /// The table service came back from a copy.
  void onStoreReturned() { lease_.onStoreReturned(); }

 private:
  void onLeaseWritten(const coordination::LeaseAnnouncement& announcement) override;
  void onLeaseAcquired(const coordination::LeaseGrant& grant) override;
  void onLeaseLost() override;
  void onReplicaChanging(const std::string& instance) override;
  void onReplicaServing(const std::string& instance, const std::string& model,
                        base::WeightsVersion version) override;
  void publish(const std::string& instance, std::string value);
  /// Tells the replica's home at once: gossip takes a second in a fleet of hundreds, and requests
  /// ask the home (routing/placement.h).
  void sendToHome(const membership::GossipRecord& record);
  void onRecord(const membership::GossipRecord& record);
  /// A record that the lease holder sent straight to this node.
  void onDirectRecord(const membership::GossipRecord& record);

  WeightsCoordinatorOptions options_;
  WeightsCoordinatorEnvironment environment_;
  routing::ReplicaHomes homes_;
  coordination::LeaseManager lease_;
  coordination::WeightsRollout rollout_;
  base::TimerId settleTimer_ = 0;
  base::FencingToken token_ = 0;
  std::uint32_t recordCounter_ = 0;
  /// When the other nodes were last told that a replica changes.
  std::map<std::string, base::TimePoint> loadingPublishedAt_;
  /// Versions of the records that lease holders sent straight to this node, by key.
  std::map<std::string, std::uint64_t> directRecordVersions_;
};

}  // namespace covewing::node
