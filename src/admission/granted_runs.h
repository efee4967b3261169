/// \file
/// Requests that were granted capacity of one replica and are presumed to be running: their urgency
/// levels, and when their capacity becomes free.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/time.h"

namespace covewing::admission {

struct GrantedRun {
  std::uint32_t urgency = 0;
  std::uint32_t tokens = 0;
  base::TimePoint expectedEnd{};
};

/// Capacity in slots and in tokens of memory.
struct FreeCapacity {
  std::int64_t slots = 0;
  std::int64_t tokens = 0;
};

/// Time at which a request finds capacity, and the capacity that is left beside it then.
struct FutureCapacity {
  base::TimePoint at{};
  FreeCapacity spare;
};

class GrantedRuns {
 public:
  void onGrant(const GrantedRun& run);
  /// Keeps as many runs as the replica has slots in use, namely those expected to end last: a run
  /// that takes longer than expected stays counted, and one that ended early is dropped.
  void trim(std::size_t slotsInUse);
  void clear() { runs_.clear(); }
  /// Slots and tokens held by runs of this urgency level.
  FreeCapacity heldBy(std::uint32_t urgency) const;
  /// When `need` will be available if nothing more is granted; `free` is the capacity available
  /// now.
  FutureCapacity whenFree(const FreeCapacity& need, FreeCapacity free, base::TimePoint now) const;

 private:
  /// Sorted by expected end.
  std::vector<GrantedRun> runs_;
};

}  // namespace covewing::admission
