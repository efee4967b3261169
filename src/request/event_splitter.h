/// \file
/// Splits a stream of server-sent events into complete events without changing a byte, and
/// remembers the identifier of the last one.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace covewing::request {

class EventSplitter {
 public:
  /// Maximum size of an event in bytes.
  static constexpr std::size_t kMaximumEventBytes = 1U << 20U;

  /// Appends `bytes` and returns all complete events that were not returned before. The bytes of an
  /// incomplete event are retained.
  std::string feed(std::string_view bytes);
  /// Discards the incomplete event, after its stream broke.
  void discardIncomplete() { pending_.clear(); }
  bool hasIncomplete() const { return !pending_.empty(); }
  /// Whether an event exceeded the maximum size. All further input is ignored then.
  bool failed() const { return failed_; }
  /// Identifier of the last complete event that had one; empty if there was none.
  const std::string& lastEventId() const { return lastEventId_; }

 private:
  /// Length in bytes of the first event in `text`, including the empty line that ends it; 0 if the
  /// event is incomplete.
  static std::size_t firstEventLength(std::string_view text);
  void recordEventId(std::string_view event);

  std::string pending_;
  std::string lastEventId_;
  bool failed_ = false;
};

}  // namespace covewing::request
