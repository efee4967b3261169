/// \file
/// Decides, together with the homes of the replicas, which replica runs a request. This is the
/// client side, used by the node that received the request.
///
/// Every replica has a home among the nodes (routing/replica_homes.h). The home tracks the work of
/// all nodes at the replica, its cached prompt parts, whether it responds, and the requests queued
/// for it (routing/placement_home.h). A node queries the homes of the candidate replicas one after
/// another, in order of preference, until one grants the request because its replica can start it
/// soon. If none does, or if the first homes already have queues, the request joins the queue of
/// the home with the shortest expected wait. It is then queued at that home only, which grants or
/// refuses it later.
///
/// A query cannot make a request fail: a home that does not reply is skipped after some
/// milliseconds, a home that does not send the next update of a queued request in time is abandoned
/// as soon as the update is overdue, and if no home replies the node decides from its own data. No
/// guarantee depends on a home: versions, tenants, instances and executions are checked elsewhere,
/// independently of placement. If two nodes both consider themselves the home of a replica, neither
/// sees the grants of the other; the replica's own refusals then bound the overload.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/event_log.h"
#include "base/peer_transport.h"
#include "base/random.h"
#include "base/time.h"
#include "routing/candidate_report.h"
#include "routing/placement_home.h"
#include "routing/placement_messages.h"
#include "routing/replica_directory.h"
#include "routing/replica_homes.h"
#include "routing/replica_ledger.h"

namespace covewing::routing {

struct PlacementOptions {
  /// Maximum wait for the reply of a home. A round trip takes 2 to 4 ms, and an overloaded node
  /// replies late.
  base::Duration timeout = std::chrono::milliseconds(25);
  /// Maximum number of homes that a request queries before it joins a queue; each query is a round
  /// trip.
  std::size_t maximumQueries = 6;
  /// A request queries no further homes after this many time-outs.
  std::size_t maximumTimeouts = 2;
  /// A home is not queried for a while after this many time-outs in a row.
  std::size_t timeoutsToAvoid = 2;
  base::Duration avoidFor = std::chrono::milliseconds(1000);
  /// A later candidate is preferred only if its expected wait is shorter by at least this per
  /// position, since it may have to fetch prompt parts that an earlier candidate already holds.
  base::Duration moveMargin = std::chrono::milliseconds(20);
  /// Added to the time within which a home announced its next update: an overloaded node is some
  /// milliseconds late, and a request that leaves the queue loses its position.
  base::Duration updateMargin = std::chrono::milliseconds(50);
  /// A request joins a queue after this many homes reported a queue and one alternate was queried.
  /// A single queue may come from uneven load while the next home still has capacity; each further
  /// home costs two messages per request during a capacity shortage.
  std::size_t queuesToJoin = 2;
  /// After a home reported a queue, the queue is assumed to persist for this long and the home is
  /// not queried. A few requests end in this time, but few queues empty; if this one did, the home
  /// grants at once when the request joins.
  base::Duration queueAssumedFor = std::chrono::milliseconds(200);
  PlacementHomeOptions home;
};

/// All referenced objects must outlive the placement and be used on its thread only.
struct PlacementEnvironment {
  base::Clock& clock;
  base::TimerService& timers;
  base::RandomSource& random;
  base::EventLog& log;
  base::PeerTransport& peers;
  const membership::MemberDirectory& members;
  const ReplicaDirectory& replicas;
  PrefixHolders& holders;
};

/// A replica to which a request could be sent.
struct PlacementCandidate {
  ReplicaRecordPtr record;
  CacheScope scope = 0;
  PlacementDemand work;
  /// Expected time from dispatch to the first byte of the response if nothing else runs at the
  /// replica.
  base::Duration prefillTime{};
};

/// Scheduling constraints of a request; times are on this node's clock.
struct PlacementConstraints {
  /// 0 is the most urgent.
  std::uint32_t urgency = 0;
  /// Hash of the tenant's name; 0 if there is no tenant.
  std::uint64_t tenant = 0;
  base::TimePoint arrivedAt{};
  /// The response is in time if it starts by then.
  base::TimePoint softStartDeadline{};
  /// A response that starts later is of no use to the caller.
  base::TimePoint hardStartDeadline{};
  /// Same meaning as in PlacementTerms.
  base::Duration maximumPause{};
  std::uint32_t outputTokens = 0;
};

struct PlacementRequest {
  /// Candidates in order of preference.
  std::vector<PlacementCandidate> candidates;
  /// Number of candidates at the end that are alternates: one of them is queried even if enough
  /// homes reported a queue, and none if another candidate grants the request.
  std::size_t alternates = 0;
  /// Name of the model; empty for requests without a prompt.
  std::string model;
  /// Shared parts of the prompt; empty for requests without a prompt.
  std::vector<prefix::PromptPart> parts;
  std::uint32_t promptTokens = 0;
  /// The first candidate whose expected wait is at most this is used.
  base::Duration acceptableWait{};
  PlacementConstraints constraints;
};

/// Identifies a request, granted or not, at the home that counts it.
struct PlacementGrant {
  std::uint64_t id = 0;
  base::EngineId replica;
  base::NodeId homeId;
  base::Endpoint home;
  /// The home counted the request against the replica's rate limit.
  bool paced = false;
  /// Latest time at which the grant can have arrived: a node that was paused reads it later.
  base::TimePoint at{};

