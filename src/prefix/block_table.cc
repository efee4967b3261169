#include "prefix/block_table.h"

#include <algorithm>
#include <utility>

namespace covewing::prefix {

namespace {
constexpr std::size_t kSmallestTable = 16;
// At most 4 of 5 slots are used.
constexpr std::size_t kUsedNumerator = 4;
constexpr std::size_t kUsedDenominator = 5;
constexpr unsigned kFingerprintBits = 32;
}  // namespace

std::size_t BlockTable::homeSlot(BlockFingerprint fingerprint) const {
  return (static_cast<std::uint64_t>(fingerprint) * fingerprints_.size()) >> kFingerprintBits;
}

std::size_t BlockTable::findSlot(BlockFingerprint fingerprint) const {
  std::size_t slot = homeSlot(fingerprint);
  while (fingerprints_[slot] != 0 && fingerprints_[slot] != fingerprint) slot = next(slot);
  return slot;
}

void BlockTable::insert(BlockFingerprint fingerprint, Mark mark) {
  if ((count_ + 1) * kUsedDenominator > fingerprints_.size() * kUsedNumerator) {
    rebuild(std::max(kSmallestTable, fingerprints_.size() + fingerprints_.size() / 2));
  }
  const std::size_t slot = findSlot(fingerprint);
  if (fingerprints_[slot] == 0) ++count_;
  fingerprints_[slot] = fingerprint;
  marks_[slot] = mark;
}

std::optional<BlockTable::Mark> BlockTable::find(BlockFingerprint fingerprint) const {
  if (count_ == 0) return std::nullopt;
  const std::size_t slot = findSlot(fingerprint);
  return fingerprints_[slot] == 0 ? std::nullopt : std::optional(marks_[slot]);
}

bool BlockTable::erase(BlockFingerprint fingerprint) {
  if (count_ == 0) return false;
  std::size_t hole = findSlot(fingerprint);
  if (fingerprints_[hole] == 0) return false;
  const std::size_t slots = fingerprints_.size();
  const auto distance = [slots](std::size_t from, std::size_t to) {
    return to >= from ? to - from : to + slots - from;
  };
  for (std::size_t probe = next(hole); fingerprints_[probe] != 0; probe = next(probe)) {
    // An entry may move back into the hole only where its home slot is not behind the hole.
    if (distance(homeSlot(fingerprints_[probe]), probe) < distance(hole, probe)) continue;
    fingerprints_[hole] = fingerprints_[probe];
    marks_[hole] = marks_[probe];
    hole = probe;
  }
  fingerprints_[hole] = 0;
  --count_;
  return true;
}

void BlockTable::rebuild(std::size_t slots) {
  const auto fingerprints = std::exchange(fingerprints_, std::vector<BlockFingerprint>(slots));
  const auto marks = std::exchange(marks_, std::vector<Mark>(slots));
  for (std::size_t old = 0; old < fingerprints.size(); ++old) {
    if (fingerprints[old] == 0) continue;
    const std::size_t slot = findSlot(fingerprints[old]);
    fingerprints_[slot] = fingerprints[old];
    marks_[slot] = marks[old];
  }
}

void BlockTable::clear() {
  fingerprints_ = {};
  marks_ = {};
  count_ = 0;
}

}  // namespace covewing::prefix
