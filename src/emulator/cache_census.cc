#include "emulator/cache_census.h"

#include "prefix/prompt.h"

namespace covewing::emulator {

std::uint32_t CacheCensus::holders(base::BlockHash block) const {
  const auto found = holders_.find(block);
  return found == holders_.end() ? 0 : found->second;
}

void CacheCensus::onStarted(const ExecutionRecord& /*record*/, const ExecutionReuse& reuse) {
  const std::uint32_t reused = reuse.localBlocks + reuse.importedBlocks;
  ++totals_.executions;
  totals_.promptTokens += reuse.chain.size() * prefix::kTokensPerBlock;
  totals_.reusedTokens += reused * prefix::kTokensPerBlock;
  totals_.importedTokens += reuse.importedBlocks * prefix::kTokensPerBlock;
  for (const base::BlockHash block : reuse.chain.subspan(reused)) {
    if (holders(block) > 0) totals_.recomputedThoughCachedElsewhere += prefix::kTokensPerBlock;
  }
}

void CacheCensus::onBlockStored(base::EngineId engine, base::BlockHash block) {
  if (byEngine_[engine].emplace(block, true).second) ++holders_[block];
}

void CacheCensus::drop(base::BlockHash block) {
  const auto found = holders_.find(block);
  if (found == holders_.end()) return;
  if (--found->second == 0) holders_.erase(found);
}

void CacheCensus::onBlockEvicted(base::EngineId engine, base::BlockHash block) {
  if (byEngine_[engine].erase(block) > 0) drop(block);
}

void CacheCensus::onCacheLost(base::EngineId engine) {
  const auto found = byEngine_.find(engine);
  if (found == byEngine_.end()) return;
  // The order does not matter: only counts change.
  for (const auto& [block, present] : found->second) drop(block);
  byEngine_.erase(found);
}

}  // namespace covewing::emulator
