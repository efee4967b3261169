/// \file
/// State machine of one relayed request, from the choice of a replica to the end of its response.
///
/// States:
///
///     acquiring quota (only if the tenant has a limit)
///     -> choosing a replica
///     -> looking up holders (only if shared parts of the prompt would have to be prefilled)
///     -> querying the home nodes of the candidates, and waiting in the queue of one of them
///     -> holding (only if no replica can accept the request)
///     -> dispatched -> responding -> ended
///
/// After an attempt that the replica did not execute, or a failed attempt of a repeatable request,
/// the request goes back to choosing a replica, within the attempts of the route and the retry
/// budget. A resumable stream that broke is continued at another replica within the same response,
/// after the last complete event that the caller received.
///
/// A silent attempt goes on while another replica is sought for the request. Where two replicas
/// must not work on the request at a time, the first one is told to stop once another has accepted
/// it, and the dispatch waits until the run is known to have ended.
///
/// No part of a response is sent to the caller before it is certain that this response will be
/// used: plain responses are buffered until they are complete (up to a maximum size), streams until
/// their first event.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "admission/retry_window.h"
#include "admission/tenant_quotas.h"
#include "base/event_log.h"
#include "base/random.h"
#include "base/request_feature.h"
#include "base/time.h"
#include "clients/relay_client.h"
#include "config/route_table.h"
#include "quarantine/request_quarantine.h"
#include "request/attempt_evidence.h"
#include "request/relay_request.h"
#include "request/response_body.h"
#include "request/retry_cause.h"
#include "request/stream_watch.h"
#include "request/tenant_allowance.h"
#include "routing/part_lookup.h"
#include "routing/placement.h"
#include "routing/relay_peers.h"
#include "routing/replica_crash_detector.h"
#include "routing/replica_links.h"
#include "routing/replica_selector.h"
#include "routing/request_durations.h"
#include "routing/stream_origins.h"

