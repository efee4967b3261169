/// \file
/// What a home node believes to be in one engine's cache: from the engine's events, which come late
/// and with gaps, from snapshots, and from dispatches announced by routers, whose blocks will be
/// there before their events are. It is a hint only; the engine decides what it reuses.
#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "base/time.h"
#include "clients/engine_client.h"
#include "prefix/block_table.h"

namespace covewing::routing {

struct CacheIndexOptions {
  /// Entries that a gap made doubtful are dropped after this long without a resync.
  base::Duration doubtfulRetention = std::chrono::seconds(10);
  /// Announced blocks count as cached for this long unless the engine's events confirm them.
  base::Duration announcementRetention = std::chrono::seconds(3);
};

struct CacheMatch {
  /// Leading blocks believed cached, announced ones included.
  std::uint32_t blocks = 0;
  /// The match rests on entries that may be outdated.
  bool doubtful = false;
};

class EngineCacheIndex {
 public:
  explicit EngineCacheIndex(const CacheIndexOptions& options) : options_(options) {}

  /// Takes events in. A sequence number above the expected one shows a gap: entries become doubtful
  /// and a resync is due. Returns false at a gap.
  bool apply(const clients::EngineReport& report, base::TimePoint now);
  /// Replaces all entries by a snapshot.
  void resync(const clients::EngineReport& snapshot);
  /// Forgets everything, as after a restart of the engine.
  void clear();

  /// The deepest checkpoint believed cached. Engines evict a chain from its end, so a checkpoint
  /// stands for all blocks before it.
  CacheMatch match(const prefix::Checkpoints& checkpoints) const;
  /// A prompt was sent to the engine and will be in its cache.
  void announce(const prefix::Checkpoints& checkpoints, base::TimePoint now);
  /// Drops what has outlived its time; to be called a few times a second.
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
  /// Marked with the generation in which the entry was confirmed.
  prefix::BlockTable blocks_;
  /// Grows with each gap; entries of earlier ones are doubtful.
  Mark generation_ = 0;
  base::TimePoint gapAt_{};
  bool hasDoubtful_ = false;
  bool resyncDue_ = false;
  std::uint64_t nextSequence_ = 0;

  /// Announced checkpoints, marked with the number of their announcement.
  prefix::BlockTable announced_;
  std::deque<Announcement> announcements_;
  Mark lastAnnouncement_ = 0;
};

}  // namespace covewing::routing
