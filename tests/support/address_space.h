/// \file
/// Memory that this process has reserved, for tests that guard against reservations.
#pragma once

#include <cstddef>
#include <fstream>
#include <string>

namespace covewing::test_support {

/// The largest address space that this process has had so far (VmPeak), in kilobytes.
inline std::size_t peakAddressSpaceKilobytes() {
  std::ifstream status("/proc/self/status");
  for (std::string word; status >> word;) {
    std::size_t kilobytes = 0;
    if (word == "VmPeak:" && status >> kilobytes) return kilobytes;
  }
  return 0;
}

}  // namespace covewing::test_support
