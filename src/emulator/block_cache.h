/// \file
/// Block memory of an engine or of the store of kept KV cache: a limited number of blocks, found by
/// chained hash, evicted least recently used first. Blocks of running requests are pinned; memory
/// for blocks still to be computed is reserved and has no hash.
#pragma once

#include <cstdint>
#include <limits>
#include <vector>

#include "base/ids.h"

namespace covewing::emulator {

class BlockCache {
 public:
  /// Index of a cached block, valid while the block stays cached.
  using Slot = std::uint32_t;
  static constexpr Slot kNoSlot = std::numeric_limits<Slot>::max();

  explicit BlockCache(std::uint32_t capacity);

  /// The block's slot, or kNoSlot.
  Slot find(base::BlockHash block) const;
  /// Keeps the block until as many calls of `unpin`.
  void pin(Slot slot);
  /// After the last unpin the block is the most recently used one.
  void unpin(Slot slot);
  /// Makes an unpinned block the most recently used one.
  void touch(Slot slot);

  /// Whether `reserve(count)` would succeed with `toBePinned` blocks more pinned than now.
  bool canReserve(std::uint32_t count, std::uint32_t toBePinned) const;
  /// Reserves memory for `count` blocks, evicting where needed; evicted blocks are appended to
  /// `evicted`. False, without effect, when the pinned and reserved blocks leave too little.
  bool reserve(std::uint32_t count, std::vector<base::BlockHash>& evicted);
  /// Gives reserved memory back.
  void release(std::uint32_t count);

  struct Insertion {
    Slot slot = kNoSlot;
    /// False when another request had stored the same block before.
    bool isNew = false;
  };
  /// Turns one reserved block into a cached, pinned one.
  Insertion insertReserved(base::BlockHash block, std::uint32_t provenance);

  /// Drops all unpinned blocks of one provenance, appending them to `evicted`.
  void dropProvenance(std::uint32_t provenance, std::vector<base::BlockHash>& evicted);
  void clear();

  bool isPinned(Slot slot) const { return entries_[slot].pins > 0; }
  std::uint32_t provenance(Slot slot) const { return entries_[slot].provenance; }
  std::uint32_t capacity() const { return capacity_; }
  std::uint32_t cachedBlocks() const { return count_; }
  std::uint32_t reservedBlocks() const { return reserved_; }
  /// All cached blocks in a deterministic order.
  std::vector<base::BlockHash> blocks() const;

 private:
  struct Entry {
    base::BlockHash block;
    Slot previous = kNoSlot;
    Slot next = kNoSlot;
    std::uint32_t pins = 0;
    std::uint32_t provenance = 0;
  };

  std::uint32_t freeBlocks() const { return capacity_ - count_ - reserved_; }
  std::size_t bucketOf(base::BlockHash block) const;
  std::size_t findBucket(base::BlockHash block) const;
  void growTable();
  void eraseFromTable(base::BlockHash block);
  void linkMostRecent(Slot slot);
  void unlink(Slot slot);
  void evict(Slot slot, std::vector<base::BlockHash>& evicted);
  Slot allocate();

  std::uint32_t capacity_;
  std::uint32_t count_ = 0;
  std::uint32_t reserved_ = 0;
  std::uint32_t unpinned_ = 0;
  std::vector<Entry> entries_;
  Slot freeHead_ = kNoSlot;
  /// Least and most recently used unpinned blocks.
  Slot oldest_ = kNoSlot;
  Slot newest_ = kNoSlot;
  /// Open addressing with linear probing; at most half full.
  std::vector<Slot> table_;
};

}  // namespace covewing::emulator
