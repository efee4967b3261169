/// \file
/// Compact set of block fingerprints, each with a 16-bit mark: open addressing with linear probing
/// in two parallel arrays, 6 bytes a slot, grown by half so that between 53% and 80% of the slots
/// are used.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "prefix/checkpoints.h"

namespace covewing::prefix {

class BlockTable {
 public:
  using Mark = std::uint16_t;

  /// Adds the fingerprint, or replaces its mark.
  void insert(BlockFingerprint fingerprint, Mark mark);
  /// False when it was not there.
  bool erase(BlockFingerprint fingerprint);
  std::optional<Mark> find(BlockFingerprint fingerprint) const;
  /// Drops every entry whose mark satisfies `predicate`.
  template <class Predicate>
  void eraseIf(Predicate predicate);
  /// Drops all entries and their memory.
  void clear();

  std::size_t size() const { return count_; }
  std::size_t memoryBytes() const {
    return fingerprints_.capacity() * sizeof(BlockFingerprint) + marks_.capacity() * sizeof(Mark);
  }

 private:
  std::size_t homeSlot(BlockFingerprint fingerprint) const;
  std::size_t next(std::size_t slot) const {
    return slot + 1 == fingerprints_.size() ? 0 : slot + 1;
  }
  /// The fingerprint's slot, or the free slot where it belongs.
  std::size_t findSlot(BlockFingerprint fingerprint) const;
  void rebuild(std::size_t slots);

  std::vector<BlockFingerprint> fingerprints_;
  std::vector<Mark> marks_;
  std::size_t count_ = 0;
};

template <class Predicate>
void BlockTable::eraseIf(Predicate predicate) {
  std::vector<BlockFingerprint> doomed;
  for (std::size_t slot = 0; slot < fingerprints_.size(); ++slot) {
    if (fingerprints_[slot] != 0 && predicate(marks_[slot])) doomed.push_back(fingerprints_[slot]);
  }
  for (const auto fingerprint : doomed) erase(fingerprint);
}

}  // namespace covewing::prefix
