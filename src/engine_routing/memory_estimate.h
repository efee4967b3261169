/// \file
/// Estimate of the cache memory in use by an engine's running and waiting requests. Engines never
/// preempt requests: a request that does not fit into memory waits until others have finished, no
/// matter how little it has to compute, and no report states how much memory is in use. The
/// estimate assumes that the active prompts are the most recently announced ones, as many as the
/// engine has requests. A prefix shared by several prompts counts once.
#pragma once

#include <cstdint>
#include <deque>

#include "prefix/checkpoints.h"

namespace covewing::engine_routing {

/// The properties of a prompt that determine its memory use.
struct PromptFootprint {
  /// Identifies prompts that share a prefix.
  prefix::BlockFingerprint root = 0;
  std::uint32_t sharedBlocks = 0;
  std::uint32_t ownBlocks = 0;
};

/// Returns the footprint of a prompt at an engine that has its `matchedBlocks` leading blocks
/// cached.
PromptFootprint footprintOf(const prefix::Checkpoints& checkpoints, std::uint32_t matchedBlocks);

class MemoryEstimate {
 public:
  void onDispatched(const PromptFootprint& footprint);
  void setCapacity(std::uint32_t blocks) { capacity_ = blocks; }
  /// Removes the oldest prompts in excess of `requests`, the number of requests that the engine
  /// has.
  void keepLatest(std::size_t requests);
  void clear();

  /// Returns the number of blocks by which one more prompt exceeds the capacity; 0 if it fits or
  /// the capacity is not known.
  std::uint32_t missingBlocks(const PromptFootprint& footprint) const;

 private:
  std::uint32_t capacity_ = 0;
  std::deque<PromptFootprint> active_;
};

}  // namespace covewing::engine_routing
