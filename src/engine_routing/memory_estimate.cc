#include "engine_routing/memory_estimate.h"

#include <algorithm>
#include <map>

namespace covewing::engine_routing {

namespace {
/// Memory of a response of typical length, 256 tokens, in blocks.
constexpr std::uint32_t kResponseBlocks = 16;
}  // namespace

PromptFootprint footprintOf(const prefix::Checkpoints& checkpoints, std::uint32_t matchedBlocks) {
  PromptFootprint footprint;
  if (!checkpoints.fingerprints.empty()) {
    // The first checkpoint that all spacings have in common would be deeper than short prompts are.
    // Prompts of different lengths that share a root are therefore counted separately, which
    // overestimates the memory in use.
    footprint.root = checkpoints.fingerprints.front();
  }
  footprint.sharedBlocks = matchedBlocks;
  footprint.ownBlocks = checkpoints.chainLength - matchedBlocks + kResponseBlocks;
  return footprint;
}

void MemoryEstimate::onDispatched(const PromptFootprint& footprint) {
  active_.push_back(footprint);
}

void MemoryEstimate::keepLatest(std::size_t requests) {
  while (active_.size() > requests) active_.pop_front();
}

void MemoryEstimate::clear() { active_.clear(); }

std::uint32_t MemoryEstimate::missingBlocks(const PromptFootprint& footprint) const {
  if (capacity_ == 0) return 0;
  std::map<prefix::BlockFingerprint, std::uint32_t> shared;
  shared[footprint.root] = footprint.sharedBlocks;
  std::uint64_t held = footprint.ownBlocks;
  for (const auto& prompt : active_) {
    held += prompt.ownBlocks;
    auto& deepest = shared[prompt.root];
    deepest = std::max(deepest, prompt.sharedBlocks);
  }
  for (const auto& [root, blocks] : shared) held += blocks;
  return held <= capacity_ ? 0 : static_cast<std::uint32_t>(held - capacity_);
}

}  // namespace covewing::engine_routing
