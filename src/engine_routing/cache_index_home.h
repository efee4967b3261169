/// \file
/// The component of a node that acts as the home of some engines. It maintains their cache index
/// and queue estimates from the reports that the engine directory polls, serves the lookups of
/// routers, and requests rate-limited snapshots from engines whose events were lost.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <vector>

#include "base/event_log.h"
#include "base/random.h"
#include "base/time.h"
#include "clients/engine_client.h"
#include "engine_routing/cache_messages.h"
#include "engine_routing/engine_cache_index.h"
#include "engine_routing/engine_directory.h"
#include "engine_routing/memory_estimate.h"
#include "engine_routing/queue_estimate.h"
#include "prefix/block_table.h"

namespace covewing::engine_routing {

struct CacheIndexHomeOptions {
  CacheIndexOptions index;
  QueueEstimateOptions queue;
  /// Expected wait for cache memory if a prompt does not fit, expressed in prompt tokens: a fixed
  /// part, and a part for each missing block.
  double memoryWaitTokens = 1000;
  double memoryWaitTokensPerBlock = 1;
  /// Interval between two maintenance passes, each of which expires entries and starts a resync if
  /// one is due.
  base::Duration maintenanceInterval = std::chrono::milliseconds(250);
  /// Average rate, in bytes per second, of the snapshots that this node requests.
  double resyncBytesPerSecond = 32'768;
  /// How long a lookup is retained for the dispatch notice that belongs to it.
  base::Duration lookupRetention = std::chrono::seconds(2);
  /// How long a prefix counts as recently requested after a lookup.
  base::Duration recentRequestWindow = std::chrono::seconds(60);
  /// How long an exported block is assumed to remain in the external KV cache store.
  base::Duration exportRetention = std::chrono::seconds(60);
};

struct CacheIndexHomeEnvironment {
  base::Clock& clock;
  base::TimerService& timers;
  base::RandomSource& random;
  base::EventLog& log;
  clients::EngineClient& engines;
  EngineDirectory& directory;
};

/// Counters for metrics and measurements.
struct CacheIndexHomeCounters {
  std::uint64_t lookups = 0;
  std::uint64_t gaps = 0;
  std::uint64_t resyncs = 0;
  std::uint64_t resyncBytes = 0;
};

class CacheIndexHome final : public EngineListener {
 public:
  CacheIndexHome(CacheIndexHomeOptions options, CacheIndexHomeEnvironment environment);
  ~CacheIndexHome() override;
  CacheIndexHome(const CacheIndexHome&) = delete;
  CacheIndexHome& operator=(const CacheIndexHome&) = delete;

  void start();

  /// Returns the state of the requested engines. Engines that this node does not track, that are
  /// unreachable, or for which it has no current report, are marked as not known.
  LookupReply handleLookup(base::NodeId requester, const LookupRequest& request);
  void onDispatch(base::NodeId router, const DispatchNotice& notice);

  void onReport(const EngineState& engine, const clients::EngineReport& report) override;
  void onRestarted(const EngineState& engine) override;
  void onForgotten(base::EngineId engine) override;

  const CacheIndexHomeCounters& counters() const { return counters_; }
  std::size_t entries() const;
  std::size_t memoryBytes() const;

 private:
  struct TrackedEngine {
    base::EngineId id;
    std::vector<clients::LoadedWeights> weights;
    EngineCacheIndex index;
    QueueEstimate queue;
    MemoryEstimate memory;
    base::TimePoint reportedAt{};
  };
  struct PendingLookup {
    base::NodeId requester;
    std::uint64_t lookupId = 0;
    base::TimePoint expiry;
    prefix::Checkpoints checkpoints;
  };

  TrackedEngine* find(ShortEngineId engine);
  /// Prompt tokens to be computed before the request, plus the expected wait for memory in the same
  /// unit.
  std::uint32_t tokensAhead(TrackedEngine& tracked, const LookupRequest& request,
                            std::uint32_t matchedBlocks) const;
  LookupEntry entryFor(ShortEngineId engine, const LookupRequest& request);
  void dropOnWeightsChange(TrackedEngine& tracked, const EngineState& engine);
  void recordExports(const clients::EngineReport& report);
  std::uint32_t matchedDepth(const prefix::BlockTable& table,
                             const prefix::Checkpoints& checkpoints,
                             base::Duration retention) const;
  void scheduleMaintenance();
  void maintain();
  void expireTables(base::TimePoint now);
  void startResync();
  void onSnapshot(ShortEngineId engine, const std::optional<clients::EngineReport>& snapshot);
  prefix::BlockTable::Mark stampOf(base::TimePoint time) const;

  CacheIndexHomeOptions options_;
  CacheIndexHomeEnvironment environment_;
  std::map<ShortEngineId, TrackedEngine> trackedEngines_;
  std::deque<PendingLookup> lookups_;
  /// Checkpoints of recent lookups and of exported blocks, each marked with its time.
  prefix::BlockTable requested_;
  prefix::BlockTable exported_;
  bool resyncOutstanding_ = false;
  base::TimePoint nextResync_{};
  CacheIndexHomeCounters counters_;
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

}  // namespace covewing::engine_routing
