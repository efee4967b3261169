/// \file
/// Choice of a replica for one relayed request.
///
/// A prompt's deepest shared part has a home among the replicas by rendezvous hashing, so that all
/// nodes agree without talking and shared parts are read once. A request goes to its home unless
/// the home is loaded beyond a bound, then to the next in the same order. Where replicas serve
/// several versions of the weights, all of them are homes, so that the replicas of the newest are
/// read into while they come; the newest counts more, since requests that begin on older weights
/// are worth less. What is cached under one version is of no use under another.
///
/// A replica that does not hold the shared parts is told to fetch them from one that does, or from
/// a store of kept cache, which is far cheaper than reading them again; what nobody holds it is
/// told to save to the store. Requests without a prompt go to the least loaded replica, near ones
/// first.
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
  /// Empty for services without models.
  std::string model;
  const prefix::PartChain* chain = nullptr;
  /// Tokens of the prompt and the longest answer.
  std::uint32_t tokens = 0;
  /// Name of the tenant where its cache is its own, else empty.
  std::string isolatedTenant;
  /// The request is expected to run long; the replicas that take such requests come first.
  bool longRun = false;
  /// How many replicas long runs fill.
  std::size_t longRunReplicas = 1;
  /// Reading prompts ahead of this one may take so long without another replica being sought.
  base::Duration acceptableWait = std::chrono::milliseconds(250);
  /// Instances that were tried for this request.
  std::vector<std::string> excluded;

  /// Whether the request has a prompt with shared parts that a replica may have cached.
  bool withPrompt() const {
    return engine != nullptr && !model.empty() && chain != nullptr && chain->deepestShared();
  }
};

/// Where a replica can fetch cached parts.
struct CacheSource {
  /// Instance of a replica, or name of a store.
  std::string name;
  base::Endpoint endpoint;
  /// Leading shared tokens believed to be there.
  std::uint32_t tokens = 0;
};

struct ReplicaDecision {
  /// Null when no replica may be chosen; `reason` says why.
  ReplicaRecordPtr replica;
  /// Version of the model's weights that the choice rests on; 0 where the query names no model.
  base::WeightsVersion version = 0;
  /// Text under which the replica keeps the request's parts; empty without a model.
  std::string cacheSalt;
  CacheScope scope = 0;
  std::optional<CacheSource> fetchFrom;
  /// Store to save what is read to.
  std::optional<base::Endpoint> saveTo;
  /// The request must begin before this, or not on this version.
  std::optional<base::TimePoint> startDeadline;
  /// Leading shared tokens believed cached at the replica.
  std::uint32_t matchedTokens = 0;
  /// The first of the replicas that could be chosen, in the order of preference; their homes may be
  /// asked (routing/placement.h).
  std::vector<ReplicaRecordPtr> preferenceOrder;
  /// Replicas that could be chosen, and the chosen one's place in the order of preference.
  std::size_t candidates = 0;
  std::size_t rank = 0;
  /// Homes that were asked, and the wait that the chosen replica's home expected; 0 where this node
  /// decided alone.
  std::size_t homesAsked = 0;
  base::Duration expectedWait{};
  std::string_view reason;
  /// Where all replicas that the request could go to have asked this node for rest: the first end.
  std::optional<base::TimePoint> backOffEnds;

  /// Leading shared tokens that the replica has or can fetch.
  std::uint32_t heldTokens() const { return fetchFrom ? fetchFrom->tokens : matchedTokens; }
};

/// What the choice rests on; all must outlive it.
struct ReplicaSelectorContext {
  const ReplicaDirectory& replicas;
  const PrefixHolders& holders;
  const WeightsTargets& targets;
  const CacheStores& stores;
  const FleetLoad& fleet;
  std::string zone;
};

struct ReplicaSelectorOptions {
  /// Least bound on the requests of this node at a home, however many nodes share it.
  std::uint32_t minimumRequests = 2;
  /// Part of a replica's cache memory that all nodes together may fill with running requests,
  /// where each takes an even share, and where they know of each other's.
  double memoryShare = 0.6;
  double knownMemoryShare = 0.9;
  /// This part of the other nodes must be heard for their load to count as known.
  double minimumReportingShare = 0.5;
  /// Tokens that a source must have beyond the chosen replica to be fetched from.
  std::uint32_t minimumFetchTokens = 32;
  /// Weight of replicas of the newest version that is served, against 1 of the others.
  double newestWeight = 2;
  /// Replicas whose homes may be asked for one request; each question is a round trip.
  std::size_t maximumPreferred = 6;
  /// Prompts that share fewer tokens go to replicas of this node's zone first: to read them again
  /// in each zone costs less than the bytes between zones.
  std::uint32_t ownZoneBelowTokens = 512;
  /// Long runs are kept together where there are at least so many replicas.
  std::size_t minimumForLongRuns = 4;
};

class ReplicaSelector {
 public:
  ReplicaSelector(ReplicaSelectorContext context, ReplicaSelectorOptions options,
                  base::RandomSource& random)
      : context_(std::move(context)), options_(options), random_(random) {}