  /// Maximum time from a rate-limited grant until the request reaches the replica. Requests that
  /// were spread out by the home must not reach the replica together with those granted before
  /// them.
  static constexpr base::Duration kMaximumUseDelay = std::chrono::milliseconds(500);
  /// Whether the request may still be sent under its share of the replica's rate limit.
  bool validForRateLimit(base::TimePoint now) const {
    return paced && now - at <= kMaximumUseDelay;
  }
};

struct PlacementResult {
  /// Index of the candidate that granted the request; empty if none did.
  std::optional<std::size_t> candidate;
  std::optional<PlacementGrant> grant;
  std::uint32_t matchedTokens = 0;
  /// Expected wait at the chosen candidate.
  base::Duration wait{};
  /// Set if the home whose queue the request joined refused it because it cannot be served within
  /// its deadlines: the time after which an equal request would be served.
  std::optional<base::Duration> retryAfter;
  /// The home that replied last enforces a rate limit for its replica.
  bool rateLimited = false;
  /// Length of the queue for the same replica in the latest reply of a home.
  std::uint32_t queued = 0;
  /// Number of queries sent, and number of replies received.
  std::size_t queriesSent = 0;
  std::size_t repliesReceived = 0;
  /// If no candidate granted the request: what is known of each.
  std::vector<CandidateReport> candidates;
};

/// Totals since the start of the process, for metrics.
struct PlacementCounters {
  std::uint64_t queries = 0;
  std::uint64_t granted = 0;
  std::uint64_t declined = 0;
  std::uint64_t timeouts = 0;
  /// Requests that joined a queue, that were refused by a home, and that left a queue because the
  /// home did not send the next update in time.
  std::uint64_t queued = 0;
  std::uint64_t refused = 0;
  std::uint64_t queueUpdatesMissed = 0;
  /// Totals of this node as a home, and the number of requests in its queues now.
  PlacementHomeCounters home;
  std::size_t queuedHere = 0;
};

class Placement final : public base::PeerHandler {
 public:
  using ResultCallback = std::function<void(const PlacementResult&)>;

  Placement(PlacementOptions options, PlacementEnvironment environment);
  ~Placement() override;
  Placement(const Placement&) = delete;
  Placement& operator=(const Placement&) = delete;

  /// Identifies a request that is being placed; never 0.
  using Ticket = std::uint64_t;

