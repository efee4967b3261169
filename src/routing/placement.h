/// \file
/// Decides with the homes of replicas where a request runs: the asking side.
///
/// Every replica has a home among the nodes (routing/replica_homes.h) that knows the work of all
/// nodes there, what its cache holds, whether it answers, and who waits for it
/// (routing/placement_home.h). A node asks the homes of the candidates in turn, in the order of
/// preference, until one grants the request because the replica turns to it soon. Where none does,
/// or others wait at the first homes already, the request joins the queue of the home with the
/// shortest wait. It is asked for nowhere else meanwhile; the home grants or refuses it later.
///
/// A question never costs a request: a home that does not answer is passed over after some
/// milliseconds, one that does not keep its promise of another answer as soon as that is due, and
/// where no home answers the node decides by what it knows itself. Nothing that must hold rests on
/// a home: versions, tenants, instances and runs are checked where they were. Two nodes that both
/// take themselves for a home each miss what the other granted; the replica's own refusals bound
/// that.
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
#include "routing/placement_home.h"
#include "routing/placement_messages.h"
#include "routing/replica_directory.h"
#include "routing/replica_homes.h"
#include "routing/replica_ledger.h"

namespace covewing::routing {

struct PlacementOptions {
  /// Longest wait for a home's answer. A round trip takes 2 to 4 ms, and a busy node answers late.
  base::Duration timeout = std::chrono::milliseconds(25);
  /// A request asks no more homes after so many did not answer.
  std::size_t maximumTimeouts = 2;
  /// A home that did not answer so many questions in a row is passed over for a while.
  std::size_t timeoutsToAvoid = 2;
  base::Duration avoidFor = std::chrono::milliseconds(1000);
  /// A later candidate must have a wait shorter by this: it fetches what an earlier one may hold.
  base::Duration moveMargin = std::chrono::milliseconds(20);
  /// Added to the time within which a home promised another answer: a busy node is late by some
  /// milliseconds, and a request that leaves the queue loses its place.
  base::Duration updateMargin = std::chrono::milliseconds(50);
  /// A request joins a queue after so many homes told that others wait there. One may be an uneven
  /// load that the next home has room for; each home more costs two messages in a shortage.
  std::size_t queuesToJoin = 2;
  /// A home that told of others waiting is known to have a queue for so long without being asked:
  /// some runs end meanwhile, few queues do, and the home that is joined grants at once if it did.
  base::Duration queueAssumedFor = std::chrono::milliseconds(200);
  PlacementHomeOptions home;
};

/// All must outlive the placement and share its thread.
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

/// A replica that a request could go to.
struct PlacementCandidate {
  ReplicaRecordPtr record;
  CacheScope scope = 0;
  PlacementDemand work;
  /// Expected time that it takes until the answer begins when nothing else runs there.
  base::Duration prefillTime{};
};

/// How a request stands among others; times are on this node's clock.
struct PlacementConstraints {
  /// 0 is the most urgent.
  std::uint32_t urgency = 0;
  /// Hash of the tenant's name; 0: none.
  std::uint64_t tenant = 0;
  base::TimePoint arrivedAt{};
  /// The answer is in time if it begins by then.
  base::TimePoint softStartDeadline{};
  /// An answer that begins later is of no use to the caller.
  base::TimePoint hardStartDeadline{};
  /// As PlacementTerms has them.
  base::Duration longestPause{};
  std::uint32_t outputTokens = 0;
};

struct PlacementRequest {
  /// In order of preference.
  std::vector<PlacementCandidate> candidates;
  /// Empty for requests without a prompt.
  std::string model;
  /// The shared parts of the prompt; empty without one.
  std::vector<prefix::PromptPart> parts;
  std::uint32_t promptTokens = 0;
  /// The first candidate that turns to the request within this is taken.
  base::Duration acceptableWait{};
  PlacementConstraints constraints;
};

/// What a home counts a request under.
struct PlacementGrant {
  std::uint64_t id = 0;
  base::EngineId replica;
  base::NodeId homeId;
  base::Endpoint home;
  /// The home counted it within the replica's rate limit.
  bool paced = false;
  /// By when the grant was there: a node that stood still reads it later.
  base::TimePoint at{};

