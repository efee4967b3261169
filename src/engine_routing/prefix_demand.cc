#include "engine_routing/prefix_demand.h"

#include <cmath>

namespace covewing::engine_routing {

namespace {
/// Roots with less remaining work than this, in tokens, are evicted first.
constexpr double kLowDemandTokens = 64;
}  // namespace

double PrefixDemand::decayed(const Entry& entry, base::TimePoint now) const {
  return entry.tokens *
         std::exp(-base::toSeconds(now - entry.at) / base::toSeconds(options_.timeConstant));
}

void PrefixDemand::record(RootKey root, std::uint32_t tokens, base::TimePoint now) {
  if (entries_.size() >= options_.maximumRoots && !entries_.contains(root)) evictLowestDemand(now);
  Entry& entry = entries_[root];
  entry.tokens = decayed(entry, now) + tokens;
  entry.at = now;
}

double PrefixDemand::tokensPerSecond(RootKey root, base::TimePoint now) const {
  const auto found = entries_.find(root);
  if (found == entries_.end()) return 0;
  return decayed(found->second, now) / base::toSeconds(options_.timeConstant);
}

std::size_t PrefixDemand::holderCount(RootKey root, std::size_t wanted, base::TimePoint now) {
  const auto found = entries_.find(root);
  if (found == entries_.end()) return wanted;
  Entry& entry = found->second;
  if (wanted >= entry.holderCount) {
    entry.holderCount = wanted;
    entry.shrunkAt = now;
  } else if (now - entry.shrunkAt >= options_.shrinkInterval) {
    --entry.holderCount;
    entry.shrunkAt = now;
  }
  return entry.holderCount;
}

void PrefixDemand::evictLowestDemand(base::TimePoint now) {
  std::erase_if(entries_,
                [&](const auto& entry) { return decayed(entry.second, now) < kLowDemandTokens; });
  if (entries_.size() < options_.maximumRoots) return;
  auto lowest = entries_.begin();
  for (auto entry = entries_.begin(); entry != entries_.end(); ++entry) {
    if (decayed(entry->second, now) < decayed(lowest->second, now)) lowest = entry;
  }
  entries_.erase(lowest);
}

}  // namespace covewing::engine_routing
