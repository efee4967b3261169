#include "emulator/kept_cache_store_model.h"

#include <algorithm>

namespace covewing::emulator {

std::vector<base::BlockHash> KeptCacheStoreModel::store(std::span<const base::BlockHash> blocks,
                                                        const BlockProvenance& provenance) {
  std::vector<base::BlockHash> stored;
  if (down_) return stored;
  const std::uint32_t index = provenances_.indexOf(provenance);
  std::vector<base::BlockHash> evicted;
  for (const base::BlockHash block : blocks) {
    const BlockCache::Slot held = cache_.find(block);
    if (held != BlockCache::kNoSlot) {
      cache_.touch(held);
      continue;
    }
    if (!cache_.reserve(1, evicted)) break;
    cache_.unpin(cache_.insertReserved(block, index).slot);
    stored.push_back(block);
  }
  return stored;
}

std::uint32_t KeptCacheStoreModel::leadingBlocks(std::span<const base::BlockHash> blocks) const {
  if (down_) return 0;
  std::uint32_t count = 0;
  for (const base::BlockHash block : blocks) {
    if (cache_.find(block) == BlockCache::kNoSlot) break;
    ++count;
  }
  return count;
}

std::optional<BlockProvenance> KeptCacheStoreModel::provenance(base::BlockHash block) const {
  const BlockCache::Slot slot = cache_.find(block);
  if (slot == BlockCache::kNoSlot) return std::nullopt;
  return provenances_.at(cache_.provenance(slot));
}

base::Duration KeptCacheStoreModel::backlog() const {
  return std::max(base::Duration::zero(), busyUntil_ - clock_.now());
}

base::Duration KeptCacheStoreModel::transfer(std::uint32_t count) {
  const base::TimePoint now = clock_.now();
  busyUntil_ = std::max(now, busyUntil_) + options_.perBlock * count;
  return busyUntil_ - now + options_.latency;
}

void KeptCacheStoreModel::touch(std::span<const base::BlockHash> blocks) {
  for (const base::BlockHash block : blocks) {
    const BlockCache::Slot slot = cache_.find(block);
    if (slot != BlockCache::kNoSlot) cache_.touch(slot);
  }
}

void KeptCacheStoreModel::clear() {
  cache_.clear();
  provenances_.clear();
}

}  // namespace covewing::emulator
