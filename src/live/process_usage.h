/// \file
/// Resource usage of this process, for metrics.
#pragma once

namespace covewing::live {

/// Returns the resident memory of the process in bytes.
double residentBytes();
/// Returns the processor time since the start, user and system together, in seconds.
double processorSeconds();

}  // namespace covewing::live
