/// \file
/// Brings all replicas to the versions of weights that operators named, a few at a time.
///
/// One node does so, the holder of a lease. For each replica in turn: the other nodes are told to
/// route around it -> a short wait, in which the replica is asked how many orders it has taken,
/// where that is not known -> the fenced order -> reports until the version is served -> the other
/// nodes are told. A version that was named meanwhile takes the place of an older one for
/// all replicas that have not been ordered yet. Changes are paced: as few replicas are away at once
/// as let each version be in force in time, so that versions that follow each other quickly share
/// their loads.
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
#include "coordination/lease_manager.h"
#include "routing/replica_directory.h"
#include "routing/weights_targets.h"

namespace covewing::coordination {

struct WeightsRolloutOptions {
  base::Duration interval = std::chrono::milliseconds(50);
  /// From telling the other nodes until the order: they stop sending, and what runs gets on.
  base::Duration lead = std::chrono::milliseconds(300);
  /// From an accepted order until the first report is asked for, and between reports.
  base::Duration firstReport = std::chrono::milliseconds(600);
  base::Duration reportInterval = std::chrono::milliseconds(200);
  /// An order without an answer is given again after this.
  base::Duration repeatOrder = std::chrono::milliseconds(1000);
  /// A replica that is not done after this is left, and taken up again later.
  base::Duration giveUp = std::chrono::seconds(6);
  /// Most of a model's replicas that change at once, as a part of all; at least one may.
  double mostShare = 0.34;
  /// How long a change is taken to last at first, and at most.
  base::Duration firstCycle = std::chrono::milliseconds(1600);
  base::Duration longestCycle = std::chrono::milliseconds(2200);
};

/// Tells all nodes about one replica.
class ReplicaNews {
 public:
  virtual ~ReplicaNews() = default;
  /// The replica is about to load weights: route around it for now.
  virtual void onChanging(const std::string& instance) = 0;
  /// The replica serves the version.
  virtual void onChanged(const std::string& instance, const std::string& model,
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
  ReplicaNews& news;
  /// Name of this node.
  std::string holder;
};

class WeightsRollout {
 public:
  using Grant = std::function<std::optional<LeaseGrant>()>;

  WeightsRollout(WeightsRolloutOptions options, WeightsRolloutEnvironment environment, Grant grant);
  ~WeightsRollout();
  WeightsRollout(const WeightsRollout&) = delete;
  WeightsRollout& operator=(const WeightsRollout&) = delete;

  /// The lease was acquired.
  void start();
  /// The lease was lost or is given up.
  void stop();
  std::size_t underWay() const { return changes_.size(); }

 private:
  enum class Phase : std::uint8_t { kLeading, kOrdering, kLoading };
  struct Change {
    std::string model;
    base::WeightsVersion version = 0;
    Phase phase = Phase::kLeading;
    base::TimePoint startedAt{};
    /// When the next step is due.
    base::TimePoint nextAt{};
    base::TimePoint orderedAt{};
    bool callUnderWay = false;
  };

  void tick();
  void advance(const std::string& instance, Change& change);
  /// Starts as many changes as are needed for each version to be in force in time.
  void begin(const std::string& model, const routing::WeightsTargetList& targets);
  std::size_t changesNeeded(const std::vector<base::WeightsVersion>& served,
                            const routing::WeightsTargetList& targets) const;
  void order(const std::string& instance, Change& change);
  void onOrdered(const std::string& instance, clients::WeightsOrderStatus status);
  void askReport(const std::string& instance, Change& change);
  void onReport(const std::string& instance, const std::optional<clients::WeightsReport>& report);
  void finish(const std::string& instance, std::string_view outcome);
  Change* find(const std::string& instance);

  WeightsRolloutOptions options_;
  WeightsRolloutEnvironment environment_;
  Grant grant_;
  std::map<std::string, Change> changes_;
  /// Orders that each replica has taken, as far as this node knows.
  std::map<std::string, std::uint64_t> ordersTaken_;
  /// How long changes last, averaged over the latest.
  base::Duration cycle_;
  bool running_ = false;
  base::TimerId timer_ = 0;
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

}  // namespace covewing::coordination
