/// \file
/// Simulated replica for queue tests, with slots, memory and run times, in virtual time.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "admission/admission_queue.h"

namespace covewing::admission {

class VirtualReplica : public ReplicaCapacity {
 public:
  explicit VirtualReplica(std::uint32_t slots = 24, std::uint64_t memory = 87000)
      : slots_(slots), memory_(memory) {}

  bool fits(const QueueEntry& entry, bool /*onTime*/) const override {
    return runs_.size() < slots_ && (memory_ == 0 || memoryInUse() + entry.cost.tokens <= memory_);
  }
  std::uint32_t slots() const override { return slots_; }
  std::uint32_t slotsInUse() const override { return static_cast<std::uint32_t>(runs_.size()); }
  std::uint64_t memory() const override { return memory_; }
  std::uint64_t memoryInUse() const override {
    std::uint64_t tokens = 0;
    for (const Run& run : runs_) tokens += run.tokens;
    return tokens;
  }
  base::Duration meanRunTime() const override { return runTime_; }

  void start(const QueueEntry& entry, base::TimePoint now) {
    runs_.push_back({now + entry.cost.runTime, entry.cost.tokens});
    runTime_ += (entry.cost.runTime - runTime_) / 16;
  }
  void endRuns(base::TimePoint now) {
    std::erase_if(runs_, [now](const Run& run) { return run.end <= now; });
  }
  void setCapacity(std::uint32_t slots, std::uint64_t memory) {
    slots_ = slots;
    memory_ = memory;
  }

 private:
  struct Run {
    base::TimePoint end;
    std::uint32_t tokens = 0;
  };
  std::uint32_t slots_;
  std::uint64_t memory_;
  base::Duration runTime_ = std::chrono::milliseconds(500);
  std::vector<Run> runs_;
};

}  // namespace covewing::admission
