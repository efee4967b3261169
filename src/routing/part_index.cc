#include "routing/part_index.h"

#include <algorithm>

namespace covewing::routing {

void PartIndex::add(std::uint64_t part, const PartHolder& holder, base::TimePoint now) {
  if (parts_.size() >= options_.maximumParts && !parts_.contains(part)) dropExpired(now);
  if (parts_.size() >= options_.maximumParts && !parts_.contains(part)) return;
  auto& entries = parts_[part];
  std::erase_if(entries, [&](const Entry& entry) { return entry.holder == holder; });
  entries.insert(entries.begin(), {holder, now});
  dropOldest(entries, holder.scope);
}

void PartIndex::dropOldest(std::vector<Entry>& entries, CacheScope scope) const {
  std::size_t kept = 0;
  const auto beyond = std::ranges::find_if(entries, [&](const Entry& entry) {
    return entry.holder.scope == scope && ++kept > options_.maximumHolders;
  });
  if (beyond != entries.end()) entries.erase(beyond);
  if (entries.size() > options_.maximumHoldersOfAllScopes) entries.pop_back();
}

void PartIndex::remove(std::uint64_t part, const PartHolder& holder) {
  const auto known = parts_.find(part);
  if (known == parts_.end()) return;
  std::erase_if(known->second, [&](const Entry& entry) { return entry.holder == holder; });
  if (known->second.empty()) parts_.erase(known);
}

std::vector<PartHolder> PartIndex::holdersOf(std::uint64_t part, CacheScope scope,
                                             base::TimePoint now) const {
  std::vector<PartHolder> holders;
  const auto found = parts_.find(part);
  if (found == parts_.end()) return holders;
  for (const Entry& entry : found->second) {
    const bool known = now - entry.reportedAt <= options_.holderLifetime;
    if (known && entry.holder.scope == scope) holders.push_back(entry.holder);
  }
  return holders;
}

void PartIndex::dropExpired(base::TimePoint now) {
  std::erase_if(parts_, [&](const auto& part) {
    return now - part.second.front().reportedAt > options_.holderLifetime;
  });
}

}  // namespace covewing::routing
