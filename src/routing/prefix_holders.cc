#include "routing/prefix_holders.h"

#include <algorithm>

namespace covewing::routing {

void PrefixHolders::add(base::EngineId replica, CacheScope scope, std::uint64_t part,
                        std::uint32_t tokens) {
  const Key key = base::mixHash(scope, part);
  if (tokens == 0) {
    const auto known = holdings_.find(key);
    if (known == holdings_.end()) return;
    size_ -= std::erase_if(known->second,
                           [replica](const Holding& one) { return one.replica == replica; });
    if (known->second.empty()) holdings_.erase(known);
    return;
  }
  auto& holdings = holdings_[key];
  const auto found = std::ranges::find(holdings, replica, &Holding::replica);
  if (found != holdings.end()) {
    found->tokens = tokens;
    return;
  }
  holdings.push_back({replica, tokens});
  ++size_;
}

void PrefixHolders::addChain(base::EngineId replica, CacheScope scope,
                             const prefix::PartChain& chain) {
  for (std::size_t index = 0; index < chain.sharedParts(); ++index) {
    const auto& part = chain.parts()[index];
    add(replica, scope, part.id, part.tokens);
  }
}

void PrefixHolders::remove(base::EngineId replica) {
  for (auto entry = holdings_.begin(); entry != holdings_.end();) {
    size_ -= std::erase_if(entry->second,
                           [replica](const Holding& one) { return one.replica == replica; });
    entry = entry->second.empty() ? holdings_.erase(entry) : std::next(entry);
  }
}

void PrefixHolders::removePart(CacheScope scope, std::uint64_t part) {
  const auto known = holdings_.find(base::mixHash(scope, part));
  if (known == holdings_.end()) return;
  size_ -= known->second.size();
  holdings_.erase(known);
}

std::uint32_t PrefixHolders::tokensOf(base::EngineId replica, CacheScope scope,
                                      std::uint64_t part) const {
  const auto known = holdings_.find(base::mixHash(scope, part));
  if (known == holdings_.end()) return 0;
  const auto holding = std::ranges::find(known->second, replica, &Holding::replica);
  return holding == known->second.end() ? 0 : holding->tokens;
}

bool PrefixHolders::anyHolds(CacheScope scope, std::uint64_t part) const {
  return holdings_.contains(base::mixHash(scope, part));
}

std::uint32_t PrefixHolders::matchedTokens(base::EngineId replica, CacheScope scope,
                                           const prefix::PartChain& chain) const {
  std::uint32_t matched = 0;
  for (std::size_t index = 0; index < chain.sharedParts(); ++index) {
    const auto& part = chain.parts()[index];
    const auto known = holdings_.find(base::mixHash(scope, part.id));
    if (known == holdings_.end()) break;
    const auto holding = std::ranges::find(known->second, replica, &Holding::replica);
    if (holding == known->second.end()) break;
    matched += std::min(holding->tokens, part.tokens);
    if (holding->tokens < part.tokens) break;
  }
  return matched;
}

}  // namespace covewing::routing
