/// \file
/// Model of one model engine: continuous batching, a prefix cache in limited memory, priorities,
/// resume and cancel, import and export of KV cache, late cache events, lagging load, fenced
/// orders.
///
/// Time passes in steps. A step computes up to a budget of prompt tokens, urgent requests first,
/// and one token of each decoding request; its cost is the sum of both. Requests are never
/// preempted: the memory of a whole request is reserved when it starts.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "clients/engine_client.h"
#include "emulator/block_cache.h"
#include "emulator/cache_event_journal.h"
#include "emulator/engine_options.h"
#include "emulator/execution_observer.h"
#include "emulator/kept_cache_store_model.h"
#include "emulator/order_queue.h"
#include "emulator/provenance_table.h"
#include "emulator/weight_store_model.h"
#include "emulator/weights_memory.h"
#include "prefix/block_chain.h"

namespace covewing::emulator {

/// What engines share; null members are absent. All must outlive the engines.
struct EngineSurroundings {
  WeightStoreModel* weightStore = nullptr;
  KeptCacheStoreModel* keptCacheStore = nullptr;
  ExecutionObserver* observer = nullptr;
};

/// Calls arrive as at the engine's own door: the runtime around it models the network. A paused
/// engine answers when it goes on; one that is down fails every call as unreachable.
class EngineModel {
 public:
  using ReportCallback = std::function<void(std::optional<clients::EngineReport>)>;
  using OrderCallback = std::function<void(clients::OrderReply)>;

  EngineModel(const EngineModelOptions& options, const EngineSurroundings& surroundings,
              const base::Clock& clock, base::TimerService& timers, base::RandomSource& random);
  ~EngineModel();
  EngineModel(const EngineModel&) = delete;
  EngineModel& operator=(const EngineModel&) = delete;

  /// Takes a request. `handler` hears onAccepted or onError, possibly before this returns, and must
  /// live until onEnd, onError or `cancel`. Handlers may call `submit` and `cancel`.
  ExecutionId submit(clients::EngineRequest request, clients::EngineStreamHandler& handler);
  /// Ends the work and silences the handler; an execution that is over is ignored.
  void cancel(ExecutionId id);
  void report(std::uint64_t fromSequence, ReportCallback callback);
  void snapshot(ReportCallback callback);
  void order(clients::EngineOrder order, OrderCallback callback);

  /// Refuses new requests and finishes those accepted.
  void leave();
  /// Every stream breaks with an unknown outcome; cache, queue and orders in progress are gone.
  void crash();
  /// Starts again after a crash, with the next incarnation and an empty cache.
  void restart();
  /// The process stands still until `resume`; calls wait.
  void pause();
  void resume();

  bool isUp() const { return up_; }
  bool isPaused() const { return paused_; }
  bool isLeaving() const { return leaving_; }
  /// No accepted request is left.
  bool isIdle() const { return running_.empty() && waitingCount() == 0; }
  base::EngineId id() const { return id_; }
  const std::string& name() const { return options_.name; }
  base::Incarnation incarnation() const { return incarnation_; }
  const std::vector<clients::LoadedWeights>& weights() const { return weights_.loaded(); }
  /// The load now, without the lag of reports.
  clients::EngineLoad currentLoad() const;
  const BlockCache& cache() const { return cache_; }
  CacheEventJournal& journal() { return journal_; }
  /// Leading blocks of `chain` in memory now.
  std::uint32_t cachedLeadingBlocks(std::span<const base::BlockHash> chain) const;

 private:
  enum class Phase : std::uint8_t { kFree, kWaiting, kImporting, kPrefilling, kDecoding, kOver };
  using Index = std::uint32_t;

  struct Execution {
    ExecutionRecord record;
    clients::EngineStreamHandler* handler = nullptr;
    Phase phase = Phase::kFree;
    /// Takes part in the step under way.
    bool decodesInStep = false;
    std::uint32_t generation = 0;
    std::uint32_t importBlocks = 0;
    std::uint32_t exportBlocks = 0;
    prefix::BlockChain chain;
    /// Slots of the chain's leading blocks, pinned.
    std::vector<BlockCache::Slot> pinned;
    std::uint32_t reservedBlocks = 0;
    std::uint32_t localBlocks = 0;
    std::uint32_t importedBlocks = 0;
    /// Prompt and resumed tokens still to compute, and those of them in the step under way.
    std::uint64_t prefillLeft = 0;
    std::uint32_t prefillInStep = 0;
    base::TimerId importTimer = 0;
    /// Next position and end of the answer.
    std::uint64_t position = 0;
    std::uint64_t length = 0;
    std::uint32_t provenance = 0;
  };

