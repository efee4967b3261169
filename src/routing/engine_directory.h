/// \file
/// The engines and application replicas as this node knows them, from four sources: the platform's
/// machine list (a lagging hint, see routing/machine_list_watch.h), reports polled from the engines
/// that this node is a home of, gossip records that homes publish on change, and this node's own
/// dispatches. Later and nearer evidence wins; an incarnation never goes back.
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
#include "membership/member_directory.h"
#include "routing/engine_homes.h"
#include "routing/engine_record.h"
#include "routing/fleet_view.h"
#include "routing/machine_list_watch.h"

namespace covewing::routing {

/// Which engines a node polls. Only baselines that need everybody's state use kAllEngines.
enum class PollScope : std::uint8_t { kHomeEngines, kAllEngines };

struct EngineDirectoryOptions {
  PollScope pollScope = PollScope::kHomeEngines;
  /// 0: by the number of live nodes (routing/engine_homes.h).
  std::size_t homesPerEngine = 0;
  /// Mean time between two polls of one engine's report.
  base::Duration pollInterval = std::chrono::milliseconds(500);
  /// Mean time between two polls, by a node that is no home of it, of an engine whose state is
  /// known from nowhere.
  base::Duration unknownPollInterval = std::chrono::seconds(2);
  /// The first of these comes within this time for each engine known, so that after a start the
  /// homes' records come first where there are many engines.
  base::Duration unknownPollSpread = std::chrono::milliseconds(5);
  /// Mean time between two looks at what time changes: notes that lapse, homes that move, engines
  /// that are forgotten.
  base::Duration reviewInterval = std::chrono::milliseconds(500);
  /// Relative spread of the intervals.
  double jitter = 0.2;
  MachineListWatchOptions machines;
  /// Polls without an answer until the engine counts as unreachable.
  std::uint32_t missedPollsUntilUnreachable = 2;
  /// A failed dispatch keeps the engine out for this long unless a poll answers earlier; doubled at
  /// each further failure up to the maximum.
  base::Duration initialUnreachableBackoff = std::chrono::seconds(1);
  base::Duration maximumUnreachableBackoff = std::chrono::seconds(8);
  /// An application that has refused work because it leaves gets none for so long, or until the
  /// list has it no more. Applications do not tell their restarts, so that it cannot hold for good.
  base::Duration applicationLeavingTimeout = std::chrono::seconds(30);
  /// An engine missing from the list is forgotten after this long without any sign of life.
  base::Duration absenceGracePeriod = std::chrono::seconds(10);
};

/// All must outlive the directory and share its thread.
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

/// Observer of what the directory learns. Calls come on the node's thread.
class EngineListener {
 public:
  virtual ~EngineListener() = default;
  /// An engine that this node polls answered; `engine` holds the state after the report.
  virtual void onReport(const EngineState& engine, const clients::EngineReport& report) = 0;
  /// The engine runs under a new incarnation: its cache is empty.
  virtual void onRestarted(const EngineState& engine) = 0;
  /// The engine is no longer in the directory.
  virtual void onForgotten(base::EngineId engine) = 0;
};

class EngineDirectory final : public FleetView, private MachineObserver {
 public:
  EngineDirectory(EngineDirectoryOptions options, EngineDirectoryEnvironment environment);
  ~EngineDirectory() override;
  EngineDirectory(const EngineDirectory&) = delete;
  EngineDirectory& operator=(const EngineDirectory&) = delete;

  /// Fetches the machine list and starts polling; call once.
  void start();
  /// `listener` must outlive the directory or be removed.
  void addListener(EngineListener& listener);
  void removeListener(EngineListener& listener);

  const std::vector<EngineState>& engines() const override { return engines_; }
  /// Valid until control returns to the event loop.
  const EngineState* find(base::EngineId id) const override;
  std::vector<clients::BackEndAddress> applicationReplicas(
      std::string_view application) const override;
  base::WeightsVersion defaultVersion(std::string_view model) const override;

  /// A dispatch found the engine unreachable.
  void markUnreachable(base::EngineId id);
  /// The engine or application refused work because it is leaving.
  void markLeaving(base::EngineId id);
  /// The engine named its incarnation, such as with a refused identity.
  void observeIncarnation(base::EngineId id, base::Incarnation incarnation);
  /// The homes of an engine, best first; empty for an unknown engine.
  std::vector<base::NodeId> homes(base::EngineId engine) const;
  bool isHomeOf(base::EngineId engine) const;
  /// This node polls the engine's reports, as a home or because it polls all.
  bool polls(base::EngineId engine) const;

 private:
  struct Tracking {
    /// Some source has told incarnation and weights.
    bool stateKnown = false;
    bool listed = false;
    bool listedLeaving = false;
    bool reportedLeaving = false;
    /// It has refused work because it leaves: holds until another incarnation of it is known.
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
    /// The record last published or heard, to publish only changes.
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
  /// Takes a newer incarnation over; false when `incarnation` is older than the one known.
  bool advanceIncarnation(EngineState& engine, Tracking& tracking, base::Incarnation incarnation);
  void refresh(EngineState& engine, Tracking& tracking);
  const std::vector<base::NodeId>& homesOfState(const EngineState& engine) const;
  bool isApplicationLeaving(base::EngineId id) const;

  EngineDirectoryOptions options_;
  EngineDirectoryEnvironment environment_;
  std::vector<EngineListener*> listeners_;
  std::vector<EngineState> engines_;
  std::map<base::EngineId, Tracking> tracking_;
  /// By name.
  std::map<std::string, clients::Machine> applications_;
  /// Applications that said that they leave, by identifier.
  std::map<base::EngineId, base::TimePoint> applicationsLeavingUntil_;
  MachineListWatch machineList_;
  /// Outlived by callbacks that must no longer reach this object.
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

}  // namespace covewing::routing
