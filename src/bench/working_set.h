/// \file
/// Working set of a workload: the number of tokens in the distinct blocks of its prompts, for
/// comparison with the engines' memory.
#pragma once

#include <cstdint>

#include "bench/workload.h"

namespace covewing::bench {

struct WorkingSet {
  std::uint64_t completions = 0;
  /// Tokens of all prompts; repeated blocks count each time.
  std::uint64_t promptTokens = 0;
  /// Tokens in blocks that at least two prompts of the period contain; each block counts once.
  std::uint64_t sharedTokens = 0;
  /// Tokens in all blocks of the prompts; each block counts once.
  std::uint64_t distinctTokens = 0;
};

/// Measures the completions that arrive in [from, until).
WorkingSet measureWorkingSet(const Workload& workload, base::Duration from, base::Duration until);

}  // namespace covewing::bench
