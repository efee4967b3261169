/// \file
/// Counts on how many engines each block is cached, and with it the work that a perfectly informed
/// router could have spared: prompt tokens computed though another live engine had them.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "emulator/execution_observer.h"

namespace covewing::emulator {

/// Totals over all started executions, in prompt tokens of whole blocks.
struct ReuseTotals {
  std::uint64_t executions = 0;
  std::uint64_t promptTokens = 0;
  /// Found in the engine's own memory, or imported.
  std::uint64_t reusedTokens = 0;
  std::uint64_t importedTokens = 0;
  /// Computed though some live engine had the block cached when the computation started.
  std::uint64_t recomputedThoughCachedElsewhere = 0;
};

class CacheCensus final : public ExecutionObserver {
 public:
  void onStarted(const ExecutionRecord& record, const ExecutionReuse& reuse) override;
  void onBlockStored(base::EngineId engine, base::BlockHash block) override;
  void onBlockEvicted(base::EngineId engine, base::BlockHash block) override;
  void onCacheLost(base::EngineId engine) override;

  const ReuseTotals& totals() const { return totals_; }
  void resetTotals() { totals_ = ReuseTotals{}; }
  /// Engines that have the block.
  std::uint32_t holders(base::BlockHash block) const;
  std::size_t distinctBlocks() const { return holders_.size(); }

 private:
  void drop(base::BlockHash block);

  /// Looked up only, never iterated.
  std::unordered_map<base::BlockHash, std::uint32_t> holders_;
  std::unordered_map<base::EngineId, std::unordered_map<base::BlockHash, bool>> byEngine_;
  ReuseTotals totals_;
};

}  // namespace covewing::emulator
