#include "prefix/checkpoints.h"

#include <algorithm>

namespace covewing::prefix {

namespace {
constexpr std::uint32_t kSmallestSpacing = 4;
}

std::size_t Checkpoints::expectedCount(std::uint32_t chainLength, std::uint32_t spacing) {
  return (static_cast<std::size_t>(chainLength) + spacing - 1) / spacing;
}

std::uint32_t Checkpoints::depth(std::size_t index) const {
  const std::size_t blocks = (index + 1) * spacing;
  return static_cast<std::uint32_t>(std::min<std::size_t>(blocks, chainLength));
}

std::size_t Checkpoints::countWithin(std::uint32_t blocks) const {
  if (blocks >= chainLength) return fingerprints.size();
  return std::min<std::size_t>(blocks / spacing, fingerprints.size());
}

Checkpoints checkpointsOf(const BlockChain& chain) {
  Checkpoints checkpoints;
  checkpoints.chainLength = static_cast<std::uint32_t>(chain.size());
  checkpoints.spacing = kSmallestSpacing;
  while (Checkpoints::expectedCount(checkpoints.chainLength, checkpoints.spacing) >
         kMaximumCheckpoints) {
    checkpoints.spacing *= 2;
  }
  const auto count = Checkpoints::expectedCount(checkpoints.chainLength, checkpoints.spacing);
  checkpoints.fingerprints.reserve(count);
  for (std::size_t index = 0; index < count; ++index) {
    checkpoints.fingerprints.push_back(fingerprintOf(chain[checkpoints.depth(index) - 1]));
  }
  return checkpoints;
}

}  // namespace covewing::prefix
