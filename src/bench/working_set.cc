#include "bench/working_set.h"

#include <unordered_map>

#include "prefix/block_chain.h"

namespace covewing::bench {

WorkingSet measureWorkingSet(const Workload& workload, base::Duration from, base::Duration until) {
  WorkingSet set;
  std::unordered_map<base::BlockHash, std::uint32_t> uses;
  std::string prompt;
  for (const Arrival& arrival : workload.arrivals) {
    if (!arrival.method.empty() || arrival.at < from || arrival.at >= until) continue;
    ++set.completions;
    set.promptTokens += arrival.promptTokens();
    prompt.clear();
    for (const PromptSegment& segment : arrival.prompt) prompt += *segment;
    clients::CacheIdentity identity;
    identity.tenantSalt = workload.tenants[arrival.tenant].cacheSalt;
    identity.model = workload.model;
    identity.weightsVersion = 1;
    for (const base::BlockHash block : prefix::blockChain(identity, prompt)) ++uses[block];
  }
  for (const auto& [block, count] : uses) {
    set.distinctTokens += prefix::kTokensPerBlock;
    if (count > 1) set.sharedTokens += prefix::kTokensPerBlock;
  }
  return set;
}

}  // namespace covewing::bench
