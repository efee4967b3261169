/// \file
/// What the process itself uses, for metrics.
#pragma once

namespace covewing::live {

/// Resident memory, in bytes.
double residentBytes();
/// Processor time since the start, user and system, in seconds.
double processorSeconds();

}  // namespace covewing::live
