/// \file
/// Server side of placement: tracks what runs at the replicas that this node is the home of, and
/// keeps the queues of the requests that wait for their capacity.
///
/// States of a query: granted or declined at once, or, if it may queue, granted, refused or queued.
/// A queued query is later granted, refused or declined by a message; until then its node receives
/// an update at least every `updateInterval`. A queue is checked when a request at its replica
/// starts or ends, and every `checkInterval` while requests wait. When the replica may no longer
/// receive requests, or another node becomes its home, all its queued requests are declined, so
/// that their nodes try other replicas.
///
/// The rate limit that a replica reports is enforced here for all nodes together
/// (routing/rate_pacer.h), and only by the node that considers itself the home. The home obtains
/// the limit from its own requests and cache watches, from the queries of other nodes, and from
/// what these report about the replica's responses. A home that cannot reach most members may be
/// one of several homes: it grants only its share of the rate.
///
/// Nothing is persisted: if the node stops, the nodes whose requests were queued here miss the next
/// update and query other homes. A home that takes over from another starts without unused rate
/// credit.
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
  /// Maximum time between two updates that the home sends to a queued request. A caller's request
  /// should not wait for a dead home for more than half a second; shorter intervals would cost more
  /// messages than the decisions themselves.
  base::Duration updateInterval = std::chrono::milliseconds(400);
  /// How often a queue is checked when nothing happens at its replica: much shorter than the
  /// shortest deadlines that callers set, some 100 ms and more.
  base::Duration checkInterval = std::chrono::milliseconds(25);
  ReplicaLedgerOptions ledger;
  admission::AdmissionQueueOptions queue;
};

/// All referenced objects must outlive the home and be used on its thread only.
struct PlacementHomeEnvironment {
  base::Clock& clock;
  base::TimerService& timers;
  base::EventLog& log;
  const membership::MemberDirectory& members;
  const ReplicaDirectory& replicas;
  PrefixHolders& holders;
};

/// QueuedRequest times of requests that were granted from a queue.
struct QueueWaits {
  std::uint64_t count = 0;
  base::Duration total{};
};

/// Number of urgency levels with metrics of their own; the last one also counts all less urgent
/// requests.
inline constexpr std::size_t kUrgencyLevels = 4;

/// Totals since the start of the process, for metrics.
struct PlacementHomeCounters {
  std::uint64_t grantedAtOnce = 0;
  std::uint64_t grantedLater = 0;
  /// Requests refused at once, and requests refused after they had been queued.
  std::uint64_t refusedAtOnce = 0;
  std::uint64_t refusedLater = 0;
  /// Requests that left the queue: withdrawn by their node, and removed because the replica or its
  /// home changed.
  std::uint64_t withdrawn = 0;
  std::uint64_t cleared = 0;
  /// Queries that could not be granted at once because of the replica's rate limit.
  std::uint64_t rateLimited = 0;
  std::array<QueueWaits, kUrgencyLevels> waits{};
};

class PlacementHome {
 public:
  /// Sends the reply to a queued query to the node that sent the query. The reply must be delivered
  /// by a message or a timer, not inside the call in which it is sent.
  using SendReply = std::function<void(const base::PeerIdentity& sender, const PlacementReply&)>;

  PlacementHome(PlacementHomeOptions options, PlacementHomeEnvironment environment,
                SendReply sendReply);
  ~PlacementHome();
  PlacementHome(const PlacementHome&) = delete;
  PlacementHome& operator=(const PlacementHome&) = delete;

  /// Decides a new query and returns the reply.
  PlacementReply decide(const PlacementQuery& query, const base::PeerIdentity& sender);
  void onUngrantedDispatch(const UngrantedDispatch& dispatch);
  void onStarted(const PlacementStarted& started);
  /// Also removes a queued request from its queue.
  void onEnded(const PlacementEnded& ended, base::NodeId node);

  const PlacementHomeCounters& counters() const { return counters_; }
  /// Number of requests queued here now, for all replicas.
  std::size_t queued() const;

 private:
  /// A request in the queue.
  struct QueuedRequest {
    PlacementQuery query;
    base::PeerIdentity sender;
    CapacityDemand demand;
    base::TimePoint since{};
    /// When its node was last informed that the request is queued.
    base::TimePoint updatedAt{};
  };
  /// State of one replica and its queue.
  struct ReplicaQueue {
    explicit ReplicaQueue(const PlacementHomeOptions& options)
        : ledger(options.ledger), queue(options.queue) {}
    ReplicaLedger ledger;
    admission::AdmissionQueue queue;
    std::unordered_map<std::uint64_t, QueuedRequest> waiting;
    /// Capacity of the replica according to the latest query.
    PlacementDemand capacity;
  };

  ReplicaQueue& stateOf(base::EngineId replica);
  /// A node reported that the replica is leaving: all nodes that query this home are informed, even
  /// while the table service cannot inform them.
  void onLeaving(base::EngineId replica);
  /// Takes over what the sender of the query has observed of the replica's rate limit.
  void adoptRateLimit(const PlacementQuery& query);
  /// Takes over the rate limit that the replica reported in a response to some node.
  /// Processes a report of how many refusals per second the replica withstands.
  static void onRefusalLimitReported(const clients::RateLimitNotice& notice, ReplicaQueue& state);
  void onRateLimitReported(base::EngineId replica, const clients::RateLimitNotice& notice,
                           const ReplicaQueue& state, std::uint64_t grant);
  /// Applies the currently known rate limit of the replica.
  void applyRateLimit(base::EngineId replica, ReplicaQueue& state) const;
  /// Share of a rate limit that this node may grant as the home, from 0 to 1.
  double rateShare() const;
  bool isHome(const ReplicaRecord& record) const;
  /// Whether requests may be sent to the replica now.
  bool usable(base::EngineId replica, ReplicaQueue& state) const;
  /// Returns a reply with all fields except the verdict.
  PlacementReply describe(const PlacementQuery& query, ReplicaQueue& state) const;
  /// Resources that the request needs at the replica, given the prompt parts that the home
  /// considers cached there.
  static PlacementDemand demandAt(const PlacementQuery& query, const PlacementReply& reply);
  LedgerCapacity capacityOf(ReplicaQueue& state, std::uint64_t newId,
                            const CapacityDemand& newDemand) const;
  LedgerCapacity capacityOf(ReplicaQueue& state) const;
  admission::QueueEntry entryOf(std::uint64_t id, const CapacityDemand& demand) const;
  /// Expected wait of a new request, for the requests that run and for those queued before it.
  base::Duration expectedWaitOf(const CapacityDemand& demand, ReplicaQueue& state) const;
  void grant(const PlacementQuery& query, const CapacityDemand& demand, ReplicaQueue& state);
  /// Grants and refuses queued requests according to the replica's current capacity.
  void serveQueue(base::EngineId replica, ReplicaQueue& state);
  void grantNext(ReplicaQueue& state);
  void refuseExpired(ReplicaQueue& state);
  /// Declines all requests queued for the replica.
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
