/// \file
/// The body of a replica's response: which part of it may be passed on now, and whether it is
/// complete. This is the only place that decides the latter.
///
/// A body is complete if it ended by its framing: all bytes of its length, the last chunk, or, with
/// neither, the orderly end of its connection; the HTTP client reports any other end as a failure.
/// A stream of events is complete only if, in addition, it does not end inside an event, whatever
/// its framing says, since a replica that ends takes part of an event and its connection along.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "clients/relay_client.h"
#include "request/event_scanner.h"

namespace covewing::request {

class ResponseBody {
 public:
  /// Maximum size in bytes of an event that is retained until it is complete. A larger one is
  /// passed on as it arrives, and a stream that breaks off inside it cannot be continued.
  static constexpr std::size_t kMaximumRetainedBytes = 1U << 20U;

  /// What the route says about its responses.
  enum class Kind : std::uint8_t { kPlain, kStream, kResumableStream };

  /// Where the stream was asked to begin.
  enum class Start : std::uint8_t {
    kFirstEvent,
    /// After an event that the caller named.
    kAfterEvent,
    /// After an event that the caller received in the same answer.
    kWithinAnswer,
  };

  /// The headers of an attempt's response arrived.
  void begin(const clients::RelayedAnswer& head, Kind kind, Start start);
  /// The response broke off, and another attempt follows.
  void discardIncomplete();
  /// Adds bytes of the body and returns what may be passed on now: the bytes themselves or, of a
  /// resumable stream, all events that they complete. Valid until the next call.
  std::string_view take(std::string_view bytes);
  /// Why the body is not complete although it ended by its framing; empty if it is complete.
  std::string_view whyIncomplete() const;

  /// Whether the body is a stream of events.
  bool hasEvents() const { return kind_ != Kind::kPlain; }
  /// Whether a stream of which a part was passed on can be continued by another replica.
  bool canContinue() const { return kind_ == Kind::kResumableStream && !passedPartOfEvent_; }
  /// Whether the bytes so far end inside an event.
  bool insideEvent() const { return hasEvents() && scanner_.insideEvent(); }
  clients::BodyFraming framing() const { return framing_; }
  /// Identifier of the last complete event of all attempts; empty if there was none.
  const std::string& lastEventId() const { return scanner_.lastEventId(); }

 private:
  /// Removes the byte order mark from the first bytes of a continuation, which go into the middle
  /// of the caller's stream.
  void dropByteOrderMark();

  Kind kind_ = Kind::kPlain;
  clients::BodyFraming framing_ = clients::BodyFraming::kLength;
  Start start_ = Start::kFirstEvent;
  bool atStart_ = true;
  bool passedPartOfEvent_ = false;
  EventScanner scanner_;
  /// Bytes of the incomplete event of a resumable stream.
  std::string retained_;
  /// What `take` returned last of a resumable stream.
  std::string ready_;
};

}  // namespace covewing::request
