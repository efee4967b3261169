/// \file
/// A fleet of real nodes and hollow engines in one process, under steady load, that measures the
/// nodes' use of network, CPU and memory.
///
/// Memory is the number of bytes allocated for the nodes, including the state of the simulated
/// network and of timers, as the mean over all nodes. Engines, the table and callers are meant
/// to be left out; only the engines' allocations are subtracted.
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

/// Size and load of a fleet. Rates are totals over the whole fleet.
struct FleetSize {
  std::size_t nodes = 28;
  std::size_t engines = 56;
  std::uint32_t blocksPerEngine = 1024;
  /// Cache events that engines publish, including those that requests cause.
  double eventsPerSecond = 0;
  std::size_t tenants = 100;
  double requestsPerSecond = 0;
  /// Calls to an application that must be executed at most once, each with its own idempotency key.
  double claimsPerSecond = 0;
  /// Configuration changes.
  double changesPerSecond = 0;
  std::size_t regions = 2;
  std::size_t zones = 7;
  std::size_t models = 4;
  std::string policy = "prefix_affinity";
  std::uint64_t seed = 1;
};

/// Outcomes of the requests, and the cache reuse of their prompts.
struct RequestOutcome {
  std::uint64_t answered = 0;
  std::uint64_t refused = 0;
  /// Blocks of shared prefixes that at least one engine had computed before the request was
  /// admitted.
  std::uint64_t reusableBlocks = 0;
  /// Those of them that the chosen engine had cached.
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

  /// Starts the nodes and the load.
  void start();
  void runFor(base::Duration duration) { fleet_->runFor(duration); }
  void stopLoad() { loadRunning_ = false; }

  /// Resource use of each node since its start.
  std::vector<Usage> usage();
  /// Bytes per node allocated since before the fleet was built, without those of the engines.
  double memoryPerNode() const;
  /// Number of nodes whose membership view contains all nodes as live.
  std::size_t nodesThatSeeAll();
  /// Number of nodes that are ready to serve.
  std::size_t nodesReady();
  const RequestOutcome& outcome() const { return outcome_; }
  /// Cache events that all engines have published since their construction.
  std::uint64_t publishedEvents() const;
  void resetOutcome() { outcome_ = {}; }

  /// Submits an operator's configuration change at one node and runs the fleet until the change is
  /// in force on all running nodes. Returns the time that this took; empty if it took longer than
  /// `limit`.
  std::optional<base::Duration> timeOfChange(std::size_t node, base::Duration limit);
  /// Crashes a node and runs the fleet until every other running node regards it as dead. Returns
  /// the time that this took; empty if it took longer than `limit`.
  std::optional<base::Duration> timeOfDetection(std::size_t node, base::Duration limit);

  std::string zoneOf(std::size_t index) const;

 private:
  class Caller;
  class ProxiedCaller;

  sim::FleetOptions fleetOptions();
  sim::Location locationOf(std::size_t index) const;
  void addEngines();
  void addTemplates(sim::FleetOptions& options) const;
  /// Template document of a tenant. `rateOffset` is added to its rate limit, so that each change
  /// differs from the previous one.
  std::string tenantDocument(std::size_t tenant, std::uint64_t rateOffset) const;
  /// Calls `send` `perSecond` times a second, at even intervals with jitter, until the load is
  /// stopped.
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
  /// For the last block of each document, the engines that have computed it. Entries stay when the
  /// block is evicted.
  std::unordered_map<base::BlockHash, std::vector<const HollowEngine*>> holders_;
  std::map<std::uint64_t, std::unique_ptr<Caller>> callers_;
  std::map<std::uint64_t, std::unique_ptr<ProxiedCaller>> proxiedCallers_;
  std::vector<std::uint64_t> finished_;
  std::uint64_t nextNumber_ = 1;
  bool loadRunning_ = false;
  RequestOutcome outcome_;
};

/// Returns the number of bytes that the process has allocated and not freed.
double allocatedBytes();

}  // namespace covewing::capacity
