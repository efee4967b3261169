#include "engine_routing/engine_cache_index.h"

#include <limits>

namespace covewing::engine_routing {

using prefix::fingerprintOf;

void EngineCacheIndex::startGeneration(base::TimePoint now) {
  if (generation_ == std::numeric_limits<Mark>::max()) {
    blocks_.clear();
    generation_ = 0;
  }
  ++generation_;
  gapAt_ = now;
  hasDoubtful_ = blocks_.size() > 0;
  resyncDue_ = true;
}

bool EngineCacheIndex::apply(const clients::EngineReport& report, base::TimePoint now) {
  // A first report that does not start at the engine's first event covers only a part of its cache
  // and is therefore treated as a gap.
  const bool gap = report.firstSequence > nextSequence_;
  if (gap) startGeneration(now);
  nextSequence_ = report.nextSequence;
  for (const auto& event : report.events) {
    const auto fingerprint = fingerprintOf(event.block);
    switch (event.kind) {
      case clients::CacheEventKind::kStored:
        blocks_.insert(fingerprint, generation_);
        break;
      case clients::CacheEventKind::kEvicted:
        blocks_.erase(fingerprint);
        break;
      case clients::CacheEventKind::kExported:
        break;
    }
  }
  return !gap;
}

void EngineCacheIndex::resync(const clients::EngineReport& snapshot) {
  blocks_.clear();
  generation_ = 0;
  hasDoubtful_ = false;
  resyncDue_ = false;
  // A snapshot may be newer than the published events. Those events are received again and have no
  // further effect.
  nextSequence_ = snapshot.nextSequence;
  for (const auto& event : snapshot.events) {
    blocks_.insert(fingerprintOf(event.block), generation_);
  }
}

void EngineCacheIndex::clear() {
  blocks_.clear();
  announced_.clear();
  announcements_.clear();
  generation_ = 0;
  hasDoubtful_ = false;
  resyncDue_ = false;
  nextSequence_ = 0;
}

CacheMatch EngineCacheIndex::match(const prefix::Checkpoints& checkpoints) const {
  for (std::size_t index = checkpoints.fingerprints.size(); index-- > 0;) {
    const auto fingerprint = checkpoints.fingerprints[index];
    const std::uint32_t depth = checkpoints.depth(index);
    const auto cached = blocks_.find(fingerprint);
    if (cached && isCurrent(*cached)) return {depth, false};
    if (announced_.find(fingerprint)) return {depth, false};
    if (cached) return {depth, true};
  }
  return {};
}

void EngineCacheIndex::announce(const prefix::Checkpoints& checkpoints, base::TimePoint now) {
  if (checkpoints.fingerprints.empty()) return;
  ++lastAnnouncement_;
  announcements_.push_back({now + options_.announcementRetention, lastAnnouncement_});
  for (const auto fingerprint : checkpoints.fingerprints) {
    announced_.insert(fingerprint, lastAnnouncement_);
  }
}

void EngineCacheIndex::expire(base::TimePoint now) {
  bool expired = false;
  while (!announcements_.empty() && announcements_.front().expiry <= now) {
    announcements_.pop_front();
    expired = true;
  }
  if (announcements_.empty()) {
    announced_.clear();
  } else if (expired) {
    const Mark oldest = announcements_.front().mark;
    const Mark live = static_cast<Mark>(lastAnnouncement_ - oldest);
    announced_.eraseIf(
        [&](Mark mark) { return static_cast<Mark>(lastAnnouncement_ - mark) > live; });
  }
  if (hasDoubtful_ && now - gapAt_ >= options_.doubtfulRetention) {
    blocks_.eraseIf([this](Mark mark) { return !isCurrent(mark); });
    hasDoubtful_ = false;
  }
}

}  // namespace covewing::engine_routing
