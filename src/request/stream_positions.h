/// \file
/// Checks the order and completeness of the chunks of one response, also when the stream is resumed
/// on other engines.
#pragma once

#include <cstdint>

namespace covewing::request {

/// What to do with a chunk.
enum class ChunkVerdict : std::uint8_t {
  /// The chunk is the next one; it is to be passed on.
  kNext,
  /// The chunk was passed on before; it is to be dropped.
  kDuplicate,
  /// Chunks before this one are missing. The stream is broken and must not be passed on any
  /// further.
  kGap,
};

/// Tracks the positions of the chunks of a response, starting at 0, so that no gap and no duplicate
/// is passed on.
class StreamPositions {
 public:
  /// Classifies the chunk at `position` and advances if it is the next one.
  ChunkVerdict accept(std::uint64_t position) {
    if (position < next_) return ChunkVerdict::kDuplicate;
    if (position > next_) return ChunkVerdict::kGap;
    ++next_;
    return ChunkVerdict::kNext;
  }

  /// Whether no chunk is missing, given an end marker that reports `outputTokens` for the whole
  /// response.
  bool complete(std::uint64_t outputTokens) const { return outputTokens == next_; }

  /// Position of the next expected chunk, which equals the number of chunks passed on.
  std::uint64_t next() const { return next_; }

 private:
  std::uint64_t next_ = 0;
};

}  // namespace covewing::request
