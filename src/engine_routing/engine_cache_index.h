/// \file
/// Approximate index of one engine's cache, kept by a home node. Its sources are the engine's
/// events, which are delayed and may have gaps; snapshots; and the dispatches that routers
/// announce, whose blocks will be cached before the corresponding events arrive. The index is only
/// a hint: the engine decides which blocks it reuses.
#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "base/time.h"
#include "clients/engine_client.h"
#include "prefix/block_table.h"

namespace covewing::engine_routing {

struct CacheIndexOptions {
  /// Entries that became doubtful because of a gap are dropped after this long without a resync.
  base::Duration doubtfulRetention = std::chrono::seconds(10);
  /// Announced blocks count as cached for this long unless the engine's events confirm them.
  base::Duration announcementRetention = std::chrono::seconds(3);
};

struct CacheMatch {
  /// Number of leading blocks that are estimated to be cached, including announced ones.
  std::uint32_t blocks = 0;
  /// True if the match is based on entries that may be out of date.
  bool doubtful = false;
};

class EngineCacheIndex {
 public:
  explicit EngineCacheIndex(const CacheIndexOptions& options) : options_(options) {}

  /// Applies the events of a report. A sequence number above the expected one indicates a gap: the
  /// existing entries become doubtful and a resync is due. Returns false if there is a gap.
  bool apply(const clients::EngineReport& report, base::TimePoint now);
  /// Replaces all entries with those of a snapshot.
  void resync(const clients::EngineReport& snapshot);
  /// Removes all state, for example after a restart of the engine.
  void clear();

  /// Returns the deepest checkpoint that is estimated to be cached. Engines evict a chain from its
  /// end, so a cached checkpoint implies that all blocks before it are cached.
  CacheMatch match(const prefix::Checkpoints& checkpoints) const;
  /// Records that a prompt was dispatched to the engine and will be in its cache.
  void announce(const prefix::Checkpoints& checkpoints, base::TimePoint now);
  /// Drops expired entries and announcements. To be called several times per second.
  void expire(base::TimePoint now);

  bool resyncDue() const { return resyncDue_; }
  std::size_t entries() const { return blocks_.size(); }
  std::size_t memoryBytes() const { return blocks_.memoryBytes() + announced_.memoryBytes(); }

 private:
  using Mark = prefix::BlockTable::Mark;
  struct Announcement {
    base::TimePoint expiry;
    Mark mark = 0;
  };

  bool isCurrent(Mark mark) const { return mark == generation_; }
  void startGeneration(base::TimePoint now);

  CacheIndexOptions options_;
  /// Cached blocks, each marked with the generation in which it was last confirmed.
  prefix::BlockTable blocks_;
  /// Incremented at each gap. Entries of earlier generations are doubtful.
  Mark generation_ = 0;
  base::TimePoint gapAt_{};
  bool hasDoubtful_ = false;
  bool resyncDue_ = false;
  std::uint64_t nextSequence_ = 0;

  /// Announced checkpoints, each marked with the number of its announcement.
  prefix::BlockTable announced_;
  std::deque<Announcement> announcements_;
  Mark lastAnnouncement_ = 0;
};

}  // namespace covewing::engine_routing
