/// \file
/// Numbers the provenances of cached blocks, so that each block carries four bytes.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "emulator/execution_observer.h"

namespace covewing::emulator {

class ProvenanceTable {
 public:
  /// The number of `provenance`, given on first sight.
  std::uint32_t indexOf(const BlockProvenance& provenance);
  const BlockProvenance& at(std::uint32_t index) const { return provenances_[index]; }
  std::uint32_t size() const { return static_cast<std::uint32_t>(provenances_.size()); }
  void clear();

 private:
  std::vector<BlockProvenance> provenances_;
  /// By a hash over all fields; only looked up, never iterated.
  std::unordered_map<std::uint64_t, std::uint32_t> indexByHash_;
};

}  // namespace covewing::emulator
