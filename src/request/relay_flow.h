/// \file
/// The life of one relayed request: from the choice of a replica to the end of its answer.
///
/// States: (tenant with a limit) asking for its share -> choosing -> (shared parts that would be
/// read) asking who holds them -> asking the homes of the candidates, and waiting in the queue of
/// one
/// -> (no replica that could take it) holding -> dispatched -> answering -> over. An attempt that
/// the replica did not run, or one of a repeatable request that failed, leads back to choosing,
/// within the route's attempts and the retry budget. A resumable stream that broke goes on at
/// another replica inside the same answer, behind the last whole event that the caller got.
///
/// Nothing of an answer reaches the caller before it is certain to be used: plain answers are kept
/// until they are whole (up to a bound), streams until their first event.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "admission/retry_window.h"
#include "admission/tenant_quotas.h"
#include "base/event_log.h"
#include "base/random.h"
#include "base/time.h"
#include "clients/relay_client.h"
#include "config/route_table.h"
#include "quarantine/request_quarantine.h"
#include "request/event_splitter.h"
#include "request/relay_request.h"
#include "request/retry_cause.h"
#include "request/stream_watch.h"
#include "request/tenant_allowance.h"
#include "routing/part_lookup.h"
#include "routing/placement.h"
#include "routing/replica_crash_detector.h"
#include "routing/replica_selector.h"
#include "routing/request_durations.h"

