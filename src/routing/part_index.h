/// \file
/// Index that a node keeps of the prompt parts it is the home of: the replicas and cache stores
/// that hold each part. Entries come from the nodes that send prompts and from the homes of the
/// replicas, which watch the replicas' caches. They may be out of date; an attempt to fetch a part
/// that is no longer cached costs one millisecond plus the prefill of the part.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "routing/part_messages.h"

namespace covewing::routing {

struct PartIndexOptions {
  /// Maximum number of holders kept for each part and scope; the most recent ones are kept. The
  /// limit applies per scope because a part that all tenants share is held under as many scopes as
  /// there are isolated tenants and weights versions in use: with 6 holders for all scopes
  /// together, half of the lookups of such a part found no holder under their own scope (90
  /// replicas, 16 tenants, first 10 s of a capacity shortage).
  std::size_t maximumHolders = 6;
  /// Maximum number of holders kept for each part over all scopes; the most recent ones are kept.
  std::size_t maximumHoldersOfAllScopes = 96;
  /// A holder expires if no prompt with the part was reported for this long: the replica has then
  /// probably evicted the part, and the message about the eviction may have been lost.
  base::Duration holderLifetime = std::chrono::seconds(60);
  /// Maximum number of parts in the index.
  std::size_t maximumParts = 100'000;
};

class PartIndex {
 public:
  explicit PartIndex(PartIndexOptions options = {}) : options_(options) {}

  void add(std::uint64_t part, const PartHolder& holder, base::TimePoint now);
  void remove(std::uint64_t part, const PartHolder& holder);
  /// Returns the unexpired holders under the scope, most recent first.
  std::vector<PartHolder> holdersOf(std::uint64_t part, CacheScope scope,
                                    base::TimePoint now) const;
  std::size_t size() const { return parts_.size(); }

 private:
  struct Entry {
    PartHolder holder;
    base::TimePoint reportedAt{};
  };

  void dropExpired(base::TimePoint now);
  /// Removes the oldest holder of the scope, and the oldest of all scopes, where the limits are
  /// exceeded.
  void dropOldest(std::vector<Entry>& entries, CacheScope scope) const;

  PartIndexOptions options_;
  /// Holders of each part, most recent first.
  std::unordered_map<std::uint64_t, std::vector<Entry>> parts_;
};

}  // namespace covewing::routing