  Ticket newTicket() { return ++lastTicket_; }
  /// Places the request. Calls `found` exactly once unless the request is cancelled; calls it
  /// before returning if only this node was queried and decided at once.
  void place(Ticket ticket, PlacementRequest request, ResultCallback found);
  /// Cancels the placement: the request is removed from the queue that it waits in, and `found` is
  /// not called. Tickets of requests that have been placed are ignored.
  void cancel(Ticket ticket);
  /// Reports a request that is sent without a grant to the home of its replica.
  PlacementGrant dispatchUngranted(const PlacementCandidate& candidate,
                                   base::Duration maximumPause = {});
  /// Reports a control call, which is not an inference request, to the home of a rate-limited
  /// replica, so that the call counts against the limit.
  void countControlCall(const ReplicaRecord& replica);
  /// Reports to the home that the response started, together with the limits in its headers and
  /// with whether the replica is leaving.
  void reportStarted(const PlacementGrant& grant, const clients::RateLimitNotice& rateLimit = {},
                     const clients::RateLimitNotice& refusalLimit = {});
  /// Reports to the home that the request ended or was rejected by the replica, together with the
  /// limits in the response headers and with whether the replica is leaving.
  void reportEnded(const PlacementGrant& grant, PlacementOutcome outcome,
                   const StreamObservation& observed = {},
                   const clients::RateLimitNotice& rateLimit = {},
                   const clients::RateLimitNotice& refusalLimit = {});
  /// Returns a grant whose request is not sent to the replica.
  void returnGrant(const PlacementGrant& grant,
                   PlacementOutcome outcome = PlacementOutcome::kWithdrawn);
  void onPeerMessage(const base::PeerIdentity& sender, std::string_view payload) override;

  PlacementCounters counters() const;

 private:
  enum class Phase : std::uint8_t {
    /// Homes are queried one after another.
    kQuerying,
    /// The home with the shortest expected wait is asked to queue the request.
    kJoining,
    kQueued,
  };
  /// State of a candidate while one request is placed.
  struct CandidateState {
    CandidateKnowledge knowledge = CandidateKnowledge::kNotQueried;
    std::optional<base::Duration> wait;
    /// By how much the longest pause would exceed what the routes allow, summed over the streams at
    /// the replica; zero if no stream there would pause too long.
    base::Duration pauseExcess{};

    bool ruledOut() const { return knowledge == CandidateKnowledge::kRuledOut; }
  };
  /// A request that is being placed: its homes are being queried, or it waits in the queue of one.
  struct Pending {
    PlacementRequest request;
    ResultCallback found;
    std::vector<CandidateState> candidateStates;
    Phase phase = Phase::kQuerying;
    std::size_t position = 0;
    std::size_t queriesSent = 0;
    std::size_t repliesReceived = 0;
    /// Number of homes queried, and of alternates among them, since the request last joined a
    /// queue.
    std::size_t homesQueried = 0;
    std::size_t alternatesQueried = 0;
    std::size_t timeouts = 0;
    /// Number of homes that reported a queue.
    std::size_t queuesSeen = 0;
    std::uint32_t queued = 0;
    bool rateLimited = false;
    /// Set if the queried home may queue the request: it does so only if the expected wait there is
    /// at most this.
    std::optional<base::Duration> maximumQueueWait;
    /// Identifier of the open query, and the home that received it.
    std::uint64_t queryId = 0;
    base::NodeId homeId;
    base::Endpoint home;
    base::TimerId timer = 0;
    /// When the timer fires. A reply that is processed later had already arrived and was waiting to
    /// be read.
    base::TimePoint replyDue{};
  };
  struct HomeReliability {
    std::size_t timeouts = 0;
    base::TimePoint avoidedUntil{};
  };
  /// Queue of a home according to its latest reply.
  struct KnownQueue {
    std::uint32_t length = 0;
    base::Duration wait{};
    base::Duration pauseExcess{};
    base::TimePoint until{};
    bool rateLimited = false;
  };

