/// \file
/// Changes all replicas to the versions of weights that operators published, a few at a time.
///
/// One node does this, the holder of a lease. For each replica: notify the other nodes, which route
/// around it -> request reports of the number of its requests and of the orders that it has
/// accepted, until it is idle or the drain timeout is over -> send the fenced order once a load
/// slot is free -> request reports until the version is served -> notify the other nodes. If a
/// newer version is published meanwhile, it replaces the older one for all replicas that were not
/// sent an order yet.
///
/// The plan decides which replicas change, and how many at once (coordination/rollout_plan.h). An
/// unresponsive replica counts neither as unavailable nor as loading, so that others can proceed;
/// its change continues as soon as it responds.
///
/// An order without a response may still be carried out, even late. It is sent again only with the
/// same expected number of orders, so that a replica accepts at most one of them.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "base/time.h"
#include "clients/weights_client.h"
#include "coordination/capacity_account.h"
#include "coordination/lease_manager.h"
#include "coordination/replica_survey.h"
#include "coordination/rollout_plan.h"
#include "coordination/version_watch.h"
#include "routing/replica_directory.h"
#include "routing/weights_targets.h"

namespace covewing::coordination {

struct WeightsRolloutOptions {
  base::Duration interval = std::chrono::milliseconds(50);
  /// Time from the notification of the replica's home node until the first report: requests granted
  /// before that reach the replica within a round trip.
  base::Duration firstReportDelay = std::chrono::milliseconds(60);
  /// Time from an order until the first report; loads take at least about half a second.
  base::Duration loadReportDelay = std::chrono::milliseconds(350);
  base::Duration reportInterval = std::chrono::milliseconds(100);
  /// Maximum interval between calls to a replica with a rate limit, because its weights must be
  /// loaded by a deadline.
  base::Duration maximumRateLimitPause = std::chrono::milliseconds(1500);
  /// A replica that is not idle after this time is sent the order nevertheless; it completes its
  /// running requests first.
  base::Duration drainTimeout = std::chrono::milliseconds(1500);
  /// After a replica rejected a fencing token as outdated, no order is sent with that token for
  /// this long: the lease has another holder, as this node will observe within about a second.
  base::Duration fencedBackOff = std::chrono::milliseconds(1500);
  /// An order without a response is sent again after this time.
  base::Duration orderRetryDelay = std::chrono::milliseconds(1000);
  /// A change is abandoned, and started again later, if its load has not finished this long after
  /// the order and no report of the same period shows the order in progress.
  base::Duration loadTimeout = std::chrono::seconds(5);
  /// A replica that has not responded for this long no longer counts as unavailable or loading.
  base::Duration unresponsiveAfter = std::chrono::milliseconds(500);
  /// Interval between reports from an unresponsive replica.
  base::Duration unresponsiveInterval = std::chrono::milliseconds(250);
  /// Maximum time to wait for a replica whose reports show the order in progress; it completes its
  /// running requests first.
  base::Duration busyTimeout = std::chrono::seconds(10);
  /// Share of a load slot that a replica takes after it was sent the order, while its running
  /// requests have not ended.
  double slotShareWhileRunning = 0.5;
  /// This long after requests may no longer start on an older version, every replica that still has
  /// both the version and waiting requests is sent the order: it then refuses these requests as not
  /// run instead of starting them on the older version.
  base::Duration flushAfter = std::chrono::milliseconds(400);
  /// Assumed duration of a change at first, and its maximum.
  base::Duration initialChangeTime = std::chrono::milliseconds(1800);
  base::Duration maximumChangeTime = std::chrono::milliseconds(4000);
  RolloutPlanOptions plan;
  ReplicaSurveyOptions survey;
};

/// Notifies all nodes of changes of one replica.
class ReplicaChangeListener {
 public:
  virtual ~ReplicaChangeListener() = default;
  /// The replica is about to load weights and should receive no requests for now.
  virtual void onReplicaChanging(const std::string& instance) = 0;
  /// The replica serves the version: the new one, or its present one if the change was abandoned.
  virtual void onReplicaServing(const std::string& instance, const std::string& model,
                                base::WeightsVersion version) = 0;
};

/// All must outlive the rollout and share its thread.
struct WeightsRolloutEnvironment {
  base::Clock& clock;
  base::TimerService& timers;
  base::EventLog& log;
  clients::WeightsClient& replicas;
  const routing::ReplicaDirectory& directory;
  const routing::WeightsTargets& targets;
  ReplicaChangeListener& changeListener;
  /// Name of this node.
  std::string holder;
  /// Number of replicas of a service that long-running requests fill. If not set, these requests
  /// are not concentrated on some replicas.
  std::function<std::size_t(const std::string& service)> longRunReplicas;
  /// Number of replicas of a service that the current load fills; unknown if not set.
  std::function<double(const std::string& service)> replicasInUse;
  /// Whether the configuration contains the service. A replica whose entry names another service is
  /// sent no orders. If not set, every service counts as configured.
  std::function<bool(const std::string& service)> isConfigured{};
};

class WeightsRollout {
 public:
  using GrantSource = std::function<std::optional<LeaseGrant>()>;

