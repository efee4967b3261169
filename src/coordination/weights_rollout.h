/// \file
/// Brings all replicas to the versions of weights that operators named, a few at a time.
///
/// One node does so, the holder of a lease. For each replica in turn: the other nodes are told to
/// route around it -> it is asked, until it is idle or the time for that is up, how many requests
/// it has and how many orders it has taken -> the fenced order, when not too many load already ->
/// reports until the version is served -> the other nodes are told. A version that was named
/// meanwhile takes the place of an older one for all replicas that have not been ordered yet.
///
/// Which replicas change, and how many at once, is the plan's matter (coordination/rollout_plan.h).
/// A replica that does not answer takes no place among those that are away or load: others go on,
/// and it is taken up again as soon as it answers.
///
/// An order without an answer may still be carried out, also late. It is given again only with the
/// same expected number of orders, so that a replica takes at most one of them.
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
  /// From telling the replica's home until the first report: requests that were granted before
  /// reach the replica within a round trip.
  base::Duration firstReportDelay = std::chrono::milliseconds(60);
  /// From an order until the first report; loads take at least about half a second.
  base::Duration loadReportDelay = std::chrono::milliseconds(350);
  base::Duration reportInterval = std::chrono::milliseconds(100);
  /// Longest pause between calls to a replica with a rate limit: its weights are due at a date.
  base::Duration maximumRateLimitPause = std::chrono::milliseconds(1500);
  /// A replica that is not idle after this is ordered nevertheless; its runs end first.
  base::Duration drainTimeout = std::chrono::milliseconds(1500);
  /// Nothing is ordered with a fencing token for so long after a replica refused it as too old: the
  /// lease has another holder, which this node learns within about a second.
  base::Duration fencedBackoff = std::chrono::milliseconds(1500);
  /// An order without an answer is given again after this.
  base::Duration orderRetryDelay = std::chrono::milliseconds(1000);
  /// A replica that gives no report for so long, or is not done so long after its order, is left,
  /// and taken up again later.
  base::Duration loadTimeout = std::chrono::seconds(5);
  /// A replica that has not answered for so long takes no place any more.
  base::Duration unresponsiveAfter = std::chrono::milliseconds(500);
  /// From one report of such a replica to the next.
  base::Duration unresponsiveInterval = std::chrono::milliseconds(250);
  /// A replica whose reports show the order under way is waited for so long: its runs end first.
  base::Duration busyTimeout = std::chrono::seconds(10);
  /// Part of a place for loads that an ordered replica takes whose runs have not ended.
  double slotShareWhileRunning = 0.5;
  /// This long after requests on an older version became forbidden, every replica that still has
  /// both it and requests that wait is ordered: these are refused as not run instead of beginning
  /// on the older version.
  base::Duration flushAfter = std::chrono::milliseconds(400);
  /// How long a change is taken to last at first, and at most.
  base::Duration initialChangeTime = std::chrono::milliseconds(1800);
  base::Duration maximumChangeTime = std::chrono::milliseconds(4000);
  RolloutPlanOptions plan;
  ReplicaSurveyOptions survey;
};

/// Tells all nodes about one replica.
class ReplicaChangeListener {
 public:
  virtual ~ReplicaChangeListener() = default;
  /// The replica is about to load weights: route around it for now.
  virtual void onReplicaChanging(const std::string& instance) = 0;
  /// The replica serves the version.
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
  /// How many replicas of a service long runs fill; none are kept together without it.
  std::function<std::size_t(const std::string& service)> longRunReplicas;
  /// How many replicas of a service the work under way fills; not known without it.
  std::function<double(const std::string& service)> replicasInUse;
  /// Whether the configuration has the service: an entry of any other names no replica to order.
  /// Every service counts as configured without it.
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
  /// The lease was lost or is given up.
  void stop();
  std::size_t changesInProgress() const { return changes_.size(); }

 private:
  enum class Phase : std::uint8_t { kDraining, kAwaitingSlot, kLoading };
  struct Change {
    std::string model;
    base::WeightsVersion version = 0;
    Phase phase = Phase::kDraining;
    base::TimePoint startedAt{};
    /// When the next step is due.
    base::TimePoint nextAt{};
    base::TimePoint orderedAt{};
    /// The latest answer of the replica, at first the change's start.
    base::TimePoint lastResponseAt{};
    /// The latest report that showed the order under way.
    base::TimePoint lastBusyAt{};
    /// The replica has taken the order.
    bool accepted = false;
    /// Requests that run there, by the latest report.
    std::uint32_t running = 0;
    /// The latest report showed no requests that wait to begin.
    bool noneWaiting = false;
    bool callInFlight = false;
    /// Between calls, where the replica names a rate limit: it takes them within that.
    base::Duration rateLimitPause{};
  };

  void tick();
  void advance(const std::string& instance, Change& change);
  /// Starts the changes that the plan wants now.
  void startChanges(const std::string& model, const routing::WeightsTargetList& targets);
  void sendOrder(const std::string& instance, Change& change);
  void onOrderResponse(const std::string& instance, clients::WeightsOrderStatus status);
  void requestReport(const std::string& instance, Change& change);
  void onReport(const std::string& instance, const std::optional<clients::WeightsReport>& report);
  void onDrainReport(const std::string& instance, Change& change,
                     const clients::WeightsReport& report);
  void onLoadReport(const std::string& instance, Change& change,
                    const clients::WeightsReport& report);
  /// Asks replicas that are still to be changed how many requests they have.
  void surveyOutdated(const std::string& model, base::WeightsVersion newest);
  /// The replica is to be the first that loads the version, before its runs have ended, as the
  /// others wait for it: nobody has loaded it, and no other that drains has fewer runs.
  bool loadsAsCanary(const Change& change) const;
  /// Has not answered lately.
  bool unresponsive(const Change& change) const;
  base::Duration rateLimitPauseOf(const routing::ReplicaRecord& record) const;
  /// The replica answered; one that was silent begins its change anew.
  void onResponse(const std::string& instance, Change& change);
  /// Whether the replica is ready, of a service of the configuration, and has not ended.
  bool usable(const routing::ReplicaRecord& record) const;
  /// Whether the change has taken longer than any does that goes on.
  bool overdue(const Change& change) const;
  /// Replicas that were ordered and answer; those whose runs have not ended count in part.
  double slotsInUse() const;
  /// The replica ended.
  void finishTerminated(const std::string& instance, const Change& change);
  /// Lets the replica serve the version that it has.
  void abandon(const std::string& instance);
  /// The replica's version is forbidden and requests may still wait there.
  bool mustFlush(const std::string& model, base::WeightsVersion version) const;
  /// The replica serves the version: the other nodes are told and the change is over.
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
  /// Orders that each replica has taken, as far as this node knows.
  std::map<std::string, std::uint64_t> ordersTaken_;
  /// The latest token that a replica refused as too old, and until when nothing is ordered with it.
  base::FencingToken fencedToken_ = 0;
  base::TimePoint fencedUntil_{};
  /// How long changes last, averaged over the latest.
  base::Duration changeTime_;
  /// Replicas that may load at once now.
  std::size_t loadLimit_ = 1;
  bool running_ = false;
  base::TimerId timer_ = 0;
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

}  // namespace covewing::coordination
