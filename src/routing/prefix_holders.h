/// \file
/// Which replicas have which prompt parts cached, as far as this node knows from the requests that
/// it sent and from the replicas' cache events. Entries may be out of date; that costs time but
/// never produces a wrong response, since replicas match the parts themselves.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "prefix/part_chain.h"

namespace covewing::routing {

/// Identifies what the cached state of a part depends on besides the part itself: the weights
/// version, and the partition of the caches (config::RouteTable).
using CacheScope = std::uint64_t;

class PrefixHolders {
 public:
  /// The replica holds this many tokens of the part; 0 removes the entry.
  void add(base::EngineId replica, CacheScope scope, std::uint64_t part, std::uint32_t tokens);
  /// The replica holds all shared parts of the chain.
  void addChain(base::EngineId replica, CacheScope scope, const prefix::PartChain& chain);
  /// Removes all entries of the replica, which has ended or dropped its cache.
  void remove(base::EngineId replica);

  /// Number of leading tokens of the chain's shared parts that the replica holds.
  std::uint32_t matchedTokens(base::EngineId replica, CacheScope scope,
                              const prefix::PartChain& chain) const;
  /// Removes all holders of the part under the scope.
  void removePart(CacheScope scope, std::uint64_t part);
  /// Number of tokens of the part that the replica holds.
  std::uint32_t tokensOf(base::EngineId replica, CacheScope scope, std::uint64_t part) const;
  /// Whether at least one replica is known to hold the part.
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
