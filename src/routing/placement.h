/// \file
/// Decides with the homes of replicas where a request runs.
///
/// Every replica has a home among the nodes (routing/replica_homes.h) that knows the work of all
/// nodes there, what its cache holds, and whether it answers. Before a node sends a request it asks
/// the home of its first candidate. The home grants the request where the replica turns to it soon,
/// else it says how long the request would wait, and the next candidate's home is asked. Where none
/// grants, the candidate with the shortest wait is taken if the request can wait so long. Homes are
/// told when answers begin and end, and what failed.
///
/// A question never costs a request: a home that does not answer is passed over after some
/// milliseconds, and where no home answers the node decides by what it knows itself. Nothing that
/// must hold rests on a home: versions, tenants, instances and runs are checked where they were.
/// Two nodes that both take themselves for a home each miss what the other granted; the replica's
/// own refusals bound that.
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
#include "routing/placement_messages.h"
#include "routing/replica_directory.h"
#include "routing/replica_homes.h"
#include "routing/replica_ledger.h"

namespace covewing::routing {

struct PlacementOptions {
  /// Longest wait for a home's answer. A round trip takes 2 to 4 ms, and a busy node answers late.
  base::Duration timeout = std::chrono::milliseconds(25);
  /// A request asks no more homes after so many did not answer.
  std::size_t mostTimeouts = 2;
  /// A home that did not answer so many questions in a row is passed over for a while.
  std::size_t timeoutsToAvoid = 2;
  base::Duration avoidFor = std::chrono::milliseconds(1000);
  /// A later candidate must have a wait shorter by this: it fetches what an earlier one may hold.
  base::Duration moveMargin = std::chrono::milliseconds(20);
  ReplicaLedgerOptions ledger;
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
  PlacementWork work;
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
  base::Duration patience{};
  /// Where none does, the one with the shortest wait is taken if that is at most this.
  base::Duration longestWait = base::Duration::max();
  PlacementTerms terms;
};

/// What a home counts a request under.
struct PlacementGrant {
  std::uint64_t id = 0;
  base::EngineId replica;
  base::NodeId homeId;
  base::Endpoint home;
};

struct PlacementResult {
  /// Place of the chosen candidate; empty when no home answered, or none that did would let the
  /// request go there.
  std::optional<std::size_t> candidate;
  std::optional<PlacementGrant> grant;
  std::uint32_t matchedTokens = 0;
  /// Expected wait at the chosen candidate; else the shortest that a home told, empty if none did.
  std::optional<base::Duration> wait;
  /// Homes asked, and those that answered.
  std::size_t asked = 0;
  std::size_t answered = 0;
};

/// Counts since the start, for metrics.
struct PlacementCounters {
  std::uint64_t questions = 0;
  std::uint64_t granted = 0;
  std::uint64_t declined = 0;
  std::uint64_t timeouts = 0;
};

class Placement final : public base::PeerHandler {
 public:
  using Found = std::function<void(const PlacementResult&)>;

  Placement(PlacementOptions options, PlacementEnvironment environment);
  ~Placement() override;
  Placement(const Placement&) = delete;
  Placement& operator=(const Placement&) = delete;

  /// Calls `found` once; inside the call where only this node is asked.
  void ask(PlacementRequest request, Found found);
  /// Tells the home of a request that is sent without its grant.
  PlacementGrant take(const PlacementCandidate& candidate, base::Duration longestPause = {});
  /// The answer to the request began.
  void begun(const PlacementGrant& grant);
  /// The request ended, or never got to the replica.
  void ended(const PlacementGrant& grant, PlacementOutcome outcome,
             const StreamObservation& observed = {});
  void onPeerMessage(const base::PeerIdentity& sender, std::string_view payload) override;

  const PlacementCounters& counters() const { return counters_; }

 private:
  /// The best candidate among those whose homes declined.
  struct Best {
    std::size_t candidate = 0;
    base::Duration cost{};
    /// Whether it goes before `other`. One that keeps the pauses goes before one that does not, by
    /// however much the other's wait is shorter: at 1.1 times the room of replicas of three speeds
    /// 24 in 100 streams pause too long, 39 where pauses only add to the wait, and 36 where they do
    /// not count (12 seeds of the load test of pauses).
    bool before(const Best& other) const {
      if (answer.keepsPauses != other.answer.keepsPauses) return answer.keepsPauses;
      return cost < other.cost;
    }
    PlacementAnswer answer;
  };
  /// A request whose homes are being asked.
  struct Pending {
    PlacementRequest request;
    Found found;
    std::size_t position = 0;
    std::size_t asked = 0;
    std::size_t answered = 0;
    std::size_t timeouts = 0;
    std::optional<Best> best;
    std::optional<base::Duration> shortestWait;
    /// The home asked now.
    base::NodeId homeId;
    base::Endpoint home;
    base::TimerId timer = 0;
  };
  struct HomeTrust {
    std::size_t timeouts = 0;
    base::TimePoint avoidedUntil{};
  };

  // The asking side.
  /// Asks the homes of the candidates that are left, until one must be waited for or all were.
  void askOn(std::uint64_t id, Pending pending);
  PlacementQuestion questionOf(std::uint64_t id, const Pending& pending) const;
  bool avoided(base::NodeId home) const;
  /// Takes a home's answer; true when it granted.
  static bool consider(Pending& pending, const PlacementAnswer& answer, base::Duration margin);
  void conclude(std::uint64_t id, Pending& pending, const PlacementAnswer& answer);
  void concludeWithBest(Pending& pending);
  void onAnswer(const base::PeerIdentity& sender, const PlacementAnswer& answer);
  void onTimeout(std::uint64_t id);

  // The home's side.
  PlacementAnswer answerTo(const PlacementQuestion& question);
  void onTaken(const PlacementTaken& taken);
  void onBegun(const PlacementBegun& begun);
  void onEnded(const PlacementEnded& ended, base::NodeId node);

  bool isSelf(base::NodeId node) const;
  void send(const base::Endpoint& destination, const PlacementMessage& message);

  PlacementOptions options_;
  PlacementEnvironment environment_;
  ReplicaHomes homes_;
  std::unordered_map<base::EngineId, ReplicaLedger> ledgers_;
  std::unordered_map<std::uint64_t, Pending> pending_;
  std::map<base::NodeId, HomeTrust> trust_;
  PlacementCounters counters_;
};

}  // namespace covewing::routing
