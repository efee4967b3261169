/// \file
/// A light stand-in of a model engine for large fleets: it answers reports, snapshots and requests
/// as an engine does, but runs no batch. It keeps a cache of blocks with eviction of the least
/// recently used, so that requests cause real cache events; further events are drawn at a steady
/// rate. A request takes a fixed time and is answered by one chunk.
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
  /// The cache is full of blocks that nobody asks for from the start.
  std::uint32_t capacityBlocks = 1024;
  /// Cache events a second besides those of requests; half of them stored, half evicted.
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

  /// What a request finds: leading blocks that were cached. Its other blocks are cached afterwards.
  std::uint32_t admit(const std::vector<base::BlockHash>& chain);
  void onStarted() { ++running_; }
  void onEnded() { --running_; }

  /// Events published since the start.
  std::uint64_t published() const { return nextSequence_; }
  std::size_t cachedBlocks() const { return lastUses_.size(); }

 private:
  struct Use {
    base::BlockHash block;
    std::uint64_t stamp = 0;
  };

  clients::EngineReport reportHeader() const;
  /// Draws the steady events that are due.
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
  /// Last use of each cached block; uses are in order, outdated ones among them.
  std::unordered_map<base::BlockHash, std::uint64_t> lastUses_;
  std::deque<Use> uses_;
  std::uint64_t nextStamp_ = 1;
  std::deque<clients::CacheEvent> journal_;
  std::uint64_t nextSequence_ = 0;
  base::TimePoint generatedUntil_{};
  double dueEvents_ = 0;
  std::uint32_t running_ = 0;
};

}  // namespace covewing::capacity
