/// \file
/// Selects a replica for one relayed request.
///
/// The deepest shared part of a prompt has a home replica, chosen by rendezvous hashing, so that
/// all nodes agree without communication and shared parts are prefilled only once. A request goes
/// to this replica unless its load exceeds a bound, then to the next one in the same order. If
/// replicas serve several versions of the weights, all of them can be home replicas, so that the
/// caches of replicas with the newest version fill while the rollout is in progress. Replicas of
/// the newest version have a higher weight, since requests that start on older weights are worth
/// less. A cache entry made under one version is useless under another.
///
/// A replica that does not hold the shared parts is instructed to fetch them from a replica that
/// does, or from a store of kept KV cache, which is much cheaper than prefilling them again. Parts
/// that no one holds are to be saved to the store by the replica. Requests without a prompt go to
/// the least loaded replica, with those of the own zone preferred.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "config/route_table.h"
#include "prefix/part_chain.h"
#include "routing/cache_stores.h"
#include "routing/fleet_load.h"
#include "routing/placement.h"
#include "routing/prefix_holders.h"
#include "routing/replica_directory.h"
#include "routing/weights_targets.h"

namespace covewing::routing {

struct ReplicaQuery {
  std::string service;
  const config::EngineProfile* engine = nullptr;
  /// Name of the model; empty for services without models.
  std::string model;
  const prefix::PartChain* chain = nullptr;
  /// Tokens of the prompt and the longest possible output.
  std::uint32_t tokens = 0;
  /// Partition of the replicas' caches that the request may use (config::RouteTable).
  std::string cachePartition;
  /// The request is expected to be long-running; the replicas preferred for such requests come
  /// first.
  bool longRun = false;
  /// Number of replicas preferred for long-running requests.
  std::size_t longRunReplicas = 1;
  /// Maximum time to prefill the prompts ahead of this one before another replica is considered.
  base::Duration acceptableWait = std::chrono::milliseconds(250);
  /// Instances that have been tried for this request.
  std::vector<std::string> excluded;
  /// Only replicas with this version of their software may be selected; empty: any.
  std::optional<std::string> softwareVersion;
  /// The caller may continue the stream, so it has to be known which software version serves it.
  bool needsKnownVersion = false;

  /// Whether the request has a prompt with shared parts that a replica may have cached.
  bool withPrompt() const {
    return engine != nullptr && !model.empty() && chain != nullptr && chain->deepestShared();
  }
};

/// A source from which a replica can fetch cached parts.
struct CacheSource {
  /// Instance of a replica, or name of a store.
  std::string name;
  base::Endpoint endpoint;
  /// Number of leading shared tokens presumed to be cached there.
  std::uint32_t tokens = 0;
};

struct ReplicaDecision {
  /// Null if no replica can be selected; `reason` explains why.
  ReplicaRecordPtr replica;
  /// Version of the model's weights on which the selection is based; 0 if the query names no model.
  base::WeightsVersion version = 0;
  /// Salt under which the replica caches the request's parts; empty without a model.
  std::string cacheSalt;
  CacheScope scope = 0;
  std::optional<CacheSource> fetchFrom;
  /// Store to which prefilled parts are to be saved.
  std::optional<base::Endpoint> saveTo;
  /// Deadline for the request to start on this version; empty if there is none.
  std::optional<base::TimePoint> startDeadline;
  /// Number of leading shared tokens presumed to be cached at the replica.
  std::uint32_t matchedTokens = 0;
  /// The first candidates in order of preference, and behind them the alternates; their homes may
  /// be queried (routing/placement.h).
  std::vector<ReplicaRecordPtr> preferenceOrder;
  /// Number of alternates: candidates drawn at random from those that are not among the first. They
  /// are different for each request, so that no replica stays idle because it is among the first
  /// candidates of no shared part that callers use.
  std::size_t alternates = 0;
  /// Number of candidates, and the index of the selected one in the order of preference.
  std::size_t candidates = 0;
  std::size_t rank = 0;
  /// Number of homes queried, and the wait that the home of the selected replica expected; 0 if
  /// this node decided alone.
  std::size_t homesAsked = 0;
  base::Duration expectedWait{};
  std::string_view reason;
  /// No replica of the software version that the query requires is in service.
  bool softwareVersionGone = false;
  /// Set if all candidate replicas have asked this node to back off: the earliest end of a
  /// back-off.
  std::optional<base::TimePoint> backOffEnds;

