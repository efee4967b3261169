/// \file
/// Membership by gossip: who is alive, with constant cost a node, and small records spread to all.
///
/// - A random member is probed in each period, a few more while probes fail
///   (membership/failure_detector.h). One that fails is
///   suspected, told so by gossip, and held dead when it does not refute in time. Only a member
///   itself raises its sequence, so that a refutation overrides every suspicion before it.
/// - Updates are piggybacked on pings and acks, and sent in gossip messages of a bounded rate while
///   there are some.
///   Each piece is passed on a number of times that grows with the logarithm of the fleet.
/// - Every few seconds a node compares digests with a random member, and both exchange what
/// differs:
///   this repairs whatever was lost.
/// - A zone that is cut off holds the others dead and goes on. Now and then each node asks one
/// member
///   held dead, or a seed, for a comparison; once the network is whole again, the first answer
///   leads to refutations, which spread like all other updates.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.h"
#include "base/event_log.h"
#include "base/ids.h"
#include "base/peer_transport.h"
#include "base/random.h"
#include "base/time.h"
#include "membership/comparison.h"
#include "membership/failure_detector.h"
#include "membership/member_directory.h"
#include "membership/member_table.h"
#include "membership/membership_message.h"
#include "membership/record_table.h"
#include "membership/update_broadcaster.h"

namespace covewing::membership {

struct GossipMembershipOptions {
  std::string name;
  std::string zone;
  std::string region;
  base::Endpoint endpoint;
  /// Grows with each start of the same name.
  base::Incarnation incarnation = 1;
  /// Endpoints to join through; the own one among them is skipped.
  std::vector<base::Endpoint> seeds;

