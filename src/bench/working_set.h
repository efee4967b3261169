/// \file
/// Size of what a workload's prompts refer to, against the engines' memory.
#pragma once

#include <cstdint>

#include "bench/workload.h"

namespace covewing::bench {

struct WorkingSet {
  std::uint64_t completions = 0;
  std::uint64_t promptTokens = 0;
  /// Tokens in blocks that at least two prompts of the period contain, each block once.
  std::uint64_t sharedTokens = 0;
  /// Tokens in all blocks, each block once.
  std::uint64_t distinctTokens = 0;
};

/// Over the calls that arrive in [from, until).
WorkingSet measureWorkingSet(const Workload& workload, base::Duration from, base::Duration until);

}  // namespace covewing::bench