  /// Number of leading shared tokens that the replica holds or can fetch.
  std::uint32_t heldTokens() const { return fetchFrom ? fetchFrom->tokens : matchedTokens; }
};

/// Data that the selection is based on; all must outlive the selector.
struct ReplicaSelectorContext {
  const ReplicaDirectory& replicas;
  const PrefixHolders& holders;
  const WeightsTargets& targets;
  const CacheStores& stores;
  const FleetLoad& fleet;
  std::string zone;
};

struct ReplicaSelectorOptions {
  /// Minimum for the limit on this node's requests at a replica, however many nodes share the
  /// replica.
  std::uint32_t minimumRequests = 2;
  /// Share of a replica's cache memory that running requests of all nodes together may use:
  /// `memoryShare` if each node gets an equal part, `knownMemoryShare` if the nodes know each
  /// other's load.
  double memoryShare = 0.6;
  double knownMemoryShare = 0.9;
  /// Minimum share of the other nodes whose load reports must be available for the fleet load to
  /// count as known.
  double minimumReportingShare = 0.5;
  /// Minimum number of tokens that a source must hold beyond those of the selected replica to be
  /// fetched from.
  std::uint32_t minimumFetchTokens = 32;
  /// Weight of replicas with the newest version that is served, relative to 1 for the others.
  double newestWeight = 2;
  /// Number of first candidates whose homes may be queried for one request; each query is a round
  /// trip.
  std::size_t maximumPreferred = 5;
  /// Number of alternates. More than one, since those known to have a queue are not queried.
  std::size_t alternates = 3;
  /// Prompts with fewer shared tokens prefer replicas of this node's zone: prefilling them again in
  /// each zone costs less than the traffic between zones.
  std::uint32_t ownZoneBelowTokens = 512;
  /// Minimum number of replicas from which some of them are preferred for long-running requests.
  std::size_t minimumForLongRuns = 4;
};

class ReplicaSelector {
 public:
  ReplicaSelector(ReplicaSelectorContext context, ReplicaSelectorOptions options,
                  base::RandomSource& random)
      : context_(std::move(context)), options_(options), random_(random) {}

  /// `nodes` is the number of nodes that share the replicas.
  ReplicaDecision choose(const ReplicaQuery& query, std::size_t nodes, base::TimePoint now);
  /// Whether there are candidates for the request and all of them report a rate limit.
  bool allRateLimited(const ReplicaQuery& query, base::TimePoint now);
  /// Returns the decision for the given replica; empty if it cannot be selected now.
  /// `matchedTokens` is the number of tokens that its home considers cached there.
  std::optional<ReplicaDecision> decide(const ReplicaQuery& query, const ReplicaRecordPtr& replica,
                                        std::uint32_t matchedTokens, base::TimePoint now);
  /// Until when a request may start on this version of the model; empty if there is no newer
  /// version.
  std::optional<base::TimePoint> startDeadline(std::string_view model,
                                               base::WeightsVersion version) const {
    return context_.targets.startDeadline(model, version);
  }
  /// Describes the resources that the request needs at the replica, for the query to its home.
  /// `heldTokens` is the number of its shared tokens that are known to be cached somewhere from
  /// where they can be fetched.
  PlacementCandidate candidateOf(const ReplicaQuery& query, const ReplicaRecordPtr& replica,
                                 std::uint32_t promptTokens, std::uint32_t heldTokens) const;

 private:
  using Candidates = std::vector<ReplicaRecordPtr>;

