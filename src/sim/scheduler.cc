#include "sim/scheduler.h"

#include <algorithm>
#include <utility>

namespace covewing::sim {

namespace {
constexpr unsigned kGenerationShift = 32;
constexpr std::uint64_t kSlotMask = 0xffffffffULL;
}  // namespace

bool Scheduler::later(const Entry& left, const Entry& right) {
  if (left.time != right.time) return left.time > right.time;
  return left.sequence > right.sequence;
}

std::uint32_t Scheduler::takeSlot(std::function<void()> action) {
  if (freeSlots_.empty()) {
    slots_.push_back(Slot{std::move(action)});
    return static_cast<std::uint32_t>(slots_.size() - 1);
  }
  const auto slot = freeSlots_.back();
  freeSlots_.pop_back();
  slots_[slot].action = std::move(action);
  return slot;
}

std::function<void()> Scheduler::releaseSlot(std::uint32_t slot) {
  auto action = std::move(slots_[slot].action);
  slots_[slot].action = nullptr;
  ++slots_[slot].generation;
  freeSlots_.push_back(slot);
  return action;
}

EventId Scheduler::at(base::TimePoint time, std::function<void()> action) {
  const auto slot = takeSlot(std::move(action));
  const auto generation = slots_[slot].generation;
  queue_.push_back(Entry{std::max(time, now_), nextSequence_++, slot, generation});
  std::ranges::push_heap(queue_, later);
  return static_cast<EventId>(generation) << kGenerationShift | slot;
}

EventId Scheduler::after(base::Duration delay, std::function<void()> action) {
  return at(now_ + delay, std::move(action));
}

void Scheduler::cancel(EventId event) {
  const auto slot = static_cast<std::uint32_t>(event & kSlotMask);
  const auto generation = static_cast<std::uint32_t>(event >> kGenerationShift);
  if (slot >= slots_.size() || slots_[slot].generation != generation) return;
  // The action is destroyed last: its destructor may come back here.
  const auto action = releaseSlot(slot);
}

void Scheduler::dropCancelled() {
  while (!queue_.empty()) {
    const auto& front = queue_.front();
    if (slots_[front.slot].generation == front.generation) return;
    std::ranges::pop_heap(queue_, later);
    queue_.pop_back();
  }
}

bool Scheduler::step() {
  dropCancelled();
  if (queue_.empty()) return false;
  const auto entry = queue_.front();
  std::ranges::pop_heap(queue_, later);
  queue_.pop_back();
  now_ = entry.time;
  ++executed_;
  const auto action = releaseSlot(entry.slot);
  action();
  return true;
}

void Scheduler::runUntil(base::TimePoint time) {
  for (;;) {
    dropCancelled();
    if (queue_.empty() || queue_.front().time > time) break;
    step();
  }
  now_ = std::max(now_, time);
}

}  // namespace covewing::sim
