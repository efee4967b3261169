/// \file
/// The replicas of all services: what the fleet's list says, joined with what this node has seen of
/// each itself. Used by routing, by the relay of requests and by the rollout of weights.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/event_log.h"
#include "base/ids.h"
#include "base/time.h"
#include "routing/fleet_load.h"
#include "routing/instance_notices.h"
#include "routing/prefill_speed.h"
#include "routing/replica.h"
#include "routing/replica_health.h"

namespace covewing::routing {

/// One replica as this node knows it. Outlives its entry in the directory while requests hold it.
class ReplicaRecord {
 public:
  explicit ReplicaRecord(Replica facts);

  const Replica& facts() const { return facts_; }
  ReplicaHealth& health() { return health_; }
  const ReplicaHealth& health() const { return health_; }

  /// The newest version of the model that the list or an answer named; 0 when none is known. An
  /// order that is carried out late may bring a run back to an older version: it counts once the
  /// list, having named a newer one, names it.
  base::WeightsVersion versionOf(std::string_view model) const;
  /// An answer showed the version. Answers overtake each other, so an older one proves nothing.
  void recordVersion(const std::string& model, base::WeightsVersion version);
  /// A refusal showed that the version known is wrong and not which is right: the replica is passed
  /// over until the list or an answer tells, or `until`.
  void markVersionUncertain(base::TimePoint until) { versionUncertainUntil_ = until; }
  bool versionUncertain(base::TimePoint now) const { return now < versionUncertainUntil_; }
  /// Its address answers for another run or another replica: this one has ended for good, whatever
  /// the list still says.
  void setTerminated() { terminated_ = true; }
  bool terminated() const { return terminated_; }
  /// New weights are about to be ordered or are being loaded: no requests until then, or until a
  /// newer version is shown.
  void setLoadingWeights(base::TimePoint until) { loadingWeightsUntil_ = until; }
  bool loadingWeights(base::TimePoint now) const { return now < loadingWeightsUntil_; }
  /// A refusal for lack of room: passed over until then while others can take the request.
  void setAtCapacity(base::TimePoint until) { atCapacityUntil_ = until; }
  bool atCapacity(base::TimePoint now) const { return now < atCapacityUntil_; }

  /// What the run has said of itself.
  InstanceNotices& notices() { return *notices_; }
  const InstanceNotices& notices() const { return *notices_; }
  /// It is about to end, by its entry or its own word.
  bool leaving() const { return notices_->leaving() || facts_.state == ReplicaState::kDraining; }
  /// It may get new work, from whatever node: requests, and orders of weights.
  bool inService() const {
    return facts_.state == ReplicaState::kReady && !terminated_ && !leaving();
  }

  /// Requests of this node may be sent there now.
  bool acceptsRequests(base::TimePoint now) const {
    return inService() && !notices_->backingOff(now) && !notices_->probing();
  }
  /// What is known of its readiness, for logs: "ready", "leaving", "resting", "gone" or
  /// "unreadable".
  std::string_view stateName(base::TimePoint now) const;

  /// How fast the replica reads prompts, as this node has seen.
  const PrefillSpeed& prefillSpeed() const { return prefillSpeed_; }
  PrefillSpeed& prefillSpeed() { return prefillSpeed_; }

  /// Speed as the replica's home told (ReplicaSpeedModel::speed), in hundredths; 0: not known.
  void recordSpeed(std::uint32_t percent) { speedPercent_ = percent; }
  std::uint32_t speedPercent() const { return speedPercent_; }

  /// The answer to a request that had been sent began after so long.
  void recordWait(base::Duration took);
  /// How long a request that is sent now may wait until it begins, from the latest waits and from
  /// those of requests that still wait.
  base::Duration expectedWait(base::TimePoint now) const;

  /// Requests of this node that the replica has not finished, and the tokens they need.
  std::uint32_t inFlight() const { return inFlight_; }
  std::uint64_t tokensInFlight() const { return tokensInFlight_; }
  /// All work that this node has under way there.
  ReplicaLoad ownLoad() const { return {inFlight_, tokensInFlight_, pendingPrefillTokens_}; }
  void onDispatched(std::uint32_t tokens);
  /// A prompt waits of which the replica must read so many tokens; its answer began, or will not.
  void addPendingPrefill(std::uint32_t prefillTokens) { pendingPrefillTokens_ += prefillTokens; }
  void removePendingPrefill(std::uint32_t prefillTokens) { pendingPrefillTokens_ -= prefillTokens; }
  void onFinished(std::uint32_t tokens);