namespace covewing::request {

struct RelayOptions {
  /// Interval at which a held request looks for a replica again.
  base::Duration holdRetryInterval = std::chrono::milliseconds(20);
  /// Share of its time for which a request is held while no replica of its service accepts
  /// requests. It cannot be predicted when one will, so about half of the time is left for the
  /// response.
  double holdShare = 0.48;
  /// Maximum hold of a request whose tenant is close to its limit. A request that is granted now
  /// and sent much later would count in another window of the limit, in which the tenant may use
  /// its full limit again.
  base::Duration holdNearQuota = std::chrono::milliseconds(300);
  /// Acceptable wait of a request at one candidate replica, as a share of the target latency. After
  /// this wait the home node of the next candidate is queried as well. Requests with long shared
  /// parts wait longer, because each additional replica that caches a long part evicts another
  /// part: with one share for all prompts, the mean score was 0.644 with a tenth and 0.656 with a
  /// quarter. Short prompts wait less, since 1,706 of them were late with a tenth and 2,310 with a
  /// quarter.
  double acceptableWaitShare = 0.1;
  double longPromptAcceptableWaitShare = 0.25;
  /// Time before home nodes are queried again for a request, after none of them replied or none had
  /// a replica that accepts it.
  base::Duration placementRetryInterval = std::chrono::milliseconds(100);
  /// Maximum number of candidates that their home nodes report as not accepting requests. Once it
  /// is reached, the request is held.
  std::size_t maximumSkippedReplicas = 8;
  /// Minimum number of shared tokens to prefill for which a request first looks up their holders. A
  /// lookup takes a few milliseconds, about as long as the prefill of that many tokens.
  std::uint32_t minimumLookupTokens = 512;
  /// If fewer replicas than this hold the first part of a prompt, its home node is notified of
  /// additional holders, so that fetches are spread over more replicas.
  std::size_t sufficientHolders = 3;
  /// Maximum number of refusals by replicas; after more of them the request itself is refused.
  std::uint32_t maximumRefusals = 3;
  /// Maximum size in bytes of a plain response that is buffered until it is complete.
  std::size_t maximumBufferedBytes = 64U << 10U;
  /// Maximum wait for a replica to end the run of an attempt that was withdrawn.
  base::Duration runEndTimeout = std::chrono::milliseconds(400);
  /// A repeatable request that received no response is retried on another replica after this share
  /// of the target latency plus twice the time that the prefill of its prompt takes.
  double receiveTimeoutShare = 1.0;
  /// Time for which a replica is skipped after it refused a request for lack of capacity.
  base::Duration fullBackOff = std::chrono::milliseconds(100);
  /// Time for which a replica is skipped after its version of the weights turned out to be other
  /// than expected.
  base::Duration wrongVersionBackOff = std::chrono::milliseconds(300);
  /// Retry-After time of refusals for which no home node reported a time.
  base::Duration retryAfterNoReplica = std::chrono::milliseconds(300);
  /// Retry-After time of requests that are refused because the node stops: other nodes may serve
  /// them at once.
  base::Duration retryAfterNodeStops = std::chrono::milliseconds(100);
};

/// Result of a request, for metrics.
struct RelayOutcome {
  unsigned status = 0;
  base::ResultCode code = base::ResultCode::kOk;
  std::uint32_t attempts = 0;
  std::string service;
  /// Dispatches after the first one, by the cause of the retry.
  RetryCounts retries{};
  base::Duration timeToFirstByte{};
  base::Duration duration{};
  bool callerDisconnected = false;
  /// Shared prompt tokens of all attempts, by where the node expected the replica to get them from:
  /// its cache, a fetch from another replica, or prefill.
  std::uint64_t cachedTokens = 0;
  std::uint64_t fetchedTokens = 0;
  std::uint64_t prefillTokens = 0;
  /// Priority of the tenant; empty if there is no tenant or if it has no priority of its own.
  std::optional<std::uint32_t> tenantPriority;
  /// The part of the prompt for which the request was refused, as in logs; empty otherwise.
  std::string quarantinedPart;
};

class RelayObserver {
 public:
  virtual ~RelayObserver() = default;
  virtual void onRelayFinished(const config::Route& route, const RelayOutcome& outcome) = 0;
};

/// Services used by the flows. All must outlive the flows and are used on their thread.
struct RelayDependencies {
  base::Clock& clock;
  base::TimerService& timers;
  base::EventLog& log;
  clients::RelayClient& client;
  routing::ReplicaDirectory& replicas;
  routing::PrefixHolders& holders;
  routing::ReplicaSelector& replicaSelector;
  routing::ReplicaCrashDetector& replicaCrashDetector;
  routing::ReplicaLinks& links;
  routing::RelayPeers& relayPeers;
  routing::PartLookup& parts;
  routing::Placement& placement;
  admission::RetryWindows& retries;
  admission::TenantQuotas& quotas;
  quarantine::RequestQuarantine& quarantine;
  routing::RequestDurations& requestDurations;
  routing::StreamOrigins& streamOrigins;
  RelayObserver& observer;
};

/// Configuration that applies to a request. It is fixed when the request is accepted.
struct RelayAssignment {
  /// Keeps `route`, `tenant` and `service` alive.
  config::RouteTablePtr table;
  const config::Route* route = nullptr;
  /// Null on routes without a key.
  const config::TenantAccess* tenant = nullptr;
  /// Time as of which the table was known to be the newest one when the key was looked up. Empty if
  /// the configuration does not have to be confirmed.
  std::optional<base::TimePoint> confirmedAt;
  const config::Service* service = nullptr;
  /// Quota that the request takes from its tenant's limit; empty if the tenant has no limit.
  std::optional<admission::QuotaDemand> demand;
};

class RelayFlow final : public clients::RelayHandler,
                        public std::enable_shared_from_this<RelayFlow> {
 public:
  /// Checks before each dispatch whether the request may still be sent, since its key may have been
  /// revoked or the configuration may no longer be confirmed. Returns the refusal if it may not.
  using DispatchCheck = std::function<std::optional<RelayRefusal>(const IncomingRequest&)>;
  /// Called once when the request has ended. The flow may be destroyed inside the call.
  using FinishedCallback = std::function<void(RelayFlow&)>;
  /// Returns the number of nodes that share the replicas.
  using NodeCount = std::function<std::size_t()>;
  /// Returns the configuration in force, which may be newer than that of the assignment.
  using TableInForce = std::function<config::RouteTablePtr()>;

  struct Hooks {
    DispatchCheck check;
    NodeCount nodes;
    TableInForce tableInForce;
    FinishedCallback finished;
    /// When the node gives its last responses; empty unless it is stopping.
    std::optional<base::TimePoint> lastResponsesAt{};
  };

  RelayFlow(RelayDependencies dependencies, const RelayOptions& options, IncomingRequest incoming,
            RelayAssignment assignment, std::unique_ptr<ResponseWriter> writer, Hooks hooks);
  ~RelayFlow() override;
  RelayFlow(const RelayFlow&) = delete;
  RelayFlow& operator=(const RelayFlow&) = delete;

  void start();
  /// Called when the caller disconnected. Ends the request at once.
  void onCallerDisconnected();
  /// Called when a version of the weights was announced, when the time of its announcement became
  /// known, or when the clock has jumped. The attempt may have to start earlier than was known when
  /// it was sent.
  void onWeightsChanged();
  /// Called when the node begins to stop. A request that still waits is refused as soon as it is
  /// known that its response would not be complete by `lastResponsesAt`.
  void onNodeStopping(base::TimePoint lastResponsesAt);
  /// Called when the node is about to end: ends the request with whatever may be promised of it.
  void onNodeEnding();

  bool stillWanted() const override;
  void onHead(clients::RelayedAnswer response) override;
  void onBody(std::string_view bytes) override;
  void onEnd() override;
  void onFailure(clients::DispatchError error) override;
  /// Whether the request may be sent to another replica only once its run at the present one is
  /// known to have ended: two replicas of a model must not work on one request at a time.
  bool runEndRequired() const override;

 private:
  using Candidates = std::vector<routing::ReplicaRecordPtr>;
  /// Holders of one part. `part` is the index of the part in the chain.
  struct FoundHolders {
    std::size_t part = 0;
    std::vector<routing::PartHolder> holders;
  };

  /// Whether a failed attempt may have been executed.
  enum class FailureKind : std::uint8_t { kNeverArrived, kNotRun, kMayHaveRun };

  /// One dispatch to one replica.
  struct Attempt {
    routing::ReplicaDecision decision;
    base::TimePoint sentAt{};
    std::uint32_t tokens = 0;
    /// Number of prompt tokens that the replica must prefill.
    std::uint32_t prefillTokens = 0;
    /// Time until the replica starts its response if it has no other requests.
    base::Duration expectedPrefillTime{};
    bool headReceived = false;
    bool bodyReceived = false;
    /// Continues a stream of which the caller has received a part.
    bool continuesStream = false;
    std::optional<clients::RelayedAnswer> response;
    /// Grant under which the home node of the replica counts the attempt, and the outcome that is
    /// reported to it at the end.
    routing::PlacementGrant grant;
    routing::PlacementOutcome outcome = routing::PlacementOutcome::kWithdrawn;
    StreamWatch watch;
    /// The attempt is a probe of whether the replica accepts requests again after a back-off.
    bool isProbe = false;
    /// The attempt was not sent, because no connection could be made or because the replica was no
    /// longer eligible when the connection was ready.
    bool notSent = false;
    /// The node that passes the attempt on; empty if this node sends it to the replica itself.
    std::optional<routing::RelayPeer> relay;
    /// Nodes that could not pass the attempt on.
    std::vector<base::NodeId> failedRelays;
    /// When the head of the response was received; empty before.
    std::optional<base::TimePoint> headAt{};
    /// When the replica was told to stop its work; empty before.
    std::optional<base::TimePoint> withdrawnAt{};
  };

  /// A replica that has accepted the request, and the grant of its home node.
  struct AcceptedDispatch {
    routing::ReplicaDecision decision;
    routing::PlacementGrant grant;
  };

  /// The replacement of the attempt in flight by one at another replica, which is sought while the
  /// attempt goes on, or once its run has ended; and what has to be restored if there is none.
  struct Replacement {
    /// The silent attempt was counted as executed although its response had not begun.
    bool executionCounted = false;
    std::optional<RetryCause> previousCause;
    /// Another replica is sought while the attempt goes on.
    bool searching = false;
    /// The replica that gets the request once the run of the attempt has ended.
    std::optional<AcceptedDispatch> accepted{};
  };

  bool streaming() const { return assignment_.route->kind == config::RequestKind::kStreaming; }
  bool resumable() const { return streaming() && assignment_.route->resumable; }
  /// Whether the request may run again after its outcome became unknown: by the configuration under
  /// which it arrived, and by the one in force, which may have changed the kind of its route.
  bool repeatable() const;
  /// Maximum number of replicas that may run the request, by the same configurations.
  std::uint32_t mostRuns() const;
  /// Its route in the configuration in force; null if there is none any more.
  const config::Route* routeInForce() const;
  base::Duration timeLeft() const { return deadline_ - dependencies_.clock.now(); }
  /// Number of tokens of the prompt and of the longest possible response.
  std::uint32_t maximumTotalTokens() const;
  std::uint32_t promptTokens() const;
  std::uint32_t expectedOutputTokens() const;
  /// Whether the request is expected to be long-running, so that it is placed on the replicas set
  /// aside for long-running requests.
  bool isLongRunning() const;
  routing::ReplicaQuery query() const;
  /// Partition of the replicas' caches that the request may use under the configuration in force.
  std::string cachePartition() const;
  /// Priority of the request; 0 is the most urgent. The tenant's priority takes precedence over
  /// that of the route.
  std::uint32_t urgency() const;
  std::string tenantName() const;

  /// Continues with a request that is within its tenant's limit, or refuses it.
  void onAllowance(const admission::QuotaVerdict& verdict);
  /// Whether the caller takes up a stream that an earlier attempt of it began.
  bool resumesStream() const { return streaming() && !incoming_.lastEventId.empty(); }
  /// Finds out which software version began the stream that is to be resumed, and then chooses a
  /// replica of it.
  void findStreamOrigin();
  /// Lets the request go to this service, if its route leads there. Returns false if it does not.
  bool useService(const std::string& name);
  /// The caller reads too slowly (`high`), or has caught up.
  void onPressure(bool high);
  /// Counts the request among those for its service.
  void countRequest();
  void onStreamOrigin(const std::optional<routing::FoundOrigin>& origin);
  /// Reports to other nodes which software version the attempt in flight is sent to, if the caller
  /// may resume its stream.
  void reportStreamOrigin();
  /// Has it stored by which software version the stream was begun, once its first event is there.
  void storeStreamOrigin();
  /// How much longer the caller may wait for the stream.
  base::Duration callerTimeLeft() const;
  /// Ends the request, because no replica has the software version that began its stream.
  void refuseWithoutSoftwareVersion();
  void choose();
  /// Whether the request may still be sent. If not, ends the request.
  bool verifyDispatchAllowed();
  /// The refusal if the request may not be sent; empty if it may.
  std::optional<RelayRefusal> dispatchRefusal() const;
  /// The refusal if the request or a part of its prompt is in quarantine; empty otherwise.
  std::optional<RelayRefusal> quarantineRefusal() const;
  /// The first part of the prompt that is in quarantine, as in logs; empty if there is none.
  std::string quarantinedPart() const;
  /// What the request has in common with others for its service.
  base::RequestFeatures findFeatures() const;
  /// Queries the home nodes of the decision's candidates for a replica that accepts the request.
  void requestPlacement(const routing::ReplicaDecision& decision);
  void onPlaced(const Candidates& candidates, const routing::PlacementResult& result);
  /// Scheduling constraints of the request in a queue with others for the same replica.
  routing::PlacementConstraints placementConstraints() const;
  /// Acceptable wait at the first candidate, after which the home node of the next candidate is
  /// queried as well.
  base::Duration acceptableWait() const;
  /// Handles a placement without a result: a home node refused the request, no replica accepts it,
  /// or no home node replied.
  void onPlacementFailed(const Candidates& candidates, const routing::PlacementResult& result);
  /// Ends the request at once, because no replica can serve it in time.
  void refuseUnplaced(std::string_view why, base::Duration retryAfter);
  /// Limits the waits of the request by the time that the stopping node has left.
  void applyNodeStop();
  /// Whether the node stops before an attempt that is sent now would usually be answered.
  bool tooLateForNode() const;
  void refuseBecauseNodeStops();
  /// Whether no replica can have executed the request, or still execute it.
  bool provablyNotRun() const;
  /// Sends the request according to the local state of this node only, or holds it.
  void decideLocally(routing::ReplicaDecision decision);
  /// Number of shared prompt tokens that the replica has to prefill, as far as this node knows.
  std::uint32_t sharedPrefillTokens(const routing::ReplicaDecision& decision) const;
  /// Whether the decision would have to prefill shared parts for which other nodes may know a
  /// holder.
  bool shouldLookUpHolders(const routing::ReplicaDecision& decision) const;
  /// Whether this node itself receives the cache events of all replicas.
  bool knowsAllCaches() const;
  /// Indexes in the chain of the parts whose holders are looked up: the deepest shared part, and
  /// the first part if it is long and no holder of it is known. Many prompts begin with the same
  /// first part, so it can often be fetched even if the deeper parts are new.
  std::vector<std::size_t> partsToLookUp(routing::CacheScope scope) const;
  /// Queries the home nodes of shared parts for holders, and then chooses a replica again.
  void lookUpHolders(routing::CacheScope scope);
  /// Records the holders that the home nodes returned.
  void recordHolders(routing::CacheScope scope);
  /// Notifies the home node of the deepest shared part that the replica now holds it. Also notifies
  /// the home node of the first part if few holders of that part are known.
  void publishHolder(const routing::ReplicaDecision& decision);
  void hold(std::string_view why, base::Duration interval);
  /// Whether a replica at which the request failed accepts requests, so that it could be tried
  /// again.
  bool anyTriedReplicaAccepts() const;
  /// Handles the case that all replicas have requested back-off, the earliest of them until `end`.
  /// Holds the request until then if enough time remains to serve it; otherwise refuses it at once.
  void waitForBackOff(base::TimePoint end, std::string_view why);
  /// Counts the next dispatch against the retry budget if it is a retry. If the budget no longer
  /// allows it, releases the grant, ends the request and returns false.
  bool countRetry(const routing::PlacementGrant& grant);
  /// The only place from which a request leaves for a replica: first attempts, retries, resumed
  /// streams and requests that were granted late.
  void dispatch(routing::ReplicaDecision decision, const routing::PlacementGrant& grant);
  /// Sends the attempt to its replica: through `relay` if it is given, else on a connection of this
  /// node.
  void send(const std::optional<routing::RelayPeer>& relay);
  /// A node to pass the attempt on if this node does not reach its replica itself. Empty if it
  /// does, or if there is none.
  std::optional<routing::RelayPeer> chooseRelay();
  /// After an attempt was not sent: sends it to the same replica through another node. Returns
  /// false if there is none or if the request may not be sent any more.
  bool reroute(const clients::DispatchError& error);
  /// Records that the node that was to pass the attempt on failed.
  void recordRelayFailure(const clients::DispatchError& error);
  /// Checks whether the replica has acknowledged what was sent, and if not, the link to it.
  void armLinkCheck();
  void onLinkCheck();
  void onLinkVerified(std::uint32_t dispatch, bool works);
  /// Whether a failure of the attempt in flight says something about its replica, rather than about
  /// the links of this node or the node that passed it on.
  bool blamesReplica(clients::FailurePoint point);
  /// Records that the attempt in flight failed at its replica, unless the replica is not to blame.
  void recordAttemptFailure(clients::FailurePoint point);
  /// Whether the replica of the attempt in flight still accepts the request.
  bool replicaAccepts() const;
  /// Whether the replica's software version may serve the request, and is known as far as that
  /// matters.
  bool servesKnownVersion(const routing::ReplicaRecord& replica) const;
  /// Whether the replica reports no rate limit, or its home node has counted the request just now.
  bool withinRateLimit(const routing::ReplicaRecord& replica,
                       const routing::PlacementGrant& grant) const;
  void logDispatch(const std::optional<routing::RelayPeer>& relay) const;
  /// Adds the tokens that the decision expects to the sums reported in the outcome.
  void countTokens(const routing::ReplicaDecision& decision);
  clients::DispatchTerms termsFor(const routing::ReplicaDecision& decision) const;
  void armReceiveTimeout();
  void onReceiveTimeout();
  /// Whether all other replicas are at their rate limits. If the replica of the attempt is then
  /// unresponsive, it is better to keep waiting than to give up the granted capacity.
  bool othersAreRateLimited();
  /// Starts the timer that ends the attempt if it has not started when its version of the weights
  /// becomes outdated.
  void armStartDeadline();
  void onStartDeadline();
  /// Whether the replica has neither started nor refused the attempt.
  bool mayStillStart() const;
  void logWithdrawal();
  void onDeadline();

  /// Handles a response that reports that the replica did not execute the request, so that another
  /// replica may.
  void onNotRun(const clients::RelayedAnswer& response);
  void recordRefusal(const clients::RelayedAnswer& response);
  /// Records that the attempt in flight was interrupted: at its replica, unless the replica is not
  /// to blame, and for the crash detector.
  void recordInterruption(clients::FailurePoint point);
  /// Notifies the crash detector that a request was interrupted that its replica may have started.
  void reportInterruption(clients::FailurePoint point);
  /// Handles a response that ended by its framing and is not complete.
  void onBrokenOff(std::string_view why);
  /// Handles the failure of an attempt that may have been executed.
  void onAttemptLost(RetryCause cause, const base::Reason& reason, AttemptEvidence evidence);
  /// Ends the attempt and retries on another replica if the route, the budget and the remaining
  /// time allow it. Returns false if they do not.
  bool retryOnAnotherReplica(RetryCause cause, std::string_view why, FailureKind kind,
                             AttemptEvidence evidence);
  /// Reserves a retry from the budget. Returns the reason why no retry is possible, or an empty
  /// text if the retry was reserved.
  std::string_view reserveRetry(FailureKind kind);
  void startRetry(RetryCause cause);
  /// Prepares to replace the attempt in flight. Returns false, and changes nothing, if the request
  /// may not run again.
  bool beginReplacement(RetryCause cause, std::string_view why);
  /// Ends the search: the replica answers again, or no other one accepts the request.
  void keepAttempt(std::string_view why);
  /// Ends the attempt that is replaced.
  void giveUpReplacedAttempt();
  /// The attempt that is to be replaced failed. If its run has ended, the request goes on without
  /// it.
  void onReplacedAttemptFailed(const clients::DispatchError& error);
  /// What shows that the replica of the attempt in flight does not work on it, although no response
  /// and no end of the connection was received.
  clients::RunEnd shownRunEnd() const;
  /// Whether the request has to wait for the end of the run of the attempt in flight.
  bool mustAwaitRunEnd() const;
  /// Tells the replica to stop working on the attempt in flight, and waits for the end of the run.
  void withdrawAttempt();
  /// The run has not ended in time.
  void onRunEndTimeout();
  void logRunEnd(clients::RunEnd end) const;
  /// Ends the request, because its run may go on at the replica of the attempt in flight.
  void endBesideRun(std::string_view why);
  /// Goes on with the request after the run of the attempt that is replaced has ended.
  void continueAfterRun(std::optional<AcceptedDispatch> accepted);
  /// Ends the replacement and returns the grant of the replica that has accepted the request.
  void dropReplacement();
  void returnAccepted(const AcceptedDispatch& accepted);
  /// Whether a replica is sought for the request.
  bool seeksReplica() const;
  /// Drops what was received of the attempt that has ended and was not passed on to the caller.
  void discardUndelivered();
  void logAttemptFailure(RetryCause cause, std::string_view why, std::string_view notRetried,
                         AttemptEvidence evidence);
  /// Ends the attempt. Its connection is closed unless the response was complete.
  void endAttempt();
  void endResponseWait();
  /// Ends the probe, if the attempt is one, because the response has started or will not arrive.
  /// `accepted` is true if the replica did not refuse the request.
  void endProbe(bool accepted);
  /// Reports the outcome of the attempt to the home node of the replica.
  void reportOutcome();

  /// Starts the response to the caller with the response headers of the attempt.
  void beginResponse(std::optional<std::uint64_t> length);
  ResponseBody::Kind bodyKind() const;
  ResponseBody::Start bodyStart() const;
  /// Whether the response must be withheld from the caller: its status promises that the request
  /// did not run, which the replica does not state, and the caller would repeat what must run once.
  bool promisesUnproven(const clients::RelayedAnswer& response) const;
  /// Whether the body of the attempt in flight cannot be a part of the answer, because it does not
  /// continue the stream that the caller has received a part of.
  bool unfitForContinuation() const;
  void deliver(std::string_view bytes);
  void recordReplicaAsHolder();
  /// Notifies the quarantine that a replica ran the request to its end.
  void reportServed(unsigned status);
  void finishComplete();
  void refuse(base::ResultCode code, std::string detail, base::Duration retryAfter);
  void refuse(const RelayRefusal& refusal);
  void abortStream(std::string_view why);
  void finish(unsigned status, base::ResultCode code, bool callerDisconnected);
  RelayOutcome outcomeOf(unsigned status, base::ResultCode code, bool callerDisconnected) const;

  RelayDependencies dependencies_;
  const RelayOptions& options_;
  IncomingRequest incoming_;
  RelayAssignment assignment_;
  base::RequestFingerprint fingerprint_;
  /// What the request has in common with others: its fingerprint, and then the shared parts of its
  /// prompt in their order.
  base::RequestFeatures features_;
  std::unique_ptr<ResponseWriter> writer_;
  Hooks hooks_;
  base::TimePoint deadline_{};
  base::TimePoint holdUntil_{};
  /// Hard deadline for the start of the request. A later dispatch would be of no use to the caller,
  /// or would count in another window of the tenant's limit.
  base::TimePoint hardStartDeadline_{};
  /// Latest time at which the request is sent to a replica; set while the node is stopping.
  std::optional<base::TimePoint> latestDispatch_;

  TenantAllowance allowance_;
  std::unique_ptr<clients::RelayCall> call_;
  std::optional<Attempt> attempt_;
  /// Set while the attempt in flight is to be replaced.
  std::optional<Replacement> replacement_;
  /// Reservation for the next dispatch or, once sent, the latest one; set if an earlier dispatch
  /// may have reached a replica.
  std::optional<admission::RetryReservation> retry_;
  /// Cause of the next dispatch or, once sent, the latest one; empty for the first dispatch.
  std::optional<RetryCause> retryCause_;
  RetryCounts retries_{};
  std::vector<std::string> excluded_;
  /// Software version that began the stream; only its replicas may continue it. Empty as long as
  /// any version may begin it.
  std::optional<std::string> softwareVersion_;
  /// Software version that was reported last as that of the stream.
  std::string reportedVersion_;
  std::uint32_t dispatches_ = 0;
  /// Number of attempts that may have been executed by a replica.
  std::uint32_t executions_ = 0;
  std::uint32_t refusals_ = 0;
  /// Holders have been looked up for this request.
  bool holdersLookedUp_ = false;
  std::size_t pendingLookups_ = 0;
  std::vector<FoundHolders> foundHolders_;
  bool firstPartHasFewHolders_ = false;
  /// Replicas that are skipped for now, because according to the latest replies of their home nodes
  /// they do not accept requests.
  std::vector<std::string> skippedReplicas_;
  /// Ticket of the placement in progress; 0 if there is none.
  routing::Placement::Ticket placementTicket_ = 0;
  /// What was known of the candidates of the latest placement that failed.
  std::vector<routing::CandidateReport> lastCandidates_;
  /// Waits until a replica accepts requests again after a back-off.
  bool waitingForBackOff_ = false;
  /// Time before which no home node is queried, because none replied to the latest query.
  base::TimePoint nextPlacementAt_{};

  /// The response headers have been sent to the caller.
  bool headDelivered_ = false;
  /// Response body, buffered until it is certain that this response will be used.
  std::string bufferedBody_;
  /// Body of the latest response that is, or may become, the answer to the caller.
  ResponseBody body_;
  bool paused_ = false;
  bool ended_ = false;
  base::Duration timeToFirstByte_{};
  /// Time from the arrival of the request to the latest dispatch.
  base::Duration heldFor_{};
  /// Instance to which the request was sent last, and the observed timing of its stream from there.
  std::string lastReplica_;
  routing::StreamObservation lastStream_;
  /// Number of requests that were queued for the same replica when a home node last replied.
  std::uint32_t queuedAtHome_ = 0;
  unsigned status_ = 0;
  std::uint64_t cachedTokens_ = 0;
  std::uint64_t fetchedTokens_ = 0;
  std::uint64_t prefillTokens_ = 0;

  base::TimerId deadlineTimer_ = 0;
  base::TimerId holdTimer_ = 0;
  base::TimerId receiveTimer_ = 0;
  base::TimerId linkTimer_ = 0;
  base::TimerId startDeadlineTimer_ = 0;
  base::TimerId runEndTimer_ = 0;
  base::TimerId latestDispatchTimer_ = 0;
};

}  // namespace covewing::request
