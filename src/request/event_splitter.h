/// \file
/// Splits a stream of server-sent events into whole events, without changing a byte, and keeps the
/// identifier of the last one.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace covewing::request {

class EventSplitter {
 public:
  /// Largest event accepted, in bytes.
  static constexpr std::size_t kMaximumEventBytes = 1U << 20U;

  /// Adds bytes and returns those that complete events; an unfinished event is kept back.
  std::string feed(std::string_view bytes);
  /// Drops an unfinished event: its stream broke.
  void discardIncomplete() { pending_.clear(); }
  bool hasIncomplete() const { return !pending_.empty(); }
  /// An event exceeded the limit; nothing more is split.
  bool failed() const { return failed_; }
  /// Identifier of the last whole event that had one; empty when there was none.
  const std::string& lastEventId() const { return lastEventId_; }

 private:
  /// Length of the first whole event in `text`, its empty line included; 0 when it is unfinished.
  static std::size_t firstEventLength(std::string_view text);
  void recordEventId(std::string_view event);

  std::string pending_;
  std::string lastEventId_;
  bool failed_ = false;
};

}  // namespace covewing::request
