#include "bench/cache_ground_truth.h"

#include <algorithm>
#include <cassert>

#include "prefix/prompt.h"

namespace covewing::bench {

namespace {

double ratio(std::uint64_t numerator, std::uint64_t denominator) {
  return denominator == 0 ? 0 : static_cast<double>(numerator) / static_cast<double>(denominator);
}

}  // namespace

double ReuseTotals::hitRate() const { return ratio(reused(), reusable); }
double ReuseTotals::wastedRatio() const { return ratio(wasted, prefilled); }
double ReuseTotals::reusedShare() const { return ratio(reused(), prompt); }

CacheGroundTruth::CacheGroundTruth(std::span<const base::EngineId> engines) {
  assert(engines.size() <= kMaximumEngines);
  EngineMask mask = 1;
  for (const base::EngineId engine : engines) {
    masks_[engine] = mask;
    mask <<= 1U;
  }
}

CacheGroundTruth::EngineMask CacheGroundTruth::maskOf(base::EngineId engine) const {
  const auto found = masks_.find(engine);
  return found == masks_.end() ? 0 : found->second;
}

std::uint32_t CacheGroundTruth::bestLeadingBlocks(std::span<const base::BlockHash> chain) const {
  EngineMask holders = ~EngineMask{0};
  std::uint32_t blocks = 0;
  for (const base::BlockHash block : chain) {
    const auto found = holders_.find(block);
    holders &= found == holders_.end() ? 0 : found->second;
    if (holders == 0) break;
    ++blocks;
  }
  return blocks;
}

void CacheGroundTruth::onAccepted(const emulator::ExecutionRecord& record) {
  ++running_.at(static_cast<std::size_t>(record.priority));
  if (onAccepted_) onAccepted_(record);
}

void CacheGroundTruth::onStarted(const emulator::ExecutionRecord& record,
                                 const emulator::ExecutionReuse& reuse) {
  if (!measuring_) return;
  const std::uint64_t blockTokens = prefix::kTokensPerBlock;
  const std::uint64_t local = reuse.localBlocks * blockTokens;
  const std::uint64_t imported = reuse.importedBlocks * blockTokens;
  const std::uint64_t best = bestLeadingBlocks(reuse.chain) * blockTokens;
  const std::uint64_t reused = local + imported;
  ++totals_.executions;
  totals_.prompt += record.promptTokens;
  totals_.local += local;
  totals_.imported += imported;
  totals_.reusable += std::max(best, reused);
  totals_.prefilled += record.promptTokens - std::min<std::uint64_t>(reused, record.promptTokens);
  totals_.wasted += best > reused ? best - reused : 0;
}

void CacheGroundTruth::onChunk(const emulator::ExecutionRecord& /*record*/,
                               const clients::StreamChunk& /*chunk*/) {
  if (measuring_) ++totals_.generated;
}

void CacheGroundTruth::onFinished(const emulator::ExecutionRecord& record,
                                  emulator::ExecutionEnd /*end*/) {
  --running_.at(static_cast<std::size_t>(record.priority));
}

void CacheGroundTruth::onBlockStored(base::EngineId engine, base::BlockHash block) {
  holders_[block] |= maskOf(engine);
}

void CacheGroundTruth::onBlockEvicted(base::EngineId engine, base::BlockHash block) {
  const auto found = holders_.find(block);
  if (found == holders_.end()) return;
  found->second &= ~maskOf(engine);
  if (found->second == 0) holders_.erase(found);
}

void CacheGroundTruth::onCacheLost(base::EngineId engine) {
  const EngineMask others = ~maskOf(engine);
  for (auto entry = holders_.begin(); entry != holders_.end();) {
    entry->second &= others;
    entry = entry->second == 0 ? holders_.erase(entry) : std::next(entry);
  }
}

}  // namespace covewing::bench
