/// \file
/// An engine's stream of cache events: published after a delay, kept for a limited number of
/// events, with losses that show as skipped sequence numbers.
#pragma once

#include <cstdint>
#include <deque>

#include "base/random.h"
#include "base/time.h"
#include "clients/engine_client.h"

namespace covewing::emulator {

struct CacheEventOptions {
  /// Time from a change of the cache to its publication.
  base::Duration delay = std::chrono::milliseconds(200);
  /// Fraction of events that are lost, in [0, 1).
  double lossRate = 0.0;
  /// Events lost together.
  std::uint32_t lossBurst = 32;
  /// Published events kept for pollers that fall behind.
  std::size_t history = 8192;
  /// Most events in one report.
  std::size_t reportLimit = 4096;
};

class CacheEventJournal {
 public:
  explicit CacheEventJournal(const CacheEventOptions& options) : options_(options) {}

  void append(clients::CacheEventKind kind, base::BlockHash block, base::TimePoint now,
              base::RandomSource& random);
  /// Fills events and sequence numbers of `report` from `fromSequence` on: the events that are
  /// published at `now`, up to the next loss.
  void read(std::uint64_t fromSequence, base::TimePoint now, clients::EngineReport& report) const;
  /// Loses every event that is kept but was not read.
  void loseKept();
  void clear();

  std::uint64_t nextSequence() const { return firstSequence_ + entries_.size(); }
  CacheEventOptions& options() { return options_; }

 private:
  struct Entry {
    base::BlockHash block;
    base::TimePoint at;
    clients::CacheEventKind kind = clients::CacheEventKind::kStored;
    bool lost = false;
  };

  bool drawLoss(base::RandomSource& random);
  bool published(const Entry& entry, base::TimePoint now) const {
    return entry.at + options_.delay <= now;
  }

  CacheEventOptions options_;
  std::deque<Entry> entries_;
  std::uint64_t firstSequence_ = 0;
  std::uint32_t burstLeft_ = 0;
};

}  // namespace covewing::emulator