namespace covewing::request {

struct RelayOptions {
  /// How often a held request looks for a replica again.
  base::Duration holdRetryInterval = std::chrono::milliseconds(20);
  /// Part of its time that a request is held while no replica of its service may take requests at
  /// all. Nobody can tell when one will; half of the time is left for the answer.
  double holdShare = 0.48;
  /// Longest hold of a request whose tenant is close to its limit. What is granted now and sent
  /// much later would count in another window of the limit, where the tenant uses as much again.
  base::Duration holdNearQuota = std::chrono::milliseconds(300);
  /// Part of the target latency that a request may wait at a replica whose home is asked before the
  /// next candidate's home is asked. Prompts that share much wait longer: each replica more that
  /// holds a long part drops another (salish-reach, 15 plays: 0.644 with a tenth for all, 0.656
  /// with a quarter; bcth-covewing-large trouble-1: 1,706 short prompts late with a tenth, 2,310
  /// with a quarter).
  double acceptableWaitShare = 0.1;
  double longPromptAcceptableWaitShare = 0.25;
  /// Homes are not asked again for a request after this when none answered, or none knew a replica
  /// that may take it.
  base::Duration placementRetryInterval = std::chrono::milliseconds(100);
  /// Replicas that may not take requests whose homes are asked before the request is held.
  std::size_t maximumSkippedReplicas = 8;
  /// A request that would read so many shared tokens asks first who holds them. A lookup costs a
  /// few milliseconds, as reading so many tokens does.
  std::uint32_t minimumLookupTokens = 512;
  /// With fewer holders the home of a first part is told of more, so that they share the fetches.
  std::size_t sufficientHolders = 3;
  /// Refusals by replicas after which a request is refused as well.
  std::uint32_t maximumRefusals = 3;
  /// Largest plain answer that is kept until it is whole.
  std::size_t maximumBufferedBytes = 64U << 10U;
  /// A repeatable request without any answer is tried elsewhere after this part of the target
  /// latency, besides twice the time that reading its prompt takes.
  double receiveTimeoutShare = 1.0;
  /// How long a replica that refused for lack of room is passed over.
  base::Duration fullBackOff = std::chrono::milliseconds(100);
  /// How long a replica whose version turned out to be unknown is passed over.
  base::Duration wrongVersionBackOff = std::chrono::milliseconds(300);
  /// Told where no home could tell a time.
  base::Duration retryAfterNoReplica = std::chrono::milliseconds(300);
};

/// How a request ended, for metrics.
struct RelayOutcome {
  unsigned status = 0;
  base::ResultCode code = base::ResultCode::kOk;
  std::uint32_t attempts = 0;
  std::string service;
  /// Dispatches after the first, by what led to them.
  RetryCounts retries{};
  base::Duration timeToFirstByte{};
  base::Duration duration{};
  bool callerDisconnected = false;
  /// Shared tokens of the prompts of all attempts, by where the node expected them to come from.
  std::uint64_t cachedTokens = 0;
  std::uint64_t fetchedTokens = 0;
  std::uint64_t prefillTokens = 0;
  /// Empty without a tenant, or where it has none of its own.
  std::optional<std::uint32_t> tenantPriority;
};

class RelayObserver {
 public:
  virtual ~RelayObserver() = default;
  virtual void onRelayFinished(const config::Route& route, const RelayOutcome& outcome) = 0;
};

/// All must outlive the flows and share their thread.
struct RelayDependencies {
  base::Clock& clock;
  base::TimerService& timers;
  base::EventLog& log;
  clients::RelayClient& client;
  routing::ReplicaDirectory& replicas;
  routing::PrefixHolders& holders;
  routing::ReplicaSelector& choice;
  routing::ReplicaCrashDetector& replicaEnds;
  routing::PartLookup& parts;
  routing::Placement& placement;
  admission::RetryWindows& retries;
  admission::TenantQuotas& quotas;
  quarantine::RequestQuarantine& quarantine;
  routing::RequestDurations& requestDurations;
  RelayObserver& observer;
};

/// What is fixed when the request is taken up.
struct RelayAssignment {
  /// Keeps `route`, `tenant` and `service` alive.
  config::RouteTablePtr table;
  const config::Route* route = nullptr;
  /// Null on routes without a key.
  const config::TenantAccess* tenant = nullptr;
  /// As of when the table was proved to be the newest as its key was looked up; empty where the
  /// configuration need not be confirmed.
  std::optional<base::TimePoint> confirmedAt;
  const config::Service* service = nullptr;
  /// What the request takes of its tenant's limit; empty without one.
  std::optional<admission::QuotaDemand> demand;
};

class RelayFlow final : public clients::RelayHandler,
                        public std::enable_shared_from_this<RelayFlow> {
 public:
  /// Says whether the request may still be sent: its key may have been taken away, or the
  /// configuration may no longer be confirmed. Asked before each dispatch.
  using DispatchCheck = std::function<std::optional<RelayRefusal>(const IncomingRequest&)>;
  /// Called once when the request is over; the flow may be destroyed inside.
  using FinishedCallback = std::function<void(RelayFlow&)>;
  /// The number of nodes that share the replicas.
  using NodeCount = std::function<std::size_t()>;

  struct Hooks {
    DispatchCheck check;
    NodeCount nodes;
    FinishedCallback finished;
  };

  RelayFlow(RelayDependencies dependencies, const RelayOptions& options, IncomingRequest incoming,
            RelayAssignment assignment, std::unique_ptr<ResponseWriter> writer, Hooks hooks);
  ~RelayFlow() override;
  RelayFlow(const RelayFlow&) = delete;
  RelayFlow& operator=(const RelayFlow&) = delete;

  void start();
  /// The caller went away: work for it ends at once.
  void onCallerDisconnected();
  /// A version of weights was named or dated, or the clock has jumped: the attempt may have to
  /// begin earlier than was known when it was sent.
  void onWeightsChanged();

  bool stillWanted() const override;
  void onHead(clients::RelayedAnswer response) override;
  void onBody(std::string_view bytes) override;
  void onEnd() override;
  void onFailure(clients::DispatchError error) override;

 private:
  using Candidates = std::vector<routing::ReplicaRecordPtr>;
  /// The holders of one part, by its place in the chain.
  struct FoundHolders {
    std::size_t part = 0;
    std::vector<routing::PartHolder> holders;
  };

  /// What is known of an attempt that failed.
  enum class FailureKind : std::uint8_t { kNeverArrived, kNotRun, kMayHaveRun };

  /// One dispatch to one replica.
  struct Attempt {
    routing::ReplicaDecision decision;
    base::TimePoint sentAt{};
    std::uint32_t tokens = 0;
    /// Tokens of the prompt that the replica must read.
    std::uint32_t prefillTokens = 0;
    /// What the replica takes until its answer begins when nothing else runs there.
    base::Duration expectedPrefillTime{};
    bool headReceived = false;
    bool bodyReceived = false;
    std::optional<clients::RelayedAnswer> response;
    /// What the replica's home counts the attempt under, and what it is told in the end.
    routing::PlacementGrant grant;
    routing::PlacementOutcome outcome = routing::PlacementOutcome::kWithdrawn;
    StreamWatch watch;
    /// It tries whether the replica takes requests again after a rest.
    bool isProbe = false;
    /// No connection could be had, or it was no longer wanted when there was one.
    bool notSent = false;
  };

  bool streaming() const { return assignment_.route->kind == config::RequestKind::kStreaming; }
  bool resumable() const { return streaming() && assignment_.route->resumable; }
  base::Duration timeLeft() const { return deadline_ - dependencies_.clock.now(); }
  /// Tokens of the prompt and the longest answer.
  std::uint32_t maximumTotalTokens() const;
  std::uint32_t promptTokens() const;
  std::uint32_t expectedOutputTokens() const;
  /// The request is one of those that are kept together because they run long.
  bool isLongRunning() const;
  routing::ReplicaQuery query() const;
  /// Rank among requests, 0 is the most urgent: the tenant's goes before the route's.
  std::uint32_t urgency() const;
  std::string tenantName() const;

  /// Takes up a request within its tenant's limit, or refuses it.
  void onAllowance(const admission::QuotaVerdict& verdict);
  void choose();
  /// Whether the request may still be sent; ends it if not.
  bool verifyDispatchAllowed();
  /// Why it may not be sent; empty if it may.
  std::optional<RelayRefusal> dispatchRefusal() const;
  /// Empty unless the request is in quarantine.
  std::optional<RelayRefusal> quarantineRefusal() const;
  /// Asks the homes of the decision's candidates where the request should go.
  void requestPlacement(const routing::ReplicaDecision& decision);
  void onPlaced(const Candidates& candidates, const routing::PlacementResult& result);
  /// How the request stands among others that wait for the same room.
  routing::PlacementConstraints placementConstraints() const;
  /// How long the first candidate may take to turn to it before the next one's home is asked.
  base::Duration acceptableWait() const;
  /// A home refused the request, no replica may take it, or no home answered.
  void onPlacementFailed(const Candidates& candidates, const routing::PlacementResult& result);
  /// The request cannot be served in time by any replica: it ends at once.
  void refuseUnplaced(std::string_view why, base::Duration retryAfter);
  /// Sends the request by what this node knows, or holds it.
  void decideLocally(routing::ReplicaDecision decision);
  /// Shared tokens of the prompt that the replica must read as far as is known.
  std::uint32_t sharedPrefillTokens(const routing::ReplicaDecision& decision) const;
  /// Whether the decision would read shared parts of which other nodes may know a holder.
  bool shouldLookUpHolders(const routing::ReplicaDecision& decision) const;
  /// Whether this node watches all replicas' caches itself.
  bool knowsAllCaches() const;
  /// Places in the chain of the parts whose homes are asked: the deepest shared one, and the first
  /// where it is long and no holder is known. Many prompts begin with the first, so that it can be
  /// fetched where the deeper ones are new.
  std::vector<std::size_t> partsToLookUp(routing::CacheScope scope) const;
  /// Asks the homes of shared parts for holders, and chooses again.
  void lookUpHolders(routing::CacheScope scope);
  /// Takes in what the homes answered.
  void recordHolders(routing::CacheScope scope);
  /// Tells the home of the deepest shared part that the replica has read it, and that of the first
  /// where few replicas are known to have it.
  void publishHolder(const routing::ReplicaDecision& decision);
  void hold(std::string_view why, base::Duration interval);
  /// A replica at which the request failed could be sent it again.
  bool anyTriedReplicaAccepts() const;
  /// All replicas want rest, the first until then: holds the request where that leaves it time to
  /// be served, else refuses it at once.
  void waitForBackOff(base::TimePoint end, std::string_view why);
  /// Counts the retry that the next dispatch is, if it is one. When the budget no longer allows it,
  /// gives the grant back and ends the request, and is false.
  bool countRetry(const routing::PlacementGrant& grant);
  void dispatch(routing::ReplicaDecision decision, const routing::PlacementGrant& grant);
  /// The replica names no rate limit, or its home has counted the request just now.
  bool withinRateLimit(const routing::ReplicaRecord& replica,
                       const routing::PlacementGrant& grant) const;
  void logDispatch(const routing::ReplicaDecision& decision, const routing::PlacementGrant& grant,
                   const clients::DispatchTerms& terms) const;
  /// Adds the decision's expectation to the sums of the outcome.
  void countTokens(const routing::ReplicaDecision& decision);
  clients::DispatchTerms termsFor(const routing::ReplicaDecision& decision) const;
  void armReceiveTimeout();
  void onReceiveTimeout();
  /// Where the attempt is silent, no other replica has room beyond its rate: waiting on is better
  /// than giving up what has been granted.
  bool othersAreRateLimited();
  /// Ends an attempt that has not begun when its version of the weights is out of date.
  void armStartDeadline();
  void onStartDeadline();
  /// The replica has neither begun the attempt nor refused it.
  bool mayStillStart() const;
  void logWithdrawal();
  void onDeadline();

  /// Takes in what the replica says of itself beside the answer.
  void recordNotices(const clients::RelayedAnswer& response);
  /// The replica did not run the request: another may.
  void onNotRun(const clients::RelayedAnswer& response);
  void recordRefusal(const clients::RelayedAnswer& response);
  /// The attempt failed and may have run.
  void onAttemptLost(RetryCause cause, std::string_view why);
  /// Ends the attempt and takes it up elsewhere where the route, the budget and the time allow;
  /// false if they do not.
  bool retryOnAnotherReplica(RetryCause cause, std::string_view why, FailureKind kind);
  /// Reserves a retry of the budget. Gives what stands against it, empty when nothing does.
  std::string_view reserveRetry(FailureKind kind);
  void startRetry(RetryCause cause);
  void logAttemptFailure(RetryCause cause, std::string_view why, std::string_view notRetried);
  /// The attempt is over; its connection closes unless the answer was whole.
  void endAttempt();
  void endResponseWait();
  /// The replica's answer has begun, or will not; `taken` where it did not turn the request away.
  void endProbe(bool accepted);
  /// Tells the replica's home what became of the attempt.
  void reportOutcome();

  /// Starts the caller's answer with the attempt's head.
  void beginResponse(std::optional<std::uint64_t> length);
  void deliver(std::string_view bytes);
  void recordReplicaAsHolder();
  void finishComplete();
  void refuse(base::ResultCode code, std::string detail, base::Duration retryAfter);
  void refuse(const RelayRefusal& refusal);
  void passRefusal(const clients::RelayedAnswer& response);
  void abortStream(std::string_view why);
  void finish(unsigned status, base::ResultCode code, bool callerDisconnected);
  RelayOutcome outcomeOf(unsigned status, base::ResultCode code, bool callerDisconnected) const;

  RelayDependencies dependencies_;
  const RelayOptions& options_;
  IncomingRequest incoming_;
  RelayAssignment assignment_;
  base::RequestFingerprint fingerprint_;
  std::unique_ptr<ResponseWriter> writer_;
  Hooks hooks_;
  base::TimePoint deadline_{};
  base::TimePoint holdUntil_{};
  /// What is sent later than this is of no use to the caller, or counts in another window of its
  /// tenant's limit.
  base::TimePoint hardStartDeadline_{};

  TenantAllowance allowance_;
  std::unique_ptr<clients::RelayCall> call_;
  std::optional<Attempt> attempt_;
  /// Covers the next dispatch, or the latest one, where an earlier one may have arrived.
  std::optional<admission::RetryReservation> retry_;
  /// Why the next dispatch, or the latest one, is sent; empty for the first.
  std::optional<RetryCause> retryCause_;
  RetryCounts retries_{};
  std::vector<std::string> excluded_;
  std::uint32_t dispatches_ = 0;
  /// Attempts that the replica may have run.
  std::uint32_t runs_ = 0;
  std::uint32_t refusals_ = 0;
  /// The home of the deepest shared part has been asked for holders.
  bool holdersLookedUp_ = false;
  std::size_t pendingLookups_ = 0;
  std::vector<FoundHolders> foundHolders_;
  bool firstPartHasFewHolders_ = false;
  /// Replicas that may not take requests by their homes, as asked lately.
  std::vector<std::string> skippedReplicas_;
  /// The request is being placed; 0 while it is not.
  routing::Placement::Ticket placementTicket_ = 0;
  /// No home answered; none is asked before this.
  base::TimePoint nextPlacementAt_{};

  /// The answer's head has reached the caller.
  bool headDelivered_ = false;
  /// Body kept until it is certain to be used.
  std::string bufferedBody_;
  EventSplitter events_;
  bool paused_ = false;
  bool ended_ = false;
  base::Duration timeToFirstByte_{};
  /// From the arrival to the latest dispatch.
  base::Duration heldFor_{};
  /// Where the request was sent last, and what its stream was like there.
  std::string lastReplica_;
  routing::StreamObservation lastStream_;
  /// Requests that waited for the same room when a home last answered.
  std::uint32_t queuedAtHome_ = 0;
  unsigned status_ = 0;
  std::uint64_t cachedTokens_ = 0;
  std::uint64_t fetchedTokens_ = 0;
  std::uint64_t prefillTokens_ = 0;

  base::TimerId deadlineTimer_ = 0;
  base::TimerId holdTimer_ = 0;
  base::TimerId receiveTimer_ = 0;
  base::TimerId startDeadlineTimer_ = 0;
};

}  // namespace covewing::request
