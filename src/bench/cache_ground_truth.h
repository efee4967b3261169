/// \file
/// Records the actual cache contents of engines and their actual reuse, from which the hit rate and
/// the wasted recomputation are computed.
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

/// Totals in tokens over the executions that started during the measured period.
struct ReuseTotals {
  /// Number of executions, not tokens.
  std::uint64_t executions = 0;
  std::uint64_t prompt = 0;
  /// Reused from the engine's own memory.
  std::uint64_t local = 0;
  /// Imported from the store of kept KV cache.
  std::uint64_t imported = 0;
  /// Tokens that a perfect index would have allowed to reuse: the maximum number of leading blocks
  /// of the prompt that any one live engine had cached, or the reused tokens if these are more.
  std::uint64_t reusable = 0;
  /// Computed by prefill.
  std::uint64_t prefilled = 0;
  /// Computed although a live engine had them cached.
  std::uint64_t wasted = 0;
  /// Output tokens that engines generated.
  std::uint64_t generated = 0;

  std::uint64_t reused() const { return local + imported; }
  /// Reused tokens per reusable token; 0 if there are none.
  double hitRate() const;
  /// Wasted tokens per prefilled token; 0 if there are none.
  double wastedRatio() const;
  /// Reused tokens per prompt token; 0 if there are none.
  double reusedShare() const;
};

class CacheGroundTruth final : public emulator::ExecutionObserver {
 public:
  /// Maximum number of engines of a fleet, as each has one bit of a 64-bit mask.
  static constexpr std::size_t kMaximumEngines = 64;

  explicit CacheGroundTruth(std::span<const base::EngineId> engines);

  void setMeasuring(bool measuring) { measuring_ = measuring; }
  const ReuseTotals& totals() const { return totals_; }
  /// Number of accepted executions of the class that have not ended, over all engines.
  std::uint32_t running(base::PriorityClass priority) const {
    return running_.at(static_cast<std::size_t>(priority));
  }
  /// Called for each accepted execution.
  void setOnAccepted(std::function<void(const emulator::ExecutionRecord&)> callback) {
    onAccepted_ = std::move(callback);
  }
  /// Maximum number of leading blocks of the chain that any one engine has cached.
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
  /// Engines that have a block cached. Never iterated where the order matters.
  std::unordered_map<base::BlockHash, EngineMask> holders_;
  std::array<std::uint32_t, base::kPriorityClassCount> running_{};
  std::function<void(const emulator::ExecutionRecord&)> onAccepted_;
  bool measuring_ = false;
  ReuseTotals totals_;
};

}  // namespace covewing::bench
