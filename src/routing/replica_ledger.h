/// \file
/// What the home of a replica knows of the work that all nodes have there: grants given and not
/// ended, how fast the replica reads and how long requests run, and whether it answers.
///
/// States of a grant: waiting (given, its answer has not begun) -> running -> ended. A grant whose
/// answer has not begun for long, or whose time is up, lapses by itself: the message that it began
/// or ended was lost, or its node died.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "routing/fleet_load.h"
#include "routing/placement_messages.h"
#include "routing/prefill_speed.h"
#include "routing/rate_pacer.h"
#include "routing/replica_health.h"
#include "routing/replica_speed_model.h"

namespace covewing::routing {

struct ReplicaLedgerOptions {
  /// A grant whose answer has not begun after this, beyond the time that reading it takes, lapses:
  /// nodes give silent attempts up within about a second.
  base::Duration maximumWait = std::chrono::milliseconds(2500);
  /// Longest time that a grant counts; requests run for up to some ten seconds.
  base::Duration maximumLifetime = std::chrono::seconds(15);
  /// How long a replica that refused for lack of room counts as full.
  base::Duration atCapacityFor = std::chrono::milliseconds(100);
  /// Time that a request runs until some have ended.
  base::Duration initialRunTime = std::chrono::milliseconds(200);
};

/// The shared parts of a granted prompt, and the scope under which the replica keeps them.
struct GrantedPrompt {
  CacheScope scope = 0;
  std::vector<prefix::PromptPart> parts;
};

class ReplicaLedger {
 public:
  explicit ReplicaLedger(ReplicaLedgerOptions options = {}) : options_(options) {}

  /// A node sends a request; `id` names the grant.
  void grant(std::uint64_t id, const PlacementDemand& work, const PlacementTerms& terms,
             GrantedPrompt prompt, base::TimePoint now);
  /// The answer to a granted request began: the replica has read the prompt, which is returned.
  /// Empty when the grant is not known or began before.
  std::optional<GrantedPrompt> begin(std::uint64_t id, base::TimePoint now);
  /// A granted request ended, or never got there, as `node` tells. `serviceRate` is the failure
  /// rate of the service's other replicas.
  void end(const PlacementEnded& ended, base::NodeId node, double serviceRate, base::TimePoint now);

  /// The replica takes so many requests a second from all nodes; empty: as many as it has room for.
  void setRate(std::optional<double> perSecond, base::TimePoint now) {
    pacer_.setRate(perSecond, now);
    health_.setInterval(pacer_.interval());
  }
  const RatePacer& pacer() const { return pacer_; }
  /// A call that is no request went to the replica.
  void countControlCall(base::TimePoint now) { pacer_.onPassed(now); }
  /// When the grant was given; empty when it is not known.
  std::optional<base::TimePoint> grantedAt(std::uint64_t id) const;
  /// Between two requests that the replica can take, by its rate limit or by its slots, whichever
  /// binds.
  base::Duration timePerRequest(std::uint32_t slots) const;

  /// The work under way.
  ReplicaLoad load(base::TimePoint now);
  /// How long a request that is sent now waits until the replica turns to it: for the prompts ahead
  /// to be read, and for a place where all slots are taken.
  base::Duration expectedWait(const PlacementDemand& work, base::TimePoint now);
  /// Whether the replica, its rate limit and its memory take the request: a few more requests than
  /// run at once may wait there, the others are better held where they can still go elsewhere.
  bool hasCapacity(const PlacementDemand& work, base::TimePoint now);
  /// By how much the longest pauses of the request's stream and of those that run are expected to
  /// exceed what their routes allow when it is added, summed; zero while the pace is unknown.
  base::Duration pauseExcess(const PlacementDemand& work, const PlacementTerms& terms,
                             base::TimePoint now);
  /// Speed of the replica (ReplicaSpeedModel::speed) in hundredths; 0 while unknown.
  std::uint32_t speedPercent() const;
  /// Whether requests may be sent there, by what all nodes found.
  bool available(base::TimePoint now);
  bool idle() const { return grants_.empty(); }
  /// How long a request runs here on average.
  base::Duration meanRunTime() const { return meanRunTime_; }

 private:
  struct Grant {
    PlacementDemand work;
    GrantedPrompt prompt;
    base::TimePoint givenAt{};
    base::Duration prefillTime{};
    /// Zero: its stream may pause for any time.
    base::Duration longestPause{};
    bool started = false;
    /// It is counted within the rate limit.
    bool paced = false;
    /// Beside its stream, since it began.
    StreamLoad concurrent{};
  };
  using Grants = std::unordered_map<std::uint64_t, Grant>;

  void dropExpired(base::TimePoint now);
  void markStarted(Grant& grant, base::TimePoint now);
  /// The work beside running streams changed; `read` tokens of a prompt were read meanwhile.
  void recordConcurrentPrefill(std::uint64_t prefilled);
  /// Time until a place is free, by how many requests are too many.
  base::Duration slotWait(const ReplicaLoad& load, const PlacementDemand& work) const;

  ReplicaLedgerOptions options_;
  Grants grants_;
  PrefillSpeed prefillSpeed_;
  ReplicaHealth health_;
  ReplicaSpeedModel speedModel_;
  RatePacer pacer_;
  /// Running mean of what waits to be read there, for what a new stream will meet.
  double usualBacklog_ = 0;
  base::Duration meanRunTime_{options_.initialRunTime};
  base::TimePoint atCapacityUntil_{};
};

}  // namespace covewing::routing
