/// \file
/// Counts the bytes of a call's responses that are not passed on: the framing of the body, interim
/// responses, and responses to other requests. A faulty server may send such bytes without end.
#pragma once

#include <algorithm>
#include <cstddef>

namespace covewing::live {

class DiscardedBytes {
 public:
  /// Maximum number of bytes that are discarded in one call. A late copy of a large response is
  /// still skipped.
  static constexpr std::size_t kMaximumBytes = 16U << 20U;
  /// Maximum number of framing bytes for each byte of a body: a chunk of one byte has five.
  static constexpr std::size_t kFramingPerByte = 16;
  /// Maximum number of responses that are discarded in one call, however small they are.
  static constexpr std::size_t kMaximumResponses = 256;

  void onParsed(std::size_t bytes) { parsed_ += bytes; }
  void onDelivered(std::size_t bytes) { delivered_ += bytes; }
  void onResponseDiscarded() { ++responses_; }

  /// Whether the server sends so much that is no part of the response that the call is given up.
  bool tooMany() const {
    const auto discarded = parsed_ - std::min(parsed_, delivered_);
    return responses_ > kMaximumResponses ||
           discarded > kMaximumBytes + kFramingPerByte * delivered_;
  }

 private:
  std::size_t parsed_ = 0;
  std::size_t delivered_ = 0;
  std::size_t responses_ = 0;
};

}  // namespace covewing::live
