/// \file
/// The part of a node that is a home of some engines: it keeps their cache index and queue
/// estimates from the reports that the engine directory polls, answers routers' lookups, and asks
/// engines for snapshots, paced, where events were lost.
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
#include "prefix/block_table.h"
#include "routing/cache_messages.h"
#include "routing/engine_cache_index.h"
#include "routing/engine_directory.h"
#include "routing/memory_estimate.h"
#include "routing/queue_estimate.h"

namespace covewing::routing {

struct CacheIndexHomeOptions {
  CacheIndexOptions index;
  QueueEstimateOptions queue;
  /// Wait for memory where a prompt does not fit, in prompt tokens: at least, and for each block
  /// that is missing.
  double memoryWaitTokens = 1000;
  double memoryWaitTokensPerBlock = 1;
  /// Time between two rounds of expiry and resync.
  base::Duration maintenanceInterval = std::chrono::milliseconds(250);
  /// Mean rate of snapshot bytes that this node asks for.
  double resyncBytesPerSecond = 32'768;
  /// A lookup waits this long for the announcement that belongs to it.
  base::Duration lookupRetention = std::chrono::seconds(2);
  /// How long a prefix counts as lately asked for.
  base::Duration recentRequestWindow = std::chrono::seconds(60);
  /// How long an export is believed to be in the store.
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

/// Counts for metrics and measurements.
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

  /// Answers for the engines that this node follows; others are marked as not known.
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
  /// Tokens computed ahead, and the wait for memory in the same unit.
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
  /// Checkpoints of lookups, and of exports, stamped with their time.
  prefix::BlockTable requested_;
  prefix::BlockTable exported_;
  bool resyncOutstanding_ = false;
  base::TimePoint nextResync_{};
  CacheIndexHomeCounters counters_;
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

}  // namespace covewing::routing
