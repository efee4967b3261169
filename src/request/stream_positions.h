/// \file
/// Order and completeness of one answer's chunks, across resumes on several engines.
#pragma once

#include <cstdint>

namespace covewing::request {

/// What to do with a chunk.
enum class ChunkVerdict : std::uint8_t {
  /// It is the next one: pass it on.
  kNext,
  /// It was passed on before: drop it.
  kDuplicate,
  /// Chunks before it are missing: the stream is broken and must not be passed on from here.
  kGap,
};

/// Counts the positions of an answer from 0; never lets a gap or a repetition through.
class StreamPositions {
 public:
  /// Judges the chunk at `position` and, where it is the next one, advances.
  ChunkVerdict accept(std::uint64_t position) {
    if (position < next_) return ChunkVerdict::kDuplicate;
    if (position > next_) return ChunkVerdict::kGap;
    ++next_;
    return ChunkVerdict::kNext;
  }

  /// True when an end marker that counts `outputTokens` in the whole answer leaves no chunk
  /// missing.
  bool complete(std::uint64_t outputTokens) const { return outputTokens == next_; }

  /// Position of the next chunk wanted; equally the number of chunks passed on.
  std::uint64_t next() const { return next_; }

 private:
  std::uint64_t next_ = 0;
};

}  // namespace covewing::request
