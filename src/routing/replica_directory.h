/// \file
/// The replicas of all services: the entries of the fleet list, joined with this node's own
/// observations of each replica. Used by routing, by the relay of requests and by the rollout of
/// weights.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
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
#include "clients/replica_target.h"
#include "routing/fleet_load.h"
#include "routing/instance_notices.h"
#include "routing/prefill_speed.h"
#include "routing/replica.h"
#include "routing/replica_health.h"

namespace covewing::routing {

/// State of one replica as known to this node. Outlives its directory entry while requests hold a
/// reference.
class ReplicaRecord {
 public:
  explicit ReplicaRecord(Replica facts);

  const Replica& facts() const { return facts_; }
  ReplicaHealth& health() { return health_; }
  const ReplicaHealth& health() const { return health_; }

  /// The newest version of the model that the list or a response reported; 0 if none is known. An
  /// order that is carried out late may bring an instance back to an older version: the older
  /// version is accepted only if the list reports it after having reported a newer one.
  base::WeightsVersion versionOf(std::string_view model) const;
  /// A response reported the version. Responses overtake each other, so an older version in a
  /// response is ignored.
  void recordVersion(const std::string& model, base::WeightsVersion version);
  /// A refusal showed that the known version is wrong, but not which one is right: the replica is
  /// skipped until the list or a response reports a version, or until the given time.
  void markVersionUncertain(base::TimePoint until) { versionUncertainUntil_ = until; }
  bool versionUncertain(base::TimePoint now) const { return now < versionUncertainUntil_; }
  /// The address responds on behalf of another instance or another replica: this instance has ended
  /// for good, even if the list still contains it.
  void setTerminated() { terminated_ = true; }
  bool terminated() const { return terminated_; }
  /// Connections were refused after requests had been lost: the instance has probably ended, and
  /// another one, possibly of another software version, may start under the same name and address
  /// before the list shows it.
  void presumeEnded(base::TimePoint now);
  /// The address accepts connections again.
  void onReachable(base::TimePoint now);
  /// Whether another instance may be running under the name and address of this one.
  bool mayBeReplaced(base::TimePoint now) const { return now < mayBeReplacedUntil_; }
  /// New weights are about to be ordered or are being loaded: no requests until the given time, or
  /// until a newer version is reported.
  void setLoadingWeights(base::TimePoint until) { loadingWeightsUntil_ = until; }
  bool loadingWeights(base::TimePoint now) const { return now < loadingWeightsUntil_; }
  /// The replica refused a request for lack of capacity: it is skipped until the given time while
  /// others can accept the request.
  void setAtCapacity(base::TimePoint until) { atCapacityUntil_ = until; }
  bool atCapacity(base::TimePoint now) const { return now < atCapacityUntil_; }

  /// Notices that the instance has given about itself.
  InstanceNotices& notices() { return *notices_; }
  const InstanceNotices& notices() const { return *notices_; }
  /// The instance is about to end, according to its entry or its own notice.
  bool leaving() const { return notices_->leaving() || facts_.state == ReplicaState::kDraining; }
  /// The replica may receive new work from any node: requests and weights orders.
  bool inService() const {
    return facts_.state == ReplicaState::kReady && !terminated_ && !leaving();
  }

  /// Whether requests of this node may be sent to the replica now.
  bool acceptsRequests(base::TimePoint now) const {
    return inService() && !notices_->backingOff(now) && !notices_->probing();
  }
  /// Readiness for log lines: "ready", "leaving", "resting", "gone" or "unreadable".
  std::string_view stateName(base::TimePoint now) const;

  /// Prefill speed of the replica as measured by this node.
  const PrefillSpeed& prefillSpeed() const { return prefillSpeed_; }
  PrefillSpeed& prefillSpeed() { return prefillSpeed_; }

  /// Speed as reported by the replica's home (ReplicaSpeedModel::speed), in hundredths; 0 if
  /// unknown.
  void recordSpeed(std::uint32_t percent) { speedPercent_ = percent; }
  std::uint32_t speedPercent() const { return speedPercent_; }

  /// Records the time from the dispatch of a request to the start of its response.
  void recordWait(base::Duration took);
  /// How long a request that is sent now may wait until it starts, estimated from recent waits and
  /// from requests that are still waiting.
  base::Duration expectedWait(base::TimePoint now) const;

