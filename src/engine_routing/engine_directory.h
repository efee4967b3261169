/// \file
/// This node's view of the engines and application replicas. It combines four sources: the
/// platform's machine list, which lags behind and is only a hint (see
/// routing/machine_list_watch.h); reports polled from the engines of which this node is a home;
/// gossip records that homes publish on changes; and the results of this node's own dispatches.
/// Newer and more direct evidence takes precedence. The recorded incarnation of an engine never
/// decreases.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/event_log.h"
#include "base/random.h"
#include "base/time.h"
#include "clients/engine_client.h"
#include "clients/machine_list_client.h"
#include "engine_routing/engine_homes.h"
#include "engine_routing/engine_record.h"
#include "engine_routing/fleet_view.h"
#include "engine_routing/machine_list_watch.h"
#include "membership/member_directory.h"

namespace covewing::engine_routing {

/// Which engines a node polls. Only baseline policies that need the state of every engine use
/// kAllEngines.
enum class PollScope : std::uint8_t { kHomeEngines, kAllEngines };

struct EngineDirectoryOptions {
  PollScope pollScope = PollScope::kHomeEngines;
  /// Number of homes of each engine. 0 derives it from the number of live nodes
  /// (routing/engine_homes.h).
  std::size_t homesPerEngine = 0;
  /// Mean interval between two polls of one engine's report.
  base::Duration pollInterval = std::chrono::milliseconds(500);
  /// Mean interval between two polls of an engine whose state no source has provided, by a node
  /// that is not one of its homes.
  base::Duration unknownPollInterval = std::chrono::seconds(2);
  /// The first such poll of an engine is delayed by a random time of up to this duration per known
  /// engine. After a start with many engines, the records of the homes therefore arrive first.
  base::Duration unknownPollSpread = std::chrono::milliseconds(5);
  /// Mean interval between two reviews of time-dependent state: marks that expire, homes that move,
  /// and engines that have to be removed.
  base::Duration reviewInterval = std::chrono::milliseconds(500);
  /// Relative jitter of the intervals.
  double jitter = 0.2;
  MachineListWatchOptions machines;
  /// Number of missed polls after which an engine counts as unreachable.
  std::uint32_t missedPollsUntilUnreachable = 2;
  /// A failed dispatch marks the engine unreachable for this long, unless it responds to a poll
  /// earlier. The duration doubles with each further failure, up to the maximum.
  base::Duration initialUnreachableBackOff = std::chrono::seconds(1);
  base::Duration maximumUnreachableBackOff = std::chrono::seconds(8);
  /// An application that refused a request because it is leaving receives no requests for this
  /// long, or until it is removed from the machine list. The mark has to expire, since applications
  /// do not report their restarts.
  base::Duration applicationLeavingTimeout = std::chrono::seconds(30);
  /// An engine that is missing from the machine list is removed after this long without any other
  /// evidence that it is alive.
  base::Duration absenceGracePeriod = std::chrono::seconds(10);
};

/// All references must outlive the directory and are used on its thread.
struct EngineDirectoryEnvironment {
  base::Clock& clock;
  base::TimerService& timers;
  base::RandomSource& random;
  base::EventLog& log;
  clients::MachineListClient& machines;
  clients::EngineClient& engines;
  const membership::MemberDirectory& members;
  membership::RecordDissemination& records;
};

/// Observer of changes in the directory. Called on the node's thread.
class EngineListener {
 public:
  virtual ~EngineListener() = default;
  /// An engine that this node polls has responded. `engine` holds the state after the report was
  /// applied.
  virtual void onReport(const EngineState& engine, const clients::EngineReport& report) = 0;
  /// The engine runs under a new incarnation, so its cache is empty.
  virtual void onRestarted(const EngineState& engine) = 0;
  /// The engine was removed from the directory.
  virtual void onForgotten(base::EngineId engine) = 0;
};

class EngineDirectory final : public FleetView, private MachineObserver {
 public:
  EngineDirectory(EngineDirectoryOptions options, EngineDirectoryEnvironment environment);
  ~EngineDirectory() override;
  EngineDirectory(const EngineDirectory&) = delete;
  EngineDirectory& operator=(const EngineDirectory&) = delete;

