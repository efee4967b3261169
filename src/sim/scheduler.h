/// \file
/// Event queue of a simulated run: virtual time and a strict total order of events.
///
/// Events run in order of their time, and events of one time in the order they were scheduled, so
/// that a run depends on nothing but its inputs. One scheduler, and all that it drives, belongs to
/// one thread.
#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "base/time.h"

namespace covewing::sim {

/// Handle of a scheduled event; 0 is never used.
using EventId = std::uint64_t;

class Scheduler {
 public:
  /// Virtual time; a run starts at zero.
  base::TimePoint now() const { return now_; }

  /// Runs `action` at `time`, or now where `time` has passed. Never runs it from inside this call.
  EventId at(base::TimePoint time, std::function<void()> action);
  EventId after(base::Duration delay, std::function<void()> action);
  /// Forgets the event; a handle that already ran or was cancelled is ignored.
  void cancel(EventId event);

  /// Runs the next event; false when none is left.
  bool step();
  /// Runs all events up to `time`, `time` included, and moves the clock there.
  void runUntil(base::TimePoint time);

  /// Events run so far.
  std::uint64_t executed() const { return executed_; }
  /// Entries of the queue, cancelled ones that were not yet removed included.
  std::size_t pending() const { return queue_.size(); }

 private:
  struct Entry {
    base::TimePoint time;
    std::uint64_t sequence;
    std::uint32_t slot;
    std::uint32_t generation;
  };
  /// Holds an action while its entry is queued; reused under a new generation afterwards.
  struct Slot {
    std::function<void()> action;
    std::uint32_t generation = 1;
  };

  static bool later(const Entry& left, const Entry& right);
  std::uint32_t takeSlot(std::function<void()> action);
  std::function<void()> releaseSlot(std::uint32_t slot);
  /// Removes cancelled entries from the front of the queue.
  void dropCancelled();

  base::TimePoint now_{};
  std::uint64_t nextSequence_ = 0;
  std::uint64_t executed_ = 0;
  std::vector<Entry> queue_;
  std::vector<Slot> slots_;
  std::vector<std::uint32_t> freeSlots_;
};

}  // namespace covewing::sim