  /// Requests of this node that the replica has not finished, and the KV-cache tokens that they
  /// need.
  std::uint32_t inFlight() const { return inFlight_; }
  std::uint64_t tokensInFlight() const { return tokensInFlight_; }
  /// Total load of this node at the replica.
  ReplicaLoad ownLoad() const { return {inFlight_, tokensInFlight_, pendingPrefillTokens_}; }
  void onDispatched(std::uint32_t tokens);
  /// Adds and removes a prompt of which the replica must prefill this many tokens; it is removed
  /// when its response starts or can no longer start.
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
  base::TimePoint mayBeReplacedUntil_{};
  base::TimePoint versionUncertainUntil_{};
  base::TimePoint loadingWeightsUntil_{};
  base::TimePoint atCapacityUntil_{};
  /// Shared with the directory, which keeps the notices after the entry is removed.
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

/// A rate limit for log lines: requests per second, or "none".
std::string rateLimitText(std::optional<double> perSecond);

/// Source name of notices that another node reported.
inline constexpr std::string_view kOtherNode = "other node";

/// Where a notice about an instance comes from.
struct NoticeSource {
  /// "entry", "answer", "order", "report", "cache events" or "other node".
  std::string_view name;
  /// Status code of the response; 0 if there is no response.
  unsigned status = 0;
  /// Identifier of the request that received the response; empty if there is none.
  std::string request;
};

/// Records that the replica is leaving, and logs it if that was not known.
void recordLeaving(ReplicaRecord& replica, base::EventLog& log, const NoticeSource& source);

/// Processes a report of the replica's rate limit, and logs it if the limit in force changes.
void recordRateLimit(ReplicaRecord& replica, base::EventLog& log, const RateLimitEvidence& evidence,
                     const NoticeSource& source);

/// Records, and logs, that another instance responded to a call that was meant for the replica: the
/// replica has ended. `call` is the kind of the call, as in NoticeSource.
void recordOtherInstance(ReplicaRecord& replica, base::EventLog& log, base::TimePoint now,
                         std::string_view call, const clients::Responder& responder);

class ReplicaDirectory {
 public:
  /// Ascending by instance; equal on all nodes that have the same list.
  using Replicas = std::vector<ReplicaRecordPtr>;

  void onListed(Replica facts);
  /// The entry was removed. The instance may still be running and its entry may return, so its
  /// notices are kept.
  void onRemoved(const std::string& instance);
  /// `listener` is called with each instance whose entry has been removed, whatever the reason.
  void setRemovalListener(std::function<void(const std::string& instance)> listener) {
    removalListener_ = std::move(listener);
  }
  /// The instance has definitely ended.
  void onEnded(const std::string& instance);
  /// The replica's entry cannot be parsed any more: the replica is removed from its service until
  /// it can. Its state is kept, as it may still be running.
  void onUnreadable(const std::string& instance);

  ReplicaRecordPtr find(std::string_view instance) const;
  ReplicaRecordPtr find(base::EngineId replica) const;
  /// The listed replicas of a service, including draining ones.
  const Replicas& ofService(std::string_view service) const;
  /// All listed replicas by instance.
  const std::map<std::string, ReplicaRecordPtr, std::less<>>& all() const { return byInstance_; }
  /// Mean failure rate of the other replicas of the same service.
  double failureRateOfOthers(const ReplicaRecord& record) const;

 private:
  /// Notices of an instance that has no entry.
  struct KeptNotices {
    std::string instance;
    std::shared_ptr<InstanceNotices> notices;
  };
  /// More than the replicas of the largest fleet, all of which may lose their entries in one outage
  /// of the table service.
  static constexpr std::size_t kMaximumKeptNotices = 1024;

  void addToService(ReplicaRecordPtr record);
  /// Restores the kept notices of the instance to its new record.
  void restoreNotices(ReplicaRecord& record);
  void removeFromService(const ReplicaRecord& record);

  std::map<std::string, ReplicaRecordPtr, std::less<>> byInstance_;
  std::unordered_map<base::EngineId, ReplicaRecordPtr> byId_;
  std::map<std::string, Replicas, std::less<>> byService_;
  /// Oldest first.
  std::deque<KeptNotices> keptNotices_;
  std::function<void(const std::string&)> removalListener_;
};

}  // namespace covewing::routing