  /// Fetches the machine list and starts polling. Must be called once.
  void start();
  /// `listener` must outlive the directory or be removed before it is destroyed.
  void addListener(EngineListener& listener);
  void removeListener(EngineListener& listener);

  const std::vector<EngineState>& engines() const override { return engines_; }
  /// The pointer is valid until control returns to the event loop; null if the engine is not known.
  const EngineState* find(base::EngineId id) const override;
  std::vector<clients::BackEndAddress> applicationReplicas(
      std::string_view application) const override;
  base::WeightsVersion defaultVersion(std::string_view model) const override;

  /// Records that a dispatch could not reach the engine.
  void markUnreachable(base::EngineId id);
  /// Records that the engine or application refused a request because it is leaving.
  void markLeaving(base::EngineId id);
  /// Records the incarnation that the engine reported, for example when it refused a request
  /// because of a mismatched identity.
  void observeIncarnation(base::EngineId id, base::Incarnation incarnation);
  /// Returns the homes of an engine in order of preference; empty if the engine is not known.
  std::vector<base::NodeId> homes(base::EngineId engine) const;
  bool isHomeOf(base::EngineId engine) const;
  /// Whether this node polls the engine's reports, either as one of its homes or because it polls
  /// all engines.
  bool polls(base::EngineId engine) const;

 private:
  struct Tracking {
    /// True if any source has provided the incarnation and the loaded weights.
    bool stateKnown = false;
    bool listed = false;
    bool listedLeaving = false;
    bool reportedLeaving = false;
    /// The engine refused a request because it is leaving. Cleared when a newer incarnation of the
    /// engine is observed.
    bool leavingObserved = false;
    std::optional<base::TimePoint> unreachableUntil;
    std::uint32_t failedDispatches = 0;
    std::uint32_t missedPolls = 0;
    std::optional<base::TimePoint> lastReportAt;
    base::TimePoint lastSeenAt{};
    bool pollOutstanding = false;
    base::TimerId pollTimer = 0;
    std::uint64_t nextSequence = 0;
    std::uint64_t recordVersion = 0;
    /// The record that was last published or received. Used to publish only changes.
    std::optional<EngineRecord> record;
    mutable std::uint64_t homesVersion = 0;
    mutable std::vector<base::NodeId> homes;
  };

  void onMachine(const clients::Machine& machine) override;
  void onMachineRemoved(const clients::Machine& machine) override;
  void onListedEngine(const clients::Machine& machine);
  void scheduleReview();
  void review();
  void forgetAbsentEngines();
  EngineState& addEngine(std::string_view name, const base::Endpoint& endpoint,
                         std::string_view zone, std::string_view region);
  EngineState* findMutable(base::EngineId id);

  base::Duration firstPollDelay(base::EngineId engine);
  void schedulePoll(base::EngineId engine, base::Duration delay);
  void onPollTimer(base::EngineId id);
  void poll(EngineState& engine, Tracking& tracking);
  void onPollReply(base::EngineId id, std::optional<clients::EngineReport> report);
  void onReport(EngineState& engine, Tracking& tracking, const clients::EngineReport& report);
  void onMissedPoll(EngineState& engine, Tracking& tracking);

  void onRecord(const membership::GossipRecord& gossip);
  void publishIfChanged(const EngineState& engine, Tracking& tracking);
  /// Records a newer incarnation. Returns false if `incarnation` is older than the recorded one.
  bool advanceIncarnation(EngineState& engine, Tracking& tracking, base::Incarnation incarnation);
  void refresh(EngineState& engine, Tracking& tracking);
  const std::vector<base::NodeId>& homesOfState(const EngineState& engine) const;
  bool isApplicationLeaving(base::EngineId id) const;

  EngineDirectoryOptions options_;
  EngineDirectoryEnvironment environment_;
  std::vector<EngineListener*> listeners_;
  std::vector<EngineState> engines_;
  std::map<base::EngineId, Tracking> tracking_;
  /// Application replicas by machine name.
  std::map<std::string, clients::Machine> applications_;
  /// For each application replica that reported that it is leaving, the time until which the report
  /// is valid.
  std::map<base::EngineId, base::TimePoint> applicationsLeavingUntil_;
  MachineListWatch machineList_;
  /// Expires with this object. Callbacks that may outlive it hold a weak pointer and do nothing
  /// once it has expired.
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

}  // namespace covewing::engine_routing