  const ReplicaRecord& recordOf(const Pending& pending) const;
  /// Queries the homes of the remaining candidates one after another, then joins a queue.
  void queryNext(Ticket ticket);
  /// Whether the candidate at the current position is to be queried; if not, records what is known
  /// of it.
  bool shouldQuery(Pending& pending);
  static bool isAlternate(const Pending& pending, std::size_t index);
  bool enoughQueuesSeen(const Pending& pending) const;
  /// Whether no further home is to be queried before a queue is joined.
  bool queriedEnough(const Pending& pending) const;
  /// Whether the query for the current candidate is the last one before a queue is joined, unless
  /// its home grants the request.
  bool isLastQuery(const Pending& pending) const;
  /// Maximum expected wait up to which the home that is queried next may queue the request at once,
  /// which saves two messages. Set for the last query before a queue is joined; the home queues the
  /// request only if its wait is the shortest known.
  std::optional<base::Duration> queueWaitLimit(const Pending& pending) const;
  base::Duration costOf(const Pending& pending, std::size_t index) const;
  void joinQueue(Ticket ticket);
  /// Whether a candidate is preferred to another. A candidate where no stream pauses too long is
  /// preferred to one where some would, however much shorter the wait of the latter is: at 1.1
  /// times the capacity of replicas with three different speeds, 24 in 100 streams pause too long,
  /// against 39 if pauses only add to the wait and 36 if they are ignored (12 seeds of the load
  /// test of pauses).
  bool isPreferred(const Pending& pending, std::size_t index, std::size_t other) const;
  /// Returns the candidate whose queue is to be joined; empty if none is left.
  std::optional<std::size_t> candidateWithShortestWait(const Pending& pending) const;
  /// Sends the query for the pending request's current candidate and phase.
  void sendQuery(Ticket ticket);
  PlacementQuery queryOf(const Pending& pending) const;
  bool isAvoided(base::NodeId home) const;
  void recordReply(Pending& pending, const PlacementReply& reply);
  void onReply(const base::PeerIdentity& sender, const PlacementReply& reply);
  void handleReply(Ticket ticket, const PlacementReply& reply);
  void onQueued(Ticket ticket, const PlacementReply& reply);
  void onDeclined(Ticket ticket, const PlacementReply& reply);
  void onRefused(Ticket ticket, const PlacementReply& reply);
  void onTimeout(Ticket ticket);
  void onUpdateMissed(Ticket ticket);
  /// Records that the home of the pending request did not reply in time.
  void recordMissedReply(const Pending& pending);
  /// Rules out the current candidate and queries the others again.
  void ruleOutCandidate(Ticket ticket);
  PlacementResult resultOf(const Pending& pending) const;
  /// Result of a request that no candidate granted.
  PlacementResult failureOf(const Pending& pending) const;
  void conclude(Ticket ticket, const PlacementResult& result);
  void concludeGranted(Ticket ticket, const PlacementReply& reply);
  PlacementGrant grantOf(const Pending& pending) const;
  bool isLeaving(base::EngineId replica) const;
  void closeQuery(Pending& pending);

  /// Sends a reply of this node, as a home, to the node that sent the query.
  void sendReply(const base::PeerIdentity& sender, const PlacementReply& reply);
  void deliverToSelf();
  void sendEnded(const PlacementGrant& grant, const PlacementEnded& message);
  /// Starts the timer for the reply of the queried home.
  void awaitReply(Pending& pending, base::Duration within, std::function<void()> onMissed);
  bool isSelf(base::NodeId node) const;
  void send(const base::Endpoint& destination, const PlacementMessage& message);

  PlacementOptions options_;
  PlacementEnvironment environment_;
  ReplicaHomes homes_;
  PlacementHome home_;
  Ticket lastTicket_ = 0;
  std::unordered_map<Ticket, Pending> pending_;
  /// Open queries by their identifier.
  std::unordered_map<std::uint64_t, Ticket> openQueries_;
  std::map<base::NodeId, HomeReliability> homeReliability_;
  std::unordered_map<base::EngineId, KnownQueue> queues_;
  /// Deferred replies of this node, as a home, to itself. They are delivered by a timer so that a
  /// request does not continue inside the calls in which others end.
  std::vector<PlacementReply> repliesToSelf_;
  base::TimerId toSelfTimer_ = 0;
  PlacementCounters counters_;
};

}  // namespace covewing::routing