  /// `nodes` is the number of nodes that share the replicas.
  ReplicaDecision choose(const ReplicaQuery& query, std::size_t nodes, base::TimePoint now);
  /// Some replicas may take the request, and all of them name a rate limit.
  bool allRateLimited(const ReplicaQuery& query, base::TimePoint now);
  /// The decision for this replica; empty when it may not be chosen now. `matchedTokens` is what
  /// its home believes cached there.
  std::optional<ReplicaDecision> decide(const ReplicaQuery& query, const ReplicaRecordPtr& replica,
                                        std::uint32_t matchedTokens, base::TimePoint now);
  /// Until when a request may begin on the version of the model; empty while no newer one is named.
  std::optional<base::TimePoint> startDeadline(std::string_view model,
                                               base::WeightsVersion version) const {
    return context_.targets.startDeadline(model, version);
  }
  /// What the request takes of the replica, for its home. `heldTokens` of its shared parts are
  /// known to be cached somewhere, from where they can be fetched.
  PlacementCandidate candidateOf(const ReplicaQuery& query, const ReplicaRecordPtr& replica,
                                 std::uint32_t promptTokens, std::uint32_t heldTokens) const;

 private:
  using Candidates = std::vector<ReplicaRecordPtr>;

  /// Whether a request that is sent to the replica now is expected to begin before its version is
  /// out of date.
  bool startsInTime(const ReplicaQuery& query, const ReplicaRecord& record,
                    base::TimePoint now) const;
  /// The replicas that the request may go to, those among them that change their weights included:
  /// homes know these at once, other nodes by gossip, late. Where there are none, the decision is
  /// told why.
  Candidates eligible(const ReplicaQuery& query, base::TimePoint now, ReplicaDecision& decision);
  /// Chooses among the candidates by what this node knows.
  void chooseLocally(ReplicaDecision& decision, Candidates candidates, const ReplicaQuery& query,
                     std::size_t nodes, base::TimePoint now);
  /// Orders the candidates by load, near ones first.
  void sortByLoad(Candidates& candidates);
  /// Orders the candidates by rendezvous hashing of the deepest shared part, near ones first where
  /// little is shared.
  void sortByHome(Candidates& candidates, const ReplicaQuery& query) const;
  /// Moves the replicas of this node's zone to the front, but keeps one of another zone among the
  /// first.
  void moveOwnZoneFirst(Candidates& candidates) const;
  /// Of the replicas with a rate limit all but the first go behind those without: a request asks
  /// one home that may have none of its rate left before one that has room.
  static void keepOneRateLimitedInFront(Candidates& candidates);
  std::string saltOf(const ReplicaQuery& query, const ReplicaRecord& record) const;
  /// Fills in what follows from the chosen replica.
  void complete(ReplicaDecision& decision, const ReplicaQuery& query, base::TimePoint now);
  /// Moves the replicas that take long runs to the front, in the order that they have.
  void moveLongRunReplicasFirst(Candidates& candidates, const ReplicaQuery& query) const;
  /// What the requests of all nodes may take of a replica, as far as this node counts them.
  struct Bounds {
    std::size_t requests = 0;
    double tokens = 0;
  };
  /// Whether enough of the nodes tell their load.
  bool isLoadKnown(std::size_t nodes, base::TimePoint now) const;
  Bounds boundsOf(const ReplicaRecord& record, const ReplicaQuery& query, std::size_t nodes,
                  bool known) const;
  /// The first candidate within the bounds whose queue is short, else the one of them with the
  /// shortest queue; the number of candidates when there is none.
  std::size_t firstWithCapacity(const Candidates& ordered, const ReplicaQuery& query,
                                std::size_t nodes, base::TimePoint now) const;
  void addCacheTransfers(ReplicaDecision& decision, const ReplicaQuery& query, base::TimePoint now);
  /// The best source of the prompt's shared parts under the scope, other than `except`; a random
  /// one of equals, since a replica sends one move after another.
  std::optional<CacheSource> bestSource(const ReplicaQuery& query, CacheScope scope,
                                        const ReplicaRecord* except, base::TimePoint now);

  ReplicaSelectorContext context_;
  ReplicaSelectorOptions options_;
  base::RandomSource& random_;
};

/// Of the replicas of one version, those with the lowest rank take the long runs. Equal on all
/// nodes.
std::uint64_t longRunRank(std::string_view instance);
/// Order in which a model's replicas take long runs: the newest version first, of one version the
/// lowest rank.
bool takesLongRunsBefore(std::string_view model, const ReplicaRecord& left,
                         const ReplicaRecord& right);
/// Text under which replicas keep parts: parts made under other weights, or by an isolated tenant,
/// are never found.
std::string cacheSalt(base::WeightsVersion version, std::string_view isolatedTenant);
CacheScope cacheScope(std::string_view salt, std::string_view model);

}  // namespace covewing::routing