  /// Longest time from a paced grant to the first byte at the replica: what is paced must not
  /// arrive at once with what was paced before.
  static constexpr base::Duration kMaximumUseDelay = std::chrono::milliseconds(500);
  /// Whether it still counts within the rate limit of its replica.
  bool validForRateLimit(base::TimePoint now) const {
    return paced && now - at <= kMaximumUseDelay;
  }
};

struct PlacementResult {
  /// Place of the candidate that granted the request; empty when none did.
  std::optional<std::size_t> candidate;
  std::optional<PlacementGrant> grant;
  std::uint32_t matchedTokens = 0;
  /// Expected wait at the chosen candidate.
  base::Duration wait{};
  /// The request cannot be served in the time that it has, by the home whose queue it joined, and
  /// one like it would be after this.
  std::optional<base::Duration> retryAfter;
  /// The home that answered last paces its replica by a rate limit.
  bool rateLimited = false;
  /// Requests that waited for the same room when a home last answered.
  std::uint32_t queued = 0;
  /// Questions sent, and how many of them were answered.
  std::size_t queriesSent = 0;
  std::size_t repliesReceived = 0;
};

/// Counts since the start, for metrics.
struct PlacementCounters {
  std::uint64_t queries = 0;
  std::uint64_t granted = 0;
  std::uint64_t declined = 0;
  std::uint64_t timeouts = 0;
  /// Requests that joined a queue, were refused by a home, and left a queue because the home did
  /// not keep its promise of another answer.
  std::uint64_t queued = 0;
  std::uint64_t refused = 0;
  std::uint64_t queueUpdatesMissed = 0;
  /// As the home of replicas; `queuedHere` is the number now.
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

  /// Names a request that is being placed; never 0.
  using Ticket = std::uint64_t;

  Ticket newTicket() { return ++lastTicket_; }
  /// Calls `found` once unless the request is cancelled; inside the call where only this node is
  /// asked and answers at once.
  void place(Ticket ticket, PlacementRequest request, ResultCallback found);
  /// The request is over: it waits nowhere any more, and `found` is not called. Tickets of requests
  /// that were placed are ignored.
  void cancel(Ticket ticket);
  /// Tells the home of a request that is sent without its grant.
  PlacementGrant dispatchUngranted(const PlacementCandidate& candidate,
                                   base::Duration longestPause = {});
  /// A call that is no request goes to a replica with a rate limit: its home counts it.
  void countControlCall(const ReplicaRecord& replica);
  /// The answer to the request began. Its home is told what the replica has said of itself.
  void reportStarted(const PlacementGrant& grant, const clients::RateLimitNotice& rateLimit = {});
  /// The request ended, or was turned away. Tells what the replica has said of itself as well.
  void reportEnded(const PlacementGrant& grant, PlacementOutcome outcome,
                   const StreamObservation& observed = {},
                   const clients::RateLimitNotice& rateLimit = {});
  /// The request is not sent to the replica after all.
  void returnGrant(const PlacementGrant& grant,
                   PlacementOutcome outcome = PlacementOutcome::kWithdrawn);
  void onPeerMessage(const base::PeerIdentity& sender, std::string_view payload) override;

  PlacementCounters counters() const;

