/// \file
/// Sparse view of a block chain for messages between nodes: fingerprints of the blocks at fixed
/// depths. Depths are multiples of a power of two, so that prompts of different length that share a
/// prefix also share checkpoints.
#pragma once

#include <cstdint>
#include <vector>

#include "prefix/block_chain.h"

namespace covewing::prefix {

/// The upper half of a block's hash, never 0. Among n cached blocks a foreign one is taken for one
/// of them with probability n / 2^32; a wrong match costs time, never a wrong answer, because
/// engines check whole prompts.
using BlockFingerprint = std::uint32_t;

constexpr BlockFingerprint fingerprintOf(base::BlockHash block) {
  const auto upper = static_cast<BlockFingerprint>(block.value >> 32U);
  return upper == 0 ? 1 : upper;
}

inline constexpr std::size_t kMaximumCheckpoints = 24;

struct Checkpoints {
  /// Blocks between two checkpoints; a power of two.
  std::uint32_t spacing = 1;
  /// Whole blocks of the prompt.
  std::uint32_t chainLength = 0;
  /// At depths spacing, 2 * spacing, ..., and last at chainLength.
  std::vector<BlockFingerprint> fingerprints;

  /// Leading blocks up to and with checkpoint `index`.
  std::uint32_t depth(std::size_t index) const;
  /// Number of checkpoints at depths up to `blocks`.
  std::size_t countWithin(std::uint32_t blocks) const;
  /// The number of fingerprints that a chain of this length has at this spacing.
  static std::size_t expectedCount(std::uint32_t chainLength, std::uint32_t spacing);
};

/// At most kMaximumCheckpoints of them, as dense as that allows.
Checkpoints checkpointsOf(const BlockChain& chain);

}  // namespace covewing::prefix
