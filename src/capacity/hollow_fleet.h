/// \file
/// A fleet of real nodes and hollow engines in one process, under steady load, whose nodes' use of
/// network, processor and memory is read off.
///
/// Memory is what the allocator holds for the nodes, the simulated network's and timers' state
/// included, in the mean over all nodes; engines, table and callers are left out.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/random.h"
#include "capacity/hollow_engine.h"
#include "capacity/hollow_engine_client.h"
#include "capacity/usage.h"
#include "sim/fleet.h"

namespace covewing::capacity {

/// Size and load of a fleet. Rates are over the whole fleet.
struct FleetSize {
  std::size_t nodes = 28;
  std::size_t engines = 56;
  std::uint32_t blocksPerEngine = 1024;
  /// Cache events by engines, those that requests cause included.
  double eventsPerSecond = 0;
  std::size_t tenants = 100;
  double requestsPerSecond = 0;
  /// Calls to an application that must run at most once, each under a key of its own.
  double claimsPerSecond = 0;
  double changesPerSecond = 0;
  std::size_t regions = 2;
  std::size_t zones = 7;
  std::size_t models = 4;
  std::string policy = "prefix_affinity";
  std::uint64_t seed = 1;
};

/// Ends of the requests, and what their prompts found cached.
struct RequestOutcome {
  std::uint64_t answered = 0;
  std::uint64_t refused = 0;
  /// Blocks of shared prefixes that some engine held when the request was admitted, and those that
  /// the chosen engine held.
  std::uint64_t reusableBlocks = 0;
  std::uint64_t reusedBlocks = 0;
  std::map<base::ResultCode, std::uint64_t> refusals;
};

class HollowFleet final : private AdmissionObserver {
 public:
  explicit HollowFleet(const FleetSize& size);
  ~HollowFleet() override;
  HollowFleet(const HollowFleet&) = delete;
  HollowFleet& operator=(const HollowFleet&) = delete;

  sim::Fleet& fleet() { return *fleet_; }
  const FleetSize& size() const { return size_; }

  /// Starts nodes and load.
  void start();
  void runFor(base::Duration duration) { fleet_->runFor(duration); }
  void stopLoad() { loadRunning_ = false; }

  /// Use by each node since its start.
  std::vector<Usage> usage();
  /// Allocated bytes a node, since before the fleet was built.
  double memoryPerNode() const;
  /// Nodes that see all other nodes, and that serve.
  std::size_t nodesThatSeeAll();
  std::size_t nodesReady();
  const RequestOutcome& outcome() const { return outcome_; }
  /// Cache events of all engines since the start.
  std::uint64_t publishedEvents() const;
  void resetOutcome() { outcome_ = {}; }

  /// An operator's change at one node, and the time until it is in force on all running nodes;
  /// empty if that takes longer than `limit`. The fleet runs meanwhile.
  std::optional<base::Duration> timeOfChange(std::size_t node, base::Duration limit);
  /// Crashes a node, and runs on until every other running node holds it dead; empty if that takes
  /// longer than `limit`.
  std::optional<base::Duration> timeOfDetection(std::size_t node, base::Duration limit);

  std::string zoneOf(std::size_t index) const;

 private:
  class Caller;
  class ProxiedCaller;

  sim::FleetOptions fleetOptions();
  sim::Location locationOf(std::size_t index) const;
  void addEngines();
  void addTemplates(sim::FleetOptions& options) const;
  std::string tenantDocument(std::size_t tenant, std::uint64_t rateOffset) const;
  /// Runs `send` this often a second, evenly with jitter, as long as there is load.
  void repeat(double perSecond, void (HollowFleet::*send)());
  void sendCompletion();
  void sendProxied();
  void sendChange();
  std::size_t drawNode();
  std::size_t drawTenant();
  std::shared_ptr<const std::string> drawPrompt(std::size_t tenant);
  void onAdmitted(const HollowEngine& engine, const std::vector<base::BlockHash>& chain,
                  std::uint32_t matchedBlocks) override;
  void dropFinishedCallers();

  FleetSize size_;
  double allocatedBefore_ = 0;
  double enginesAllocated_ = 0;
  base::SeededRandom random_;
  std::unique_ptr<sim::Fleet> fleet_;
  std::vector<std::unique_ptr<HollowEngine>> engines_;
  std::unordered_map<sim::HostId, HollowEngine*> engineByHost_;
  /// Last shared block of each document that some engine has computed, and its last engines.
  std::unordered_map<base::BlockHash, std::vector<const HollowEngine*>> holders_;
  std::map<std::uint64_t, std::unique_ptr<Caller>> callers_;
  std::map<std::uint64_t, std::unique_ptr<ProxiedCaller>> proxiedCallers_;
  std::vector<std::uint64_t> finished_;
  std::uint64_t nextNumber_ = 1;
  bool loadRunning_ = false;
  RequestOutcome outcome_;
};

/// Bytes that the process has allocated and not freed.
double allocatedBytes();

}  // namespace covewing::capacity
