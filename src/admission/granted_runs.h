/// \file
/// The requests that were granted room at one replica and are believed to run: by urgency, and when
/// their room falls free.
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

/// Room in slots and tokens of memory.
struct FreeCapacity {
  std::int64_t slots = 0;
  std::int64_t tokens = 0;
};

/// When a request finds room, and what is free beside it then.
struct FutureCapacity {
  base::TimePoint at{};
  FreeCapacity spare;
};

class GrantedRuns {
 public:
  void onGrant(const GrantedRun& run);
  /// As many runs as the replica has taken stay, those that end last: a run that takes longer than
  /// expected stays counted, one that ended early goes.
  void trim(std::size_t slotsInUse);
  void clear() { runs_.clear(); }
  /// Slots and tokens that runs of this urgency hold.
  FreeCapacity heldBy(std::uint32_t urgency) const;
  /// When `need` is free if nothing more is granted; `free` is free now.
  FutureCapacity whenFree(const FreeCapacity& need, FreeCapacity free, base::TimePoint now) const;

 private:
  /// By expected end.
  std::vector<GrantedRun> runs_;
};

}  // namespace covewing::admission
