#include "emulator/block_cache.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace covewing::emulator {

namespace {
constexpr std::size_t kFirstTableSize = 64;
/// Marks an entry on the free list, so that `blocks` passes over it.
constexpr std::uint32_t kFreeEntry = std::numeric_limits<std::uint32_t>::max();
}  // namespace

BlockCache::BlockCache(std::uint32_t capacity)
    : capacity_(capacity), table_(kFirstTableSize, kNoSlot) {}

std::size_t BlockCache::bucketOf(base::BlockHash block) const {
  return block.value & (table_.size() - 1);
}

std::size_t BlockCache::findBucket(base::BlockHash block) const {
  std::size_t bucket = bucketOf(block);
  while (table_[bucket] != kNoSlot && entries_[table_[bucket]].block != block) {
    bucket = (bucket + 1) & (table_.size() - 1);
  }
  return bucket;
}

BlockCache::Slot BlockCache::find(base::BlockHash block) const { return table_[findBucket(block)]; }

void BlockCache::growTable() {
  const std::vector<Slot> previous =
      std::exchange(table_, std::vector<Slot>(table_.size() * 2, kNoSlot));
  for (const Slot slot : previous) {
    if (slot != kNoSlot) table_[findBucket(entries_[slot].block)] = slot;
  }
}

void BlockCache::eraseFromTable(base::BlockHash block) {
  const std::size_t mask = table_.size() - 1;
  std::size_t hole = findBucket(block);
  std::size_t probe = hole;
  while (true) {
    probe = (probe + 1) & mask;
    if (table_[probe] == kNoSlot) break;
    const std::size_t home = bucketOf(entries_[table_[probe]].block);
    // An entry may move back into the hole only where its home is not behind the hole.
    if (((probe - home) & mask) < ((probe - hole) & mask)) continue;
    table_[hole] = table_[probe];
    hole = probe;
  }
  table_[hole] = kNoSlot;
}

void BlockCache::linkMostRecent(Slot slot) {
  entries_[slot].previous = newest_;
  entries_[slot].next = kNoSlot;
  if (newest_ != kNoSlot) entries_[newest_].next = slot;
  newest_ = slot;
  if (oldest_ == kNoSlot) oldest_ = slot;
  ++unpinned_;
}

void BlockCache::unlink(Slot slot) {
  const Entry& entry = entries_[slot];
  if (entry.previous != kNoSlot) entries_[entry.previous].next = entry.next;
  if (entry.next != kNoSlot) entries_[entry.next].previous = entry.previous;
  if (oldest_ == slot) oldest_ = entry.next;
  if (newest_ == slot) newest_ = entry.previous;
  --unpinned_;
}

void BlockCache::pin(Slot slot) {
  if (entries_[slot].pins == 0) unlink(slot);
  ++entries_[slot].pins;
}

void BlockCache::unpin(Slot slot) {
  assert(entries_[slot].pins > 0);
  --entries_[slot].pins;
  if (entries_[slot].pins == 0) linkMostRecent(slot);
}

void BlockCache::touch(Slot slot) {
  if (entries_[slot].pins > 0) return;
  unlink(slot);
  linkMostRecent(slot);
}

bool BlockCache::canReserve(std::uint32_t count, std::uint32_t toBePinned) const {
  return count + toBePinned <= freeBlocks() + unpinned_;
}

bool BlockCache::reserve(std::uint32_t count, std::vector<base::BlockHash>& evicted) {
  if (!canReserve(count, 0)) return false;
  while (freeBlocks() < count) evict(oldest_, evicted);
  reserved_ += count;
  return true;
}

void BlockCache::release(std::uint32_t count) {
  assert(count <= reserved_);
  reserved_ -= count;
}

BlockCache::Slot BlockCache::allocate() {
  if (freeHead_ == kNoSlot) {
    entries_.emplace_back();
    return static_cast<Slot>(entries_.size() - 1);
  }
  const Slot slot = freeHead_;
  freeHead_ = entries_[slot].next;
  return slot;
}

BlockCache::Insertion BlockCache::insertReserved(base::BlockHash block, std::uint32_t provenance) {
  assert(reserved_ > 0);
  --reserved_;
  const Slot existing = find(block);
  if (existing != kNoSlot) {
    pin(existing);
    return {existing, false};
  }
  if (2 * (count_ + 1) > table_.size()) growTable();
  const Slot slot = allocate();
  entries_[slot] = Entry{block, kNoSlot, kNoSlot, 1, provenance};
  table_[findBucket(block)] = slot;
  ++count_;
  return {slot, true};
}

void BlockCache::evict(Slot slot, std::vector<base::BlockHash>& evicted) {
  const base::BlockHash block = entries_[slot].block;
  unlink(slot);
  eraseFromTable(block);
  entries_[slot].next = freeHead_;
  entries_[slot].provenance = kFreeEntry;
  freeHead_ = slot;
  --count_;
  evicted.push_back(block);
}

void BlockCache::dropProvenance(std::uint32_t provenance, std::vector<base::BlockHash>& evicted) {
  Slot slot = oldest_;
  while (slot != kNoSlot) {
    const Slot next = entries_[slot].next;
    if (entries_[slot].provenance == provenance) evict(slot, evicted);
    slot = next;
  }
}

void BlockCache::clear() {
  entries_.clear();
  std::fill(table_.begin(), table_.end(), kNoSlot);
  count_ = 0;
  reserved_ = 0;
  unpinned_ = 0;
  freeHead_ = kNoSlot;
  oldest_ = kNoSlot;
  newest_ = kNoSlot;
}

std::vector<base::BlockHash> BlockCache::blocks() const {
  std::vector<base::BlockHash> all;
  all.reserve(count_);
  for (const Entry& entry : entries_) {
    if (entry.provenance != kFreeEntry) all.push_back(entry.block);
  }
  return all;
}

}  // namespace covewing::emulator
