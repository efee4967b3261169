/// \file
/// Record that the home of a replica keeps of the work of all nodes there: grants that have not
/// ended, the replica's prefill speed, how long requests run, and whether the replica responds.
///
/// States of a grant: waiting (given, its response has not started) -> running -> ended. A grant
/// whose response has not started for a long time, or whose maximum lifetime is over, expires by
/// itself: the message about its start or end was lost, or its node died.
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
#include "routing/refusal_limiter.h"
#include "routing/replica_health.h"
#include "routing/replica_speed_model.h"

namespace covewing::routing {

struct ReplicaLedgerOptions {
  /// A grant expires if its response has not started after this time plus twice the expected
  /// prefill time: nodes abandon attempts without a response within about a second.
  base::Duration maximumWait = std::chrono::milliseconds(2500);
  /// Maximum lifetime of a grant; requests run for up to some ten seconds.
  base::Duration maximumLifetime = std::chrono::seconds(15);
  /// How long a replica that refused a request for lack of capacity counts as being at capacity.
  base::Duration atCapacityFor = std::chrono::milliseconds(100);
  /// Assumed duration of a request until the first ones have ended.
  base::Duration initialRunTime = std::chrono::milliseconds(200);
};

/// Shared parts of a granted prompt, and the scope under which the replica caches them.
struct GrantedPrompt {
  CacheScope scope = 0;
  std::vector<prefix::PromptPart> parts;
};

class ReplicaLedger {
 public:
  explicit ReplicaLedger(ReplicaLedgerOptions options = {}) : options_(options) {}

  /// A node sends a request; `id` identifies the grant.
  void grant(std::uint64_t id, const PlacementDemand& work, const PlacementTerms& terms,
             GrantedPrompt prompt, base::TimePoint now);
  /// The response to a granted request started, so the replica has prefilled the prompt, which is
  /// returned. Returns nothing if the grant is unknown or its response had started before.
  std::optional<GrantedPrompt> begin(std::uint64_t id, base::TimePoint now);
  /// A granted request ended or was never sent, as reported by `node`. `serviceRate` is the failure
  /// rate of the service's other replicas.
  void end(const PlacementEnded& ended, base::NodeId node, double serviceRate, base::TimePoint now);

  /// Sets the number of requests per second that the replica accepts from all nodes; empty if it
  /// has no rate limit.
  void setRate(std::optional<double> perSecond, base::TimePoint now) {
    pacer_.setRate(perSecond, now);
    health_.setInterval(pacer_.interval());
  }
  /// Sets how many requests per second the replica may refuse for lack of capacity without failing;
  /// empty: any number.
  void setRefusalLimit(std::optional<double> perSecond) { refusals_.setLimit(perSecond); }
  const RatePacer& pacer() const { return pacer_; }
  /// Counts a control call to the replica.
  void countControlCall(base::TimePoint now) { pacer_.onControlCall(now); }
  /// When the grant was given; empty if it is unknown.
  std::optional<base::TimePoint> grantedAt(std::uint64_t id) const;
  /// Time between two requests that the replica can accept, limited by its rate limit or its slots,
  /// whichever is stricter.
  base::Duration timePerRequest(std::uint32_t slots) const;

  /// The current load.
  ReplicaLoad load(base::TimePoint now);
  /// How long a request that is sent now waits until the replica starts it: for the prefill of the
  /// prompts ahead of it, and for a slot if all are in use.
  base::Duration expectedWait(const PlacementDemand& work, base::TimePoint now);
  /// Whether the replica, its rate limit and its memory can accept the request. A few requests more
  /// than the replica runs concurrently may wait there; further ones are better queued where they
  /// can still be sent to another replica.
  bool hasCapacity(const PlacementDemand& work, base::TimePoint now);
  /// Sum of the times by which the longest pauses of the request's stream and of the running
  /// streams are expected to exceed what their routes allow if the request is added; zero while the
  /// speed is unknown.
  base::Duration pauseExcess(const PlacementDemand& work, const PlacementTerms& terms,
                             base::TimePoint now);
  /// Speed of the replica (ReplicaSpeedModel::speed) in hundredths; 0 while unknown.
  std::uint32_t speedPercent() const;
  /// Whether requests may be sent to the replica, according to the outcomes at all nodes.
  bool available(base::TimePoint now);
  bool idle() const { return grants_.empty(); }
  /// Mean duration of a request at this replica.
  base::Duration meanRunTime() const { return meanRunTime_; }

 private:
  struct Grant {
    PlacementDemand work;
    GrantedPrompt prompt;
    base::TimePoint givenAt{};
    base::Duration prefillTime{};
    /// Maximum allowed pause of the stream; zero if unlimited.
    base::Duration maximumPause{};
    bool started = false;
    /// Whether the grant is counted against the rate limit.
    bool paced = false;
    /// Work that ran concurrently with the stream since it started.
    StreamLoad concurrent{};
  };
  using Grants = std::unordered_map<std::uint64_t, Grant>;

  void dropExpired(base::TimePoint now);
  void markStarted(Grant& grant, base::TimePoint now);
  /// Records a change of the work that runs concurrently with the streams; `prefilled` prompt
  /// tokens were prefilled in the meantime.
  void recordConcurrentPrefill(std::uint64_t prefilled);
  /// Time until a slot is free, from the number of requests beyond the slots.
  base::Duration slotWait(const ReplicaLoad& load, const PlacementDemand& work) const;

  ReplicaLedgerOptions options_;
  Grants grants_;
  PrefillSpeed prefillSpeed_;
  ReplicaHealth health_;
  ReplicaSpeedModel speedModel_;
  RatePacer pacer_;
  RefusalLimiter refusals_;
  /// Running mean of the tokens that wait to be prefilled, as an estimate of what a new stream will
  /// encounter.
  double usualBacklog_ = 0;
  base::Duration meanRunTime_{options_.initialRunTime};
  base::TimePoint atCapacityUntil_{};
};

}  // namespace covewing::routing
