/// \file
/// Which replicas hold which parts of prompts in their caches, as far as this node knows: from
/// requests that it sent, and from replicas' cache events. Knowledge may be outdated; that costs
/// time and never a wrong answer, since replicas match parts themselves.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "prefix/part_chain.h"

namespace covewing::routing {

/// What a part's cached state depends on besides the part itself: the weights, and the tenant where
/// it shares with nobody.
using CacheScope = std::uint64_t;

class PrefixHolders {
 public:
  /// The replica holds so many tokens of the part; 0: none.
  void add(base::EngineId replica, CacheScope scope, std::uint64_t part, std::uint32_t tokens);
  /// The replica holds all parts of the chain.
  void addChain(base::EngineId replica, CacheScope scope, const prefix::PartChain& chain);
  /// The replica ended, or dropped what it held.
  void remove(base::EngineId replica);

  /// Leading tokens of the chain's shared parts that the replica holds.
  std::uint32_t matchedTokens(base::EngineId replica, CacheScope scope,
                              const prefix::PartChain& chain) const;
  /// Nobody holds the part, as far as is known from now on.
  void removePart(CacheScope scope, std::uint64_t part);
  /// Tokens of the part that the replica holds.
  std::uint32_t tokensOf(base::EngineId replica, CacheScope scope, std::uint64_t part) const;
  /// Whether some replica is known to hold the part.
  bool anyHolds(CacheScope scope, std::uint64_t part) const;
  std::size_t size() const { return size_; }

 private:
  struct Holding {
    base::EngineId replica;
    std::uint32_t tokens = 0;
  };
  using Key = std::uint64_t;

  std::unordered_map<Key, std::vector<Holding>> holdings_;
  std::size_t size_ = 0;
};

}  // namespace covewing::routing
