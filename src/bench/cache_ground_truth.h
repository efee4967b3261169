/// \file
/// What engines really had cached and really reused, for the hit rate and wasted recomputation.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/priority.h"
#include "base/time.h"
#include "emulator/execution_observer.h"

namespace covewing::bench {

/// Sums over the executions that started while measuring, in tokens.
struct ReuseTotals {
  std::uint64_t executions = 0;
  std::uint64_t prompt = 0;
  /// Found in the engine's own memory.
  std::uint64_t local = 0;
  /// Taken from the store of kept KV cache.
  std::uint64_t imported = 0;
  /// What a perfect index could have had reused: the longest leading run of the prompt's blocks
  /// in any one live engine, or what was reused where that is more.
  std::uint64_t reusable = 0;
  /// Computed.
  std::uint64_t prefilled = 0;
  /// Computed although some live engine had them.
  std::uint64_t wasted = 0;
  /// Put out by engines.
  std::uint64_t generated = 0;

  std::uint64_t reused() const { return local + imported; }
  double hitRate() const;
  double wastedRatio() const;
  double reusedShare() const;
};

class CacheGroundTruth final : public emulator::ExecutionObserver {
 public:
  /// Most engines of a fleet: one bit of a mask each.
  static constexpr std::size_t kMaximumEngines = 64;

  explicit CacheGroundTruth(std::span<const base::EngineId> engines);

  void setMeasuring(bool measuring) { measuring_ = measuring; }
  const ReuseTotals& totals() const { return totals_; }
  /// Accepted executions that are not over, over all engines.
  std::uint32_t running(base::PriorityClass priority) const {
    return running_.at(static_cast<std::size_t>(priority));
  }
  /// Called for each accepted execution.
  void setOnAccepted(std::function<void(const emulator::ExecutionRecord&)> callback) {
    onAccepted_ = std::move(callback);
  }
  /// Leading blocks of the chain in the engine that has most of them.
  std::uint32_t bestLeadingBlocks(std::span<const base::BlockHash> chain) const;

  void onAccepted(const emulator::ExecutionRecord& record) override;
  void onStarted(const emulator::ExecutionRecord& record,
                 const emulator::ExecutionReuse& reuse) override;
  void onChunk(const emulator::ExecutionRecord& record, const clients::StreamChunk& chunk) override;
  void onFinished(const emulator::ExecutionRecord& record, emulator::ExecutionEnd end) override;
  void onBlockStored(base::EngineId engine, base::BlockHash block) override;
  void onBlockEvicted(base::EngineId engine, base::BlockHash block) override;
  void onCacheLost(base::EngineId engine) override;

 private:
  using EngineMask = std::uint64_t;

  EngineMask maskOf(base::EngineId engine) const;

  std::map<base::EngineId, EngineMask> masks_;
  /// Which engines hold a block. Never iterated where order matters.
  std::unordered_map<base::BlockHash, EngineMask> holders_;
  std::array<std::uint32_t, base::kPriorityClassCount> running_{};
  std::function<void(const emulator::ExecutionRecord&)> onAccepted_;
  bool measuring_ = false;
  ReuseTotals totals_;
};

}  // namespace covewing::bench
