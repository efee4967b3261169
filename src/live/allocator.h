/// \file
/// Settings of the process's memory allocator (glibc), so that what was freed goes back to the
/// operating system: memory that was once needed for many large requests would otherwise stay with
/// the process.
#pragma once

namespace covewing::live {

/// To be called once, before the event loop runs.
void configureAllocator();
/// Gives the operating system all free pages. Takes milliseconds where there are many.
void releaseFreeMemory();

}  // namespace covewing::live
