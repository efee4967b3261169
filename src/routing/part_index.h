/// \file
/// What the home of some parts of prompts knows of them: the replicas and stores that hold each, as
/// they are told by the nodes that send prompts and by the homes of replicas, which watch their
/// caches. Knowledge may be outdated; a fetch in vain costs a millisecond and the reading.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "routing/part_messages.h"

namespace covewing::routing {

struct PartIndexOptions {
  /// Holders kept for each part and scope; the latest. Counted by scope, for a part that all
  /// tenants share is held under as many scopes as there are isolated tenants and versions in use:
  /// with 6 for all of them, half of the lookups of such a part found no holder under their own
  /// (90 replicas, 16 tenants, first 10 s of a shortage).
  std::size_t maximumHolders = 6;
  /// Holders kept for each part under all scopes; the latest.
  std::size_t maximumHoldersOfAllScopes = 96;
  /// A replica that got no prompt with the part for so long is taken to have dropped it, should the
  /// news of that be lost.
  base::Duration holderLifetime = std::chrono::seconds(60);
  /// Parts kept at most.
  std::size_t maximumParts = 100'000;
};

class PartIndex {
 public:
  explicit PartIndex(PartIndexOptions options = {}) : options_(options) {}

  void add(std::uint64_t part, const PartHolder& holder, base::TimePoint now);
  void remove(std::uint64_t part, const PartHolder& holder);
  /// The holders under the scope, the latest first.
  std::vector<PartHolder> holdersOf(std::uint64_t part, CacheScope scope,
                                    base::TimePoint now) const;
  std::size_t size() const { return parts_.size(); }

 private:
  struct Entry {
    PartHolder holder;
    base::TimePoint reportedAt{};
  };

  void dropExpired(base::TimePoint now);
  /// Drops the oldest of the scope, and of all, beyond the bounds.
  void dropOldest(std::vector<Entry>& entries, CacheScope scope) const;

  PartIndexOptions options_;
  /// The latest first.
  std::unordered_map<std::uint64_t, std::vector<Entry>> parts_;
};

}  // namespace covewing::routing
