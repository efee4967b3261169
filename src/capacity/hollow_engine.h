/// \file
/// A lightweight substitute for a model engine in simulations of large fleets. It serves reports,
/// snapshots and requests like an engine, but does not simulate batching. It maintains an LRU cache
/// of blocks, so that requests cause real cache events; additional events are generated at a steady
/// rate. The response to a request is a single chunk, after a time that depends only on the number
/// of uncached blocks.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/random.h"
#include "clients/engine_client.h"
#include "clients/machine_list_client.h"
#include "sim/network.h"
#include "sim/process.h"

namespace covewing::capacity {

struct HollowEngineOptions {
  std::string name;
  std::string model;
  base::Endpoint endpoint;
  std::string zone;
  std::string region;
  /// Size of the cache in blocks. It is filled at construction with blocks that no request uses.
  std::uint32_t capacityBlocks = 1024;
  /// Cache events per second in addition to those that requests cause; half of them report stored
  /// blocks, half evicted ones.
  double eventsPerSecond = 0;
};

class HollowEngine {
 public:
  HollowEngine(sim::Network& network, HollowEngineOptions options, std::uint64_t seed);
  HollowEngine(const HollowEngine&) = delete;
  HollowEngine& operator=(const HollowEngine&) = delete;

  const HollowEngineOptions& options() const { return options_; }
  sim::HostId host() const { return host_; }
  sim::Process& process() { return process_; }
  clients::Machine machine() const;

  void setEventsPerSecond(double rate);
  clients::EngineReport report(std::uint64_t fromSequence);
  clients::EngineReport snapshot();

  /// Caches all blocks of a request's chain. Returns the number of its leading blocks that were
  /// cached before.
  std::uint32_t admit(const std::vector<base::BlockHash>& chain);
  void onStarted() { ++running_; }
  void onEnded() { --running_; }

  /// Number of cache events published since construction, including those of the initial fill.
  std::uint64_t published() const { return nextSequence_; }
  std::size_t cachedBlocks() const { return lastUses_.size(); }

 private:
  struct Use {
    base::BlockHash block;
    std::uint64_t stamp = 0;
  };

  clients::EngineReport reportHeader() const;
  /// Generates the steady events that are due since the last call.
  void generateDueEvents();
  void store(base::BlockHash block);
  void touch(base::BlockHash block);
  void evictOldest();
  void publish(clients::CacheEventKind kind, base::BlockHash block);

  sim::Scheduler& scheduler_;
  HollowEngineOptions options_;
  sim::Process process_;
  sim::HostId host_;
  base::SeededRandom random_;
  /// Stamp of the last use of each cached block.
  std::unordered_map<base::BlockHash, std::uint64_t> lastUses_;
  /// All uses in order of their stamps. An entry is outdated if `lastUses_` has a later stamp for
  /// its block.
  std::deque<Use> uses_;
  std::uint64_t nextStamp_ = 1;
  std::deque<clients::CacheEvent> journal_;
  std::uint64_t nextSequence_ = 0;
  base::TimePoint generatedUntil_{};
  double dueEvents_ = 0;
  std::uint32_t running_ = 0;
};

}  // namespace covewing::capacity
