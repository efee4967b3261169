#include "live/allocator.h"

#include <malloc.h>

namespace covewing::live {

namespace {

/// Blocks of this size in bytes or more are mapped by themselves, and unmapped when they are freed.
/// Set, the threshold no longer rises with the blocks that were freed.
constexpr int kMapThreshold = 128 << 10;
/// Free bytes at the end of the heap beyond which it shrinks.
constexpr int kTrimThreshold = 256 << 10;

}  // namespace

void configureAllocator() {
  mallopt(M_MMAP_THRESHOLD, kMapThreshold);
  mallopt(M_TRIM_THRESHOLD, kTrimThreshold);
}

void releaseFreeMemory() { malloc_trim(0); }

}  // namespace covewing::live