 private:
  enum class Phase : std::uint8_t {
    /// Homes are asked in turn.
    kQuerying,
    /// The home with the shortest wait is asked to queue the request.
    kJoining,
    kQueued,
  };
  /// What is known of a candidate while one request is placed.
  struct CandidateState {
    std::optional<base::Duration> wait;
    /// By how much the longest pause would be over what routes allow; zero: no stream there pauses
    /// too long.
    base::Duration pauseExcess{};
    /// Not worth asking for this request any more.
    bool ruledOut = false;
  };
  /// A request whose homes are being asked, or which waits at one.
  struct Pending {
    PlacementRequest request;
    ResultCallback found;
    std::vector<CandidateState> candidateStates;
    Phase phase = Phase::kQuerying;
    std::size_t position = 0;
    std::size_t queriesSent = 0;
    std::size_t repliesReceived = 0;
    std::size_t timeouts = 0;
    /// Homes that told of others waiting.
    std::size_t queuesSeen = 0;
    std::uint32_t queued = 0;
    bool rateLimited = false;
    /// The home that is asked may queue the request if the wait there is at most this.
    std::optional<base::Duration> maximumQueueWait;
    /// The question that is open, and the home asked.
    std::uint64_t queryId = 0;
    base::NodeId homeId;
    base::Endpoint home;
    base::TimerId timer = 0;
    /// When the timer is due: an answer that is read later lay unread.
    base::TimePoint replyDue{};
  };
  struct HomeReliability {
    std::size_t timeouts = 0;
    base::TimePoint avoidedUntil{};
  };
  /// The queue of a home, as it told lately.
  struct KnownQueue {
    std::uint32_t length = 0;
    base::Duration wait{};
    base::Duration pauseExcess{};
    base::TimePoint until{};
    bool rateLimited = false;
  };

  const ReplicaRecord& recordOf(const Pending& pending) const;
  /// Asks the homes of the candidates in turn, then joins a queue.
  void queryNext(Ticket ticket);
  /// Whether this candidate is asked now; notes what is known of it if not.
  bool shouldQuery(Pending& pending);
  bool enoughQueuesSeen(const Pending& pending) const;
  /// The wait up to which the home that is asked next may queue the request at once, which saves
  /// two messages: the last one before a queue is joined, if its wait is the shortest.
  std::optional<base::Duration> queueWaitLimit(const Pending& pending) const;
  base::Duration costOf(const Pending& pending, std::size_t index) const;
  void joinQueue(Ticket ticket);
  /// Whether a candidate goes before another. One where no stream pauses too long goes before one
  /// where some would, by however much that one's wait is shorter: at 1.1 times the room of
  /// replicas of three speeds 24 in 100 streams pause too long, 39 where pauses only add to the
  /// wait, and 36 where they do not count (12 seeds of the load test of pauses).
  bool isPreferred(const Pending& pending, std::size_t index, std::size_t other) const;
  /// The candidate whose queue is joined; empty when none is left.
  std::optional<std::size_t> candidateWithShortestWait(const Pending& pending) const;
  /// Sends the question of the pending request's position and phase.
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
  /// The home of the pending request did not answer in time.
  void recordMissedReply(const Pending& pending);
  /// Asks the others again, without the candidate at the position.
  void ruleOutCandidate(Ticket ticket);
  PlacementResult resultOf(const Pending& pending) const;
  void conclude(Ticket ticket, const PlacementResult& result);
  void concludeGranted(Ticket ticket, const PlacementReply& reply);
  PlacementGrant grantOf(const Pending& pending) const;
  bool isLeaving(base::EngineId replica) const;
  void closeQuery(Pending& pending);

  /// An answer of this node as home to a question of some node.
  void sendReply(const base::PeerIdentity& sender, const PlacementReply& reply);
  void deliverToSelf();
  void sendEnded(const PlacementGrant& grant, const PlacementEnded& message);
  /// Waits for the answer of the home that was asked.
  void awaitReply(Pending& pending, base::Duration within, std::function<void()> onMissed);
  bool isSelf(base::NodeId node) const;
  void send(const base::Endpoint& destination, const PlacementMessage& message);

  PlacementOptions options_;
  PlacementEnvironment environment_;
  ReplicaHomes homes_;
  PlacementHome home_;
  Ticket lastTicket_ = 0;
  std::unordered_map<Ticket, Pending> pending_;
  /// Open questions.
  std::unordered_map<std::uint64_t, Ticket> openQueries_;
  std::map<base::NodeId, HomeReliability> homeReliability_;
  std::unordered_map<base::EngineId, KnownQueue> queues_;
  /// Late answers of this node as home to itself: requests are not taken up inside the calls in
  /// which others end.
  std::vector<PlacementReply> repliesToSelf_;
  base::TimerId toSelfTimer_ = 0;
  PlacementCounters counters_;
};

}  // namespace covewing::routing
