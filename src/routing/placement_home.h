/// \file
/// The home's side of placement: what runs at the replicas that this node is home to, and the
/// queues of the requests that wait for their room.
///
/// States of a question: granted or declined at once; or, where it may queue, granted, refused or
/// queued. A queued one is granted, refused or declined later by a message, and until then told
/// that it still waits, each time within `promise`. The queue is looked at when a request there
/// began or ended, and every `lookInterval` while some wait. When the replica may get no requests
/// any more, or another node is its home, all that wait are declined, so that they go elsewhere.
///
/// A replica that names a rate limit is paced here for all nodes (routing/rate_pacer.h), by the
/// node that takes itself for its home alone. What the home knows of the limit, it hears in its own
/// requests and watches, from those that ask it and from what they tell of their answers. A home
/// that has lost sight of most members may be one of several: it grants its part of the rate alone.
///
/// Nothing survives the node: nodes whose requests waited here miss the promised answer and ask
/// elsewhere. A home that follows another grants no credit.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <unordered_map>
#include <vector>

#include "admission/admission_queue.h"
#include "base/peer_transport.h"
#include "base/time.h"
#include "membership/member_directory.h"
#include "routing/ledger_capacity.h"
#include "routing/placement_messages.h"
#include "routing/prefix_holders.h"
#include "routing/replica_directory.h"
#include "routing/replica_homes.h"
#include "routing/replica_ledger.h"

namespace covewing::routing {

struct PlacementHomeOptions {
  /// A request in the queue hears from its home within this. A caller's request should not wait
  /// for a dead home for more than half a second; shorter would cost more messages than the
  /// decisions themselves.
  base::Duration updateInterval = std::chrono::milliseconds(400);
  /// How often a queue is looked at when nothing happens at its replica: much less than the
  /// shortest times that callers state, some 100 ms and more.
  base::Duration checkInterval = std::chrono::milliseconds(25);
  ReplicaLedgerOptions ledger;
  admission::AdmissionQueueOptions queue;
};

/// All must outlive the home and share its thread.
struct PlacementHomeEnvironment {
  base::Clock& clock;
  base::TimerService& timers;
  base::EventLog& log;
  const membership::MemberDirectory& members;
  const ReplicaDirectory& replicas;
  PrefixHolders& holders;
};

/// Waits of requests that were granted from a queue.
struct QueueWaits {
  std::uint64_t count = 0;
  base::Duration total{};
};

/// Urgencies that metrics tell apart; the last one stands for all less urgent ones as well.
inline constexpr std::size_t kUrgencyLevels = 4;

/// Counts since the start, for metrics.
struct PlacementHomeCounters {
  std::uint64_t grantedAtOnce = 0;
  std::uint64_t grantedLater = 0;
  /// Refused when they asked, and out of the queue.
  std::uint64_t refusedAtOnce = 0;
  std::uint64_t refusedLater = 0;
  /// Left the queue: by their node, and because the replica or its home changed.
  std::uint64_t withdrawn = 0;
  std::uint64_t cleared = 0;
  /// Questions for which the rate limit of the replica left nothing at once.
  std::uint64_t rateLimited = 0;
  std::array<QueueWaits, kUrgencyLevels> waits{};
};

class PlacementHome {
 public:
  /// Sends an answer to a queued question to the node that asked. Not called inside the calls that
  /// the asking node makes here, but by way of messages or a timer.
  using SendReply = std::function<void(const base::PeerIdentity& sender, const PlacementReply&)>;

  PlacementHome(PlacementHomeOptions options, PlacementHomeEnvironment environment,
                SendReply sendReply);
  ~PlacementHome();
  PlacementHome(const PlacementHome&) = delete;
  PlacementHome& operator=(const PlacementHome&) = delete;