  FailureDetectorOptions probing;
  /// A suspected member is held dead after this many probe periods times log10(members + 1),
  /// at least `minimumSuspicion`.
  double suspicionFactor = 1.5;
  base::Duration minimumSuspicion = std::chrono::seconds(3);
  base::Duration gossipPeriod = std::chrono::milliseconds(200);
  std::size_t gossipFanout = 3;
  UpdateBroadcasterOptions broadcasts;
  /// Updates on one ping or ack.
  std::size_t piggybackBytes = 400;
  /// Between comparisons when nothing is amiss, and at first, and after one that found much.
  base::Duration syncPeriod = std::chrono::seconds(10);
  base::Duration firstSyncPeriod = std::chrono::seconds(1);
  /// A node queries a seed that no live member has this often at first, then ever more seldom, and
  /// for `joinPeriod` at most if it knows other members. A join takes a round trip, and any seed
  /// may be down.
  base::Duration firstJoinRetry = std::chrono::milliseconds(30);
  base::Duration joinRetry = std::chrono::milliseconds(500);
  base::Duration joinPeriod = std::chrono::seconds(5);
  /// Interval between the first two comparisons after a start; it doubles with each one.
  base::Duration startSyncPeriod = std::chrono::milliseconds(100);
  /// How often a member held dead, and a seed that no live member has, is asked again.
  base::Duration deadRetry = std::chrono::seconds(5);
  /// A gossip period that ends this much late shows that the process was paused.
  base::Duration pauseThreshold = std::chrono::milliseconds(300);
  MemberRetention retention;
};

class GossipMembership final : public MemberDirectory,
                               public RecordDissemination,
                               public base::PeerHandler,
                               private ProbeActions {
 public:
  GossipMembership(GossipMembershipOptions options, base::Clock& clock, base::TimerService& timers,
                   base::RandomSource& random, base::EventLog& log, base::PeerTransport& peers);
  ~GossipMembership() override;
  GossipMembership(const GossipMembership&) = delete;
  GossipMembership& operator=(const GossipMembership&) = delete;

  /// Begins joining and probing.
  void start();
  /// Tells others that this node goes; it probes no more, and must be destroyed soon after.
  void leave();
  void setDraining(bool draining);
  /// The process was paused: nobody is suspected for what could not be heard meanwhile.
  void onWake();

  const Member& self() const override { return members_.self(); }
  const std::vector<Member>& liveMembers() const override { return members_.live(); }
  const Member* find(base::NodeId id) const override { return members_.find(id); }
  std::size_t lostMembers() const override { return members_.lost(); }
  std::size_t missingSeeds() const override;
  std::uint64_t version() const override { return members_.version(); }

  void publish(GossipRecord record) override;
  std::optional<GossipRecord> find(std::string_view key) const override;
  void subscribe(std::string keyPrefix, Listener listener) override;

  void onPeerMessage(const base::PeerIdentity& sender, std::string_view payload) override;

 private:
  /// A ping sent for another node.
  struct Relay {
    base::Endpoint origin;
    std::uint64_t sequence = 0;
    base::TimePoint sentAt;
  };

  void onPeriod();
  /// The seeds, other than this node, that no live member has.
  std::vector<base::Endpoint> unknownSeeds() const;
  /// Whether seeds that started together with this node had time to reply.
  bool joinPeriodOver() const { return clock_.now() - startedAt_ > options_.joinPeriod; }
  void onGossipTick();
  /// Notices a pause of the process by the time since the last call.
  void noteRunning(base::TimePoint now);
  void expireSuspicions();
  void onSyncTick();
  /// Compares soon, and then less and less often.
  void compareSoon(base::Duration firstInterval);
  void onDeadTick();
  void onJoinTick();
  void every(base::Duration period, base::TimerId& timer, void (GossipMembership::*action)());

  void sendPing(const Member& target, std::uint64_t sequence) override;
  void sendPingRequest(const Member& helper, base::NodeId target, std::uint64_t sequence) override;
  void onProbeFailed(base::NodeId target) override;

  void handle(const base::PeerIdentity& sender, const Ping& message);
  void handle(const base::PeerIdentity& sender, const Ack& message);
  void handle(const base::PeerIdentity& sender, const PingRequest& message);
  void handle(const base::PeerIdentity& sender, const Gossip& message);
  void handle(const base::PeerIdentity& sender, const SyncRequest& message);
  void handle(const base::PeerIdentity& sender, const SyncSummary& message);
  void handle(const base::PeerIdentity& sender, const SyncItems& message);

  /// Returns packed updates about the members that `updates` wrongly considers suspected or dead.
  std::string takeUpdates(const UpdateBatch& updates);
  void correct(const base::Endpoint& endpoint, std::string corrections);
  void takeUpdate(MemberUpdate update);
  /// Whether a member that others hold dead may refute that before it is held dead here: nodes that
  /// were cut off held it dead, and it is live for this node.
  bool mayYetRefute(const MemberUpdate& update) const;
  /// Takes an update found by comparison. That a live member is gone is not believed, as after a
  /// partition each side holds the other dead: it joins `accused`. What is outdated is corrected.
  void takeComparedUpdate(const MemberUpdate& update, bool spreadUnknown, PackedWriter& corrections,
                          std::vector<MemberUpdate>& accused);
  /// Tells some of the members that another node holds them dead, and probes them soon.
  void forwardAccusations(std::vector<MemberUpdate> accused);
  void takeRecord(const GossipRecord& record);
  /// Handles an update about this node itself; refutes it if it is wrong.
  void takeAccusation(const MemberUpdate& update);
  void applyAndSpread(const MemberUpdate& update, bool spread = true);
  void report(const MemberChange& change);

  /// Tells the node that sent `self` what is known of it, if that overrides it.
  void accuse(const base::Endpoint& endpoint, const std::string& self);
  void requestSync(const base::Endpoint& endpoint);
  void sendItems(const base::Endpoint& endpoint, const SyncItems& items);
  void send(const base::Endpoint& endpoint, const MembershipMessage& message);
  base::Duration suspicionTime() const;
  bool alone() const { return members_.live().size() <= 1; }

  GossipMembershipOptions options_;
  base::Clock& clock_;
  base::TimerService& timers_;
  base::RandomSource& random_;
  base::EventLog& log_;
  base::PeerTransport& peers_;
  MemberTable members_;
  RecordTable records_;
  Comparison comparison_;
  UpdateBroadcaster broadcasts_;
  FailureDetector detector_;
  std::map<std::uint64_t, Relay> relays_;
  /// Time that the process has been running, pauses left out.
  base::Duration running_{};
  base::TimePoint lastRunning_;
  base::TimePoint startedAt_{};
  base::Duration syncInterval_{};
  base::Duration joinInterval_{};
  base::TimerId periodTimer_ = 0;
  base::TimerId gossipTimer_ = 0;
  base::TimerId syncTimer_ = 0;
  base::TimerId deadTimer_ = 0;
  base::TimerId joinTimer_ = 0;
};

}  // namespace covewing::membership