  static constexpr std::size_t kClasses = base::kPriorityClassCount;

  // Intake.
  std::optional<base::Reason> refusal(const clients::EngineRequest& request) const;
  std::optional<base::Reason> identityMismatch(const clients::EngineRequest& request) const;
  void accept(Index index, const clients::EngineRequest& request);
  Index allocate();
  /// The slot and how often it was used before.
  ExecutionId idOf(Index index) const;
  static std::uint32_t blocksFor(std::uint64_t tokens);
  /// Null when the execution is over.
  Execution* find(ExecutionId execution);
  clients::CacheIdentity hashedIdentity(const clients::CacheIdentity& identity) const;
  /// Runs `call` now, or when the engine is no longer paused.
  void whenAwake(std::function<void()> call);

  // Steps.
  void kick();
  void planStep();
  base::Duration stepDuration(std::uint32_t prefillTokens, std::uint32_t decoding) const;
  std::uint32_t grantPrefill(Execution& execution, std::uint32_t budget);
  std::uint32_t planClass(std::size_t priority, std::uint32_t budget, bool& memoryFull);
  bool admit(Execution& execution);
  std::uint32_t importableBlocks(const Execution& execution, std::uint32_t local) const;
  void startImport(Index index);
  void finishImport(Index index);
  void startPrefill(Execution& execution);
  void stepTimerFired();
  void completeStep();
  void advance(Index index);
  void storeComputedBlocks(Execution& execution);
  void exportBlocks(Execution& execution);
  void putOut(Index index);
  void finish(Index index);
  void releaseMemory(Execution& execution);
  void release(Index index, ExecutionEnd end);
  void forgetFinished();

  // Cache.
  void noteStored(base::BlockHash block);
  void noteEvicted();
  std::vector<BlockProvenance> reusedProvenances(const Execution& execution) const;

  // Reports and orders.
  clients::EngineReport basicReport() const;
  std::size_t waitingCount() const;
  void sampleLoad();
  clients::OrderReply takeOrder(const clients::EngineOrder& order);
  std::optional<base::Reason> orderMistake(const clients::EngineOrder& order) const;
  bool fitsInMemory(const clients::LoadedWeights& weights) const;
  void runOrder(const clients::EngineOrder& order);
  void loadWeights(const clients::LoadedWeights& weights, const std::function<void()>& done);
  bool usesWeights(const clients::LoadedWeights& weights) const;
  void finishUnload();
  void stopTimers();

  EngineModelOptions options_;
  EngineSurroundings surroundings_;
  const base::Clock& clock_;
  base::TimerService& timers_;
  base::RandomSource& random_;
  const base::EngineId id_;

  bool up_ = true;
  bool paused_ = false;
  bool leaving_ = false;
  clients::EngineRole role_;
  base::Incarnation incarnation_;
  WeightsMemory weights_;
  /// What orders left loaded; kept by the platform over crashes.
  WeightsMemory deployed_;
  /// Calls and timers that came while the engine was paused.
  std::vector<std::function<void()>> deferred_;

  std::deque<Execution> executions_;
  std::vector<Index> free_;
  std::array<std::deque<Index>, kClasses> waiting_;
  /// In order of start.
  std::vector<Index> running_;
  base::TimerId stepTimer_ = 0;
  bool inStep_ = false;
  /// Grows with each crash, so that work begun before it stops.
  std::uint64_t epoch_ = 0;

  BlockCache cache_;
  ProvenanceTable provenances_;
  CacheEventJournal journal_;
  std::vector<base::BlockHash> evicted_;

  clients::EngineLoad sampledLoad_;
  clients::EngineLoad publishedLoad_;
  base::TimerId sampleTimer_ = 0;

  OrderQueue orders_;
  /// The running order unloads weights that accepted requests still use.
  bool unloading_ = false;
  /// Loads of weights under way that keep the next step from starting.
  std::uint32_t stalls_ = 0;
};

}  // namespace covewing::emulator