  /// The answer to a question that is new here.
  PlacementReply decide(const PlacementQuery& query, const base::PeerIdentity& sender);
  void onUngrantedDispatch(const UngrantedDispatch& dispatch);
  void onStarted(const PlacementStarted& started);
  /// Also ends the wait of a queued request.
  void onEnded(const PlacementEnded& ended, base::NodeId node);

  const PlacementHomeCounters& counters() const { return counters_; }
  /// Requests that wait here now, for all replicas.
  std::size_t queued() const;

 private:
  /// A request in the queue.
  struct QueuedRequest {
    PlacementQuery query;
    base::PeerIdentity sender;
    CapacityDemand demand;
    base::TimePoint since{};
    /// When its node was last told that it waits.
    base::TimePoint updatedAt{};
  };
  /// What is known of one replica, and what waits for it.
  struct ReplicaQueue {
    explicit ReplicaQueue(const PlacementHomeOptions& options)
        : ledger(options.ledger), queue(options.queue) {}
    ReplicaLedger ledger;
    admission::AdmissionQueue queue;
    std::unordered_map<std::uint64_t, QueuedRequest> waiting;
    /// What the replica has, as the latest question told.
    PlacementDemand capacity;
  };

  ReplicaQueue& stateOf(base::EngineId replica);
  /// A node heard the replica say that it leaves: all that ask here are told so, also while the
  /// table service cannot tell them.
  void onLeaving(base::EngineId replica);
  /// What the node that asks knows of the replica's rate limit.
  void adoptRateLimit(const PlacementQuery& query);
  /// What a node's answer from the replica said of its rate limit.
  void onRateLimitReported(base::EngineId replica, const clients::RateLimitNotice& notice,
                           const ReplicaQueue& state, std::uint64_t grant);
  /// Paces the replica by what is known of its rate limit now.
  void applyRateLimit(base::EngineId replica, ReplicaQueue& state) const;
  /// The part of a rate limit that this node may grant as the home.
  double rateShare() const;
  bool isHome(const ReplicaRecord& record) const;
  /// Whether the replica may be sent requests now.
  bool usable(base::EngineId replica, ReplicaQueue& state) const;
  /// An answer with all but the verdict.
  PlacementReply describe(const PlacementQuery& query, ReplicaQueue& state) const;
  /// What the request takes there by what the home knows to be cached.
  static PlacementDemand demandAt(const PlacementQuery& query, const PlacementReply& reply);
  LedgerCapacity capacityOf(ReplicaQueue& state, std::uint64_t newId,
                            const CapacityDemand& newDemand) const;
  LedgerCapacity capacityOf(ReplicaQueue& state) const;
  admission::QueueEntry entryOf(std::uint64_t id, const CapacityDemand& demand) const;
  /// Expected wait of a request that does not queue: for what runs, and for what waits before it.
  base::Duration expectedWaitOf(const CapacityDemand& demand, ReplicaQueue& state) const;
  void grant(const PlacementQuery& query, const CapacityDemand& demand, ReplicaQueue& state);
  /// Grants and refuses what waits for the replica, as its room says now.
  void serveQueue(base::EngineId replica, ReplicaQueue& state);
  void grantNext(ReplicaQueue& state);
  void refuseExpired(ReplicaQueue& state);
  /// Declines all that wait for the replica.
  void clearQueue(ReplicaQueue& state);
  bool senderHasLeft(const QueuedRequest& waiting) const;
  void withdrawRequestsOfLeftNodes(ReplicaQueue& state);
  void sendDueUpdates(ReplicaQueue& state);
  void checkQueues();
  void scheduleCheck();

  PlacementHomeOptions options_;
  PlacementHomeEnvironment environment_;
  SendReply sendReply_;
  ReplicaHomes homes_;
  std::unordered_map<base::EngineId, ReplicaQueue> replicas_;
  PlacementHomeCounters counters_;
  base::TimerId checkTimer_ = 0;
  bool checkScheduled_ = false;
};

}  // namespace covewing::routing
