/// \file
/// The store of kept KV cache: blocks that engines exported, for import by other engines. Its
/// transfers share one bandwidth and queue behind each other.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "base/time.h"
#include "emulator/block_cache.h"
#include "emulator/execution_observer.h"
#include "emulator/provenance_table.h"

namespace covewing::emulator {

struct KeptCacheStoreOptions {
  std::uint32_t capacityBlocks = 65536;
  /// Start-up time of each transfer.
  base::Duration latency = std::chrono::milliseconds(5);
  /// Transfer time a block: 2 MB (16 tokens of 128 KB) at 10 GB/s.
  base::Duration perBlock{200};
};

class KeptCacheStoreModel {
 public:
  KeptCacheStoreModel(const KeptCacheStoreOptions& options, const base::Clock& clock)
      : options_(options), clock_(clock), cache_(options.capacityBlocks) {}

  /// Stores the blocks that it lacks and returns those; they become the most recently used.
  std::vector<base::BlockHash> store(std::span<const base::BlockHash> blocks,
                                     const BlockProvenance& provenance);
  /// Consecutive blocks held from the start of `blocks`.
  std::uint32_t leadingBlocks(std::span<const base::BlockHash> blocks) const;
  /// Provenance of a held block; empty when it is not held.
  std::optional<BlockProvenance> provenance(base::BlockHash block) const;
  /// Reserves bandwidth for the transfer of `count` blocks and returns when it ends, from now.
  base::Duration transfer(std::uint32_t count);
  /// Time until the transfers reserved so far have ended.
  base::Duration backlog() const;
  void touch(std::span<const base::BlockHash> blocks);

  /// While down, nothing is found and nothing stored.
  void setDown(bool down) { down_ = down; }
  void clear();
  std::uint32_t heldBlocks() const { return cache_.cachedBlocks(); }

 private:
  KeptCacheStoreOptions options_;
  const base::Clock& clock_;
  BlockCache cache_;
  ProvenanceTable provenances_;
  base::TimePoint busyUntil_{};
  bool down_ = false;
};

}  // namespace covewing::emulator