  /// Whether a request that is sent to the replica now is expected to start before the replica's
  /// version is out of date.
  bool startsInTime(const ReplicaQuery& query, const ReplicaRecord& record,
                    base::TimePoint now) const;
  /// The replicas that the request may be sent to, including those that are changing their weights:
  /// only the homes are informed of that at once, other nodes receive it later by gossip. If there
  /// are none, the decision states the reason.
  Candidates eligible(const ReplicaQuery& query, base::TimePoint now, ReplicaDecision& decision);
  /// Adds the first candidates and the alternates to the decision.
  void selectQueried(ReplicaDecision& decision, const Candidates& candidates);
  /// Selects among the candidates using only this node's own data.
  void chooseLocally(ReplicaDecision& decision, Candidates candidates, const ReplicaQuery& query,
                     std::size_t nodes, base::TimePoint now);
  /// Sorts the candidates by load, with a preference for the own zone.
  void sortByLoad(Candidates& candidates);
  /// Sorts the candidates by rendezvous hashing of the deepest shared part; prompts with little
  /// shared text prefer the own zone.
  void sortByHome(Candidates& candidates, const ReplicaQuery& query) const;
  /// Moves the replicas of this node's zone to the front, but keeps one replica of another zone
  /// among the first.
  void moveOwnZoneFirst(Candidates& candidates) const;
  /// Moves all replicas with a rate limit except the first one behind those without: a request then
  /// queries at most one home that may have used up its rate before it queries one with free
  /// capacity.
  static void keepOneRateLimitedInFront(Candidates& candidates);
  std::string saltOf(const ReplicaQuery& query, const ReplicaRecord& record) const;
  /// Fills in the fields that depend on the selected replica.
  void complete(ReplicaDecision& decision, const ReplicaQuery& query, base::TimePoint now);
  /// Moves the replicas preferred for long-running requests to the front, without changing their
  /// relative order.
  void moveLongRunReplicasFirst(Candidates& candidates, const ReplicaQuery& query) const;
  /// Limits on the requests of all nodes at a replica, as far as this node counts them.
  struct Bounds {
    std::size_t requests = 0;
    double tokens = 0;
  };
  /// Whether load reports of enough nodes are available.
  bool isLoadKnown(std::size_t nodes, base::TimePoint now) const;
  Bounds boundsOf(const ReplicaRecord& record, const ReplicaQuery& query, std::size_t nodes,
                  bool known) const;
  /// Index of the first candidate within the limits whose prefill queue is short, else of the one
  /// with the shortest queue among those within the limits; the number of candidates if there is
  /// none.
  std::size_t firstWithCapacity(const Candidates& ordered, const ReplicaQuery& query,
                                std::size_t nodes, base::TimePoint now) const;
  void addCacheTransfers(ReplicaDecision& decision, const ReplicaQuery& query, base::TimePoint now);
  /// The best source of the prompt's shared parts under the scope, other than `except`. Ties are
  /// broken at random, since a replica serves one transfer after another.
  std::optional<CacheSource> bestSource(const ReplicaQuery& query, CacheScope scope,
                                        const ReplicaRecord* except, base::TimePoint now);

  ReplicaSelectorContext context_;
  ReplicaSelectorOptions options_;
  base::RandomSource& random_;
};

/// Replicas of the same version with the lowest rank are preferred for long-running requests. The
/// rank is equal on all nodes.
std::uint64_t longRunRank(std::string_view instance);
/// Order in which a model's replicas are preferred for long-running requests: newest version first,
/// within a version the lowest rank first.
bool takesLongRunsBefore(std::string_view model, const ReplicaRecord& left,
                         const ReplicaRecord& right);
/// Salt under which replicas cache parts, so that parts made under other weights or in another
/// partition are never matched.
std::string cacheSalt(base::WeightsVersion version, std::string_view partition);
CacheScope cacheScope(std::string_view salt, std::string_view model);

}  // namespace covewing::routing
