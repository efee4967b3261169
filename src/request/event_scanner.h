/// \file
/// Finds the ends of events in a stream of server-sent events (`text/event-stream`, HTML standard,
/// section 9.2.6) in constant memory, however large an event is. A line ends with LF, CR or CRLF;
/// an event ends with an empty line; a line that begins with a colon is a comment and belongs to no
/// event. A byte order mark at the start is skipped.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace covewing::request {

class EventScanner {
 public:
  /// Maximum length in bytes of a line with an event identifier; the identifier of a longer one is
  /// not read.
  static constexpr std::size_t kMaximumIdLineBytes = 1U << 10U;

  /// Reads the next bytes. Returns how many of them, from the first one on, end between two events;
  /// 0 if all of them belong to an event that is not complete.
  std::size_t feed(std::string_view bytes);
  /// Whether the bytes so far end inside an event, so that the stream was broken off if no more
  /// follow.
  bool insideEvent() const;
  /// Number of complete events so far.
  std::uint64_t events() const { return events_; }
  /// Identifier of the last complete event that had one; empty if there was none.
  const std::string& lastEventId() const { return lastEventId_; }
  /// Starts over for the stream of another run. The identifier of the last event is kept.
  void restart();

 private:
  /// Skips what `bytes` begin with of the byte order mark, and returns the number of these bytes.
  std::size_t skipByteOrderMark(std::string_view bytes);
  /// Reads bytes within one line.
  void onLineBytes(std::string_view bytes);
  void onLineEnd();

  std::string lastEventId_;
  /// Identifier that the incomplete event has so far.
  std::string currentId_;
  /// The incomplete line, as far as it can hold an identifier.
  std::string line_;
  std::size_t lineBytes_ = 0;
  std::uint64_t events_ = 0;
  /// Bytes of the byte order mark that were skipped, as long as no other byte was read.
  std::size_t markBytes_ = 0;
  bool atStart_ = true;
  bool eventOpen_ = false;
  /// The last byte was a CR, so that an LF is the second byte of the same line end.
  bool afterCarriageReturn_ = false;
};

}  // namespace covewing::request
