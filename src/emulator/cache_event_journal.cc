#include "emulator/cache_event_journal.h"

#include <algorithm>

namespace covewing::emulator {

bool CacheEventJournal::drawLoss(base::RandomSource& random) {
  if (burstLeft_ > 0) {
    --burstLeft_;
    return true;
  }
  if (options_.lossRate <= 0.0) return false;
  // A burst of B events after G kept ones loses B / (B + G) of them.
  const double burst = options_.lossBurst;
  const double startRate = options_.lossRate / (burst * (1.0 - options_.lossRate));
  if (random.unit() >= startRate) return false;
  burstLeft_ = options_.lossBurst - 1;
  return true;
}

void CacheEventJournal::append(clients::CacheEventKind kind, base::BlockHash block,
                               base::TimePoint now, base::RandomSource& random) {
  entries_.push_back(Entry{block, now, kind, drawLoss(random)});
  if (entries_.size() <= options_.history) return;
  entries_.pop_front();
  ++firstSequence_;
}

void CacheEventJournal::read(std::uint64_t fromSequence, base::TimePoint now,
                             clients::EngineReport& report) const {
  const std::uint64_t end = nextSequence();
  // A number never given belongs to an earlier run of the engine.
  std::uint64_t sequence = fromSequence > end ? 0 : fromSequence;
  sequence = std::max(sequence, firstSequence_);
  const auto at = [&](std::uint64_t number) -> const Entry& {
    return entries_[number - firstSequence_];
  };
  while (sequence < end && at(sequence).lost && published(at(sequence), now)) ++sequence;
  report.firstSequence = sequence;
  while (sequence < end && report.events.size() < options_.reportLimit) {
    const Entry& entry = at(sequence);
    if (entry.lost || !published(entry, now)) break;
    report.events.push_back(clients::CacheEvent{entry.kind, entry.block});
    ++sequence;
  }
  report.nextSequence = sequence;
}

void CacheEventJournal::loseKept() {
  for (Entry& entry : entries_) entry.lost = true;
}

void CacheEventJournal::clear() {
  entries_.clear();
  firstSequence_ = 0;
  burstLeft_ = 0;
}

}  // namespace covewing::emulator