  WeightsRollout(WeightsRolloutOptions options, WeightsRolloutEnvironment environment,
                 GrantSource grant);
  ~WeightsRollout();
  WeightsRollout(const WeightsRollout&) = delete;
  WeightsRollout& operator=(const WeightsRollout&) = delete;

  /// The lease was acquired.
  void start();
  /// The lease was lost or is being released.
  void stop();
  std::size_t changesInProgress() const { return changes_.size(); }

 private:
  enum class Phase : std::uint8_t { kDraining, kAwaitingSlot, kLoading };
  struct Change {
    std::string model;
    base::WeightsVersion version = 0;
    Phase phase = Phase::kDraining;
    base::TimePoint startedAt{};
    /// Time at which the next step is due.
    base::TimePoint nextAt{};
    base::TimePoint orderedAt{};
    /// Time of the latest response of the replica; initially the start of the change.
    base::TimePoint lastResponseAt{};
    /// Time of the latest report that showed the order in progress.
    base::TimePoint lastBusyAt{};
    /// Whether the replica has accepted the order.
    bool accepted = false;
    /// Number of running requests, according to the latest report.
    std::uint32_t running = 0;
    /// Whether the latest report showed no waiting requests.
    bool noneWaiting = false;
    bool callInFlight = false;
    /// Minimum interval between calls, if the replica reports a rate limit; calls count against
    /// that limit.
    base::Duration rateLimitPause{};
  };

  void tick();
  void advance(const std::string& instance, Change& change);
  /// Starts the changes that the plan requires now.
  void startChanges(const std::string& model, const routing::WeightsTargetList& targets);
  void sendOrder(const std::string& instance, Change& change);
  void onOrderResponse(const std::string& instance, clients::WeightsOrderStatus status);
  void requestReport(const std::string& instance, Change& change);
  void onReport(const std::string& instance, const std::optional<clients::WeightsReport>& report);
  void onDrainReport(const std::string& instance, Change& change,
                     const clients::WeightsReport& report);
  void onLoadReport(const std::string& instance, Change& change,
                    const clients::WeightsReport& report);
  /// Polls the replicas that are still to be changed for their number of requests.
  void surveyOutdated(const std::string& model, base::WeightsVersion newest);
  /// Whether the replica is to load the version as the first one (canary), before its running
  /// requests have ended, because the other replicas wait for it: no replica has loaded the
  /// version, and no other draining replica has fewer running requests.
  bool loadsAsCanary(const Change& change) const;
  /// Whether the replica has not responded recently.
  bool unresponsive(const Change& change) const;
  base::Duration rateLimitPauseOf(const routing::ReplicaRecord& record) const;
  /// The replica responded. If it was unresponsive, its drain starts again.
  void onResponse(const std::string& instance, Change& change);
  /// Whether the replica is ready, belongs to a configured service, and has not terminated.
  bool usable(const routing::ReplicaRecord& record) const;
  /// Whether the change has taken longer than any change that makes progress.
  bool overdue(const Change& change) const;
  /// Number of load slots taken by responsive replicas that were sent an order; those whose running
  /// requests have not ended count in part.
  double slotsInUse() const;
  /// Ends the change of a replica that has terminated.
  void finishTerminated(const std::string& instance, const Change& change);
  /// Abandons the change: the replica continues to serve its present version.
  void abandon(const std::string& instance);
  /// Whether requests may no longer start on the version and may still be waiting at its replicas.
  bool mustFlush(const std::string& model, base::WeightsVersion version) const;
  /// Ends the change of a replica that serves the version and notifies the other nodes.
  void finishServed(const std::string& instance, base::WeightsVersion version);
  void finish(const std::string& instance, std::string_view outcome);
  Change* find(const std::string& instance);

  WeightsRolloutOptions options_;
  WeightsRolloutEnvironment environment_;
  GrantSource grant_;
  RolloutPlan plan_;
  ReplicaSurvey survey_;
  CapacityAccount capacity_;
  VersionWatch versionWatch_;
  std::map<std::string, Change> changes_;
  /// Number of orders that each replica has accepted, as far as this node knows.
  std::map<std::string, std::uint64_t> ordersTaken_;
  /// The latest token that a replica rejected as outdated, and until when no order is sent with it.
  base::FencingToken fencedToken_ = 0;
  base::TimePoint fencedUntil_{};
  /// Moving average of the duration of changes.
  base::Duration changeTime_;
  /// Maximum number of replicas that may load at once now.
  std::size_t loadLimit_ = 1;
  bool running_ = false;
  base::TimerId timer_ = 0;
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

}  // namespace covewing::coordination
