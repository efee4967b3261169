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
  /// Holders kept for each part; the latest.
  std::size_t mostHolders = 6;
  /// A replica that got no prompt with the part for so long is taken to have dropped it, should the
  /// news of that be lost.
  base::Duration memory = std::chrono::seconds(60);
  /// Parts kept at most.
  std::size_t mostParts = 100'000;
};

class PartIndex {
 public:
  explicit PartIndex(PartIndexOptions options = {}) : options_(options) {}

  void learn(std::uint64_t part, const PartHolder& holder, base::TimePoint now);
  void forget(std::uint64_t part, const PartHolder& holder);
  /// The latest first.
  std::vector<PartHolder> holdersOf(std::uint64_t part, base::TimePoint now) const;
  std::size_t size() const { return parts_.size(); }

 private:
  struct Entry {
    PartHolder holder;
    base::TimePoint at{};
  };

  void dropForgotten(base::TimePoint now);

  PartIndexOptions options_;
  /// The latest first.
  std::unordered_map<std::uint64_t, std::vector<Entry>> parts_;
};

}  // namespace covewing::routing