 private:
  friend class ReplicaDirectory;
  void update(Replica facts);
  void removeVersion(const std::string& model);

  Replica facts_;
  ReplicaHealth health_;
  std::map<std::string, base::WeightsVersion, std::less<>> versions_;
  bool terminated_ = false;
  base::TimePoint versionUncertainUntil_{};
  base::TimePoint loadingWeightsUntil_{};
  base::TimePoint atCapacityUntil_{};
  /// Shared with the directory, which keeps them beyond the entry.
  std::shared_ptr<InstanceNotices> notices_ = std::make_shared<InstanceNotices>();
  PrefillSpeed prefillSpeed_;
  std::uint32_t speedPercent_ = 0;
  /// Follows longer waits at once and shorter ones slowly.
  base::Duration recentWait_{};
  std::uint32_t inFlight_ = 0;
  std::uint64_t tokensInFlight_ = 0;
  std::uint64_t pendingPrefillTokens_ = 0;
};

using ReplicaRecordPtr = std::shared_ptr<ReplicaRecord>;

/// A rate limit for logs: requests a second, or "none".
std::string rateLimitText(std::optional<double> perSecond);

/// Source of what another node told.
inline constexpr std::string_view kOtherNode = "other node";

/// From what a node knows what a run says of itself.
struct NoticeSource {
  /// "entry", "answer", "order", "report", "cache events" or "other node".
  std::string_view name;
  /// Of the answer; 0 where there is none.
  unsigned status = 0;
  /// The request that was answered; empty where there is none.
  std::string request;
};

/// Notes that the replica leaves, and logs it where that is news.
void recordLeaving(ReplicaRecord& replica, base::EventLog& log, const NoticeSource& source);

/// Takes in what the replica said of its rate limit, and logs it where that is news.
void recordRateLimit(ReplicaRecord& replica, base::EventLog& log, const RateLimitEvidence& evidence,
                     const NoticeSource& source);

class ReplicaDirectory {
 public:
  /// Ascending by instance, equal on all nodes that know the same list.
  using Replicas = std::vector<ReplicaRecordPtr>;

  void onListed(Replica facts);
  /// The entry is gone. The run may live on, and its entry come again: what it has said of itself
  /// is kept.
  void onRemoved(const std::string& instance);
  /// The run has certainly ended.
  void onEnded(const std::string& instance);
  /// The replica's entry cannot be read any more: it is none of its service's until it can. What is
  /// known of it stays, as it may go on to run.
  void onUnreadable(const std::string& instance);

  ReplicaRecordPtr find(std::string_view instance) const;
  ReplicaRecordPtr find(base::EngineId replica) const;
  /// The listed replicas of a service, draining ones included.
  const Replicas& ofService(std::string_view service) const;
  /// All listed replicas by instance.
  const std::map<std::string, ReplicaRecordPtr, std::less<>>& all() const { return byInstance_; }
  /// Mean failure rate of the service's replicas other than this one.
  double failureRateOfOthers(const ReplicaRecord& record) const;

 private:
  /// What a run without an entry has said of itself.
  struct KeptNotices {
    std::string instance;
    std::shared_ptr<InstanceNotices> notices;
  };
  /// More than the replicas of the largest fleet, which may all lose their entries in one outage of
  /// the table service.
  static constexpr std::size_t kMaximumKeptNotices = 1024;

  void addToService(ReplicaRecordPtr record);
  /// Gives the run's notices back to its new record.
  void restoreNotices(ReplicaRecord& record);
  void removeFromService(const ReplicaRecord& record);

  std::map<std::string, ReplicaRecordPtr, std::less<>> byInstance_;
  std::unordered_map<base::EngineId, ReplicaRecordPtr> byId_;
  std::map<std::string, Replicas, std::less<>> byService_;
  /// The oldest first.
  std::deque<KeptNotices> keptNotices_;
};

}  // namespace covewing::routing
