#include "routing/prefix_demand.h"

#include <cmath>

namespace covewing::routing {

namespace {
/// Roots whose remaining work is below this are forgotten first, in tokens.
constexpr double kColdTokens = 64;
}  // namespace

double PrefixDemand::decayed(const Entry& entry, base::TimePoint now) const {
  return entry.tokens *
         std::exp(-base::toSeconds(now - entry.at) / base::toSeconds(options_.averaging));
}

void PrefixDemand::record(RootKey root, std::uint32_t tokens, base::TimePoint now) {
  if (entries_.size() >= options_.maximumRoots && !entries_.contains(root)) forgetColdest(now);
  Entry& entry = entries_[root];
  entry.tokens = decayed(entry, now) + tokens;
  entry.at = now;
}

double PrefixDemand::tokensPerSecond(RootKey root, base::TimePoint now) const {
  const auto found = entries_.find(root);
  if (found == entries_.end()) return 0;
  return decayed(found->second, now) / base::toSeconds(options_.averaging);
}

std::size_t PrefixDemand::holderCount(RootKey root, std::size_t wanted, base::TimePoint now) {
  const auto found = entries_.find(root);
  if (found == entries_.end()) return wanted;
  Entry& entry = found->second;
  if (wanted >= entry.holderCount) {
    entry.holderCount = wanted;
    entry.narrowedAt = now;
  } else if (now - entry.narrowedAt >= options_.narrowInterval) {
    --entry.holderCount;
    entry.narrowedAt = now;
  }
  return entry.holderCount;
}

void PrefixDemand::forgetColdest(base::TimePoint now) {
  std::erase_if(entries_,
                [&](const auto& entry) { return decayed(entry.second, now) < kColdTokens; });
  if (entries_.size() < options_.maximumRoots) return;
  auto coldest = entries_.begin();
  for (auto entry = entries_.begin(); entry != entries_.end(); ++entry) {
    if (decayed(entry->second, now) < decayed(coldest->second, now)) coldest = entry;
  }
  entries_.erase(coldest);
}

}  // namespace covewing::routing
