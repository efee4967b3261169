// How a connection of the server ends: deadlines, what is unfinished, making room, and the close.
#include <array>

#include "live/asio_runtime.h"
#include "live/http_connection.h"
#include "live/socket_state.h"

namespace covewing::live {

namespace {

namespace asio = boost::asio;

constexpr base::Duration kLingerTime = std::chrono::seconds(2);
/// By this much a connection is kept longer than announced: requests that are sent at the end of
/// the announced time arrive later, and the peer counts it from when it has read the response.
constexpr base::Duration kIdleMargin = std::chrono::milliseconds(400);
/// Bytes that are discarded at a time.
constexpr std::size_t kDiscardBytes = 4096;

}  // namespace

std::chrono::seconds Connection::announceIdleTime() {
  const auto usable = owner_.limits().idleTimeout - kIdleMargin;
  announcedIdleTime_ = std::max(std::chrono::duration_cast<std::chrono::seconds>(usable),
                                std::chrono::seconds::zero());
  return announcedIdleTime_;
}

base::Duration Connection::idleTime() const {
  return std::max<base::Duration>(owner_.limits().idleTimeout, announcedIdleTime_ + kIdleMargin);
}

void Connection::resetOnClose() { setResetOnClose(true); }

void Connection::setResetOnClose(bool enabled) {
  if (state_ == State::kClosed || resetOnClose_ == enabled) return;
  resetOnClose_ = enabled;
  boost::system::error_code error;
  socket_.set_option(asio::socket_base::linger(enabled, /*timeout=*/0), error);
}

std::string_view toString(UnfinishedWork work) {
  switch (work) {
    case UnfinishedWork::kNone:
      return "nothing";
    case UnfinishedWork::kUnsent:
      return "a response is not sent whole";
    case UnfinishedWork::kServed:
      return "a request is being served";
    case UnfinishedWork::kUnacknowledged:
      return "a response is not acknowledged";
    case UnfinishedWork::kRefusedArrives:
      return "the peer still sends a refused request";
    case UnfinishedWork::kArrives:
      return "a request arrives";
  }
  return "nothing";
}

UnfinishedWork Connection::unfinishedWork() const {
  if (state_ == State::kClosed) return UnfinishedWork::kNone;
  if (bufferedBytes() > 0) return UnfinishedWork::kUnsent;
  if (state_ == State::kResponding) return UnfinishedWork::kServed;
  if (unacknowledgedBytes(socket_).value_or(0) > 0) return UnfinishedWork::kUnacknowledged;
  if (state_ == State::kLingering) {
    const bool stillSends = lingeredBytes_ > 0 && !peerHasClosed(socket_);
    return stillSends ? UnfinishedWork::kRefusedArrives : UnfinishedWork::kNone;
  }
  const bool arrives = parser_->got_some() || buffer_.size() > 0 || unreadBytes(socket_) > 0;
  return arrives ? UnfinishedWork::kArrives : UnfinishedWork::kNone;
}

bool Connection::cutByExit() const {
  const auto work = unfinishedWork();
  return work != UnfinishedWork::kNone && work != UnfinishedWork::kUnacknowledged;
}

void Connection::linger() {
  setResetOnClose(false);
  boost::system::error_code error;
  socket_.shutdown(Socket::shutdown_send, error);
  if (error || peerHasClosed(socket_)) {
    close();
    return;
  }
  state_ = State::kLingering;
  idleSince_ = AsioClock{}.now();
  unacknowledged_ = unacknowledgedBytes(socket_).value_or(0);
  acknowledgedAt_ = idleSince_;
  buffer_.consume(buffer_.size());
  buffer_.releaseUnused();
  setDeadline(kLingerTime);
  // As though held since ever: what is left to receive is of no use, so it goes first.
  beginIncoming({});
  read();
  enterReceived();
}

bool Connection::peerConnected() const {
  return state_ != State::kClosed && !peerHasClosed(socket_);
}

std::optional<base::TimePoint> Connection::idleSince() const {
  if (state_ == State::kLingering) return idleSince_;
  const bool between = state_ == State::kReading && !parser_->got_some();
  if (!between || closingIdle_ || bufferedBytes() > 0 || buffer_.size() > 0) return std::nullopt;
  return idleSince_;
}

std::optional<Connection::Transfer> Connection::transfer() const {
  if (state_ == State::kReading && (parser_->got_some() || buffer_.size() > 0))
    return Transfer{arrival_.at, requestBytes_ + buffer_.size()};
  if (state_ == State::kResponding && exchange_.expired() && bufferedBytes() > 0)
    return Transfer{writtenAt_, 0};
  return std::nullopt;
}

void Connection::closeForRoom() {
  if (state_ != State::kLingering && !transfer()) {
    closeIfIdle();
    return;
  }
  // A response that is not read is the peer's doing, whatever it has sent meanwhile.
  if (state_ != State::kResponding && unreadBytes(socket_) > 0) return;
  reportEarlyClose("other connections need the room", base::Duration::zero());
  close();
}

void Connection::closeIfIdle() {
  if (state_ == State::kLingering || !idleSince()) return;
  // The peer may be about to send its next request, which would reset a closed connection and
  // discard what is still to be delivered.
  if (unacknowledgedBytes(socket_).value_or(0) > 0) return;
  // The cancelled read may have received bytes already; onRead then keeps the connection open.
  closingIdle_ = true;
  boost::system::error_code error;
  socket_.cancel(error);
}

void Connection::closeForExit() {
  if (state_ == State::kClosed) return;
  if (unfinished()) owner_.onClosedEarly(earlyClose("the node stops", base::Duration::zero()));
  if (unacknowledgedBytes(socket_).value_or(0) > 0) discardUnreadBytes();
  close();
}

void Connection::discardUnreadBytes() {
  boost::system::error_code error;
  socket_.non_blocking(true, error);
  std::array<char, kDiscardBytes> discarded{};
  while (!error && socket_.read_some(asio::buffer(discarded), error) > 0) {
  }
}

void Connection::close() {
  if (state_ == State::kClosed) return;
  state_ = State::kClosed;
  endIncoming();
  // The memory itself goes when the last handler has run.
  received_.resize(received_.memoryClass(), 0);
  unsent_.resize(unsent_.memoryClass(), 0);
  boost::system::error_code error;
  socket_.close(error);
  deadline_.stop();
  if (closeWatch_) closeWatch_->stop();
  const auto self = shared_from_this();
  const auto exchange = exchange_.lock();
  exchange_.reset();
  if (exchange) exchange->onPeerDisconnected();
  owner_.onClosed(*this);
}

bool Connection::awaitsInput() const { return state_ == State::kReading && !writeActive_; }

void Connection::setDeadline(base::Duration delay) {
  bytesInTime_.reset();
  deadline_.set(delay);
}

void Connection::setRequestDeadline(base::Duration delay) {
  if (!writeActive_) setDeadline(delay);
}

void Connection::clearDeadline() {
  bytesInTime_.reset();
  deadline_.clear();
}

void Connection::onDeadline() {
  if (writeActive_ && readyToWrite(socket_)) {
    // The peer has accepted bytes; the handler of the write has not run yet.
    setDeadline(owner_.limits().stallTimeout);
    return;
  }
  if (awaitsInput() && !bytesInTime_) {
    const auto unread = unreadBytes(socket_);
    if (unread > 0) {
      bytesInTime_ = unread;
      return;
    }
  }
  if (state_ == State::kLingering && deliveryGoesOn()) {
    setDeadline(kLingerTime);
    return;
  }
  reportEarlyClose(deadlineName(), deadline_.lateness());
  close();
}

bool Connection::deliveryGoesOn() {
  const auto unacknowledged = unacknowledgedBytes(socket_).value_or(0);
  const auto now = AsioClock{}.now();
  if (unacknowledged < std::exchange(unacknowledged_, unacknowledged)) acknowledgedAt_ = now;
  return unacknowledged > 0 && now - acknowledgedAt_ < owner_.limits().stallTimeout;
}

std::string_view Connection::deadlineName() const {
  if (writeActive_) return "the peer accepts no data";
  if (state_ == State::kLingering) return "the peer does not close the connection";
  if (parser_->is_header_done()) return "the body does not arrive";
  return parser_->got_some() ? "the header section does not arrive" : "idle";
}

EarlyClose Connection::earlyClose(std::string_view why, base::Duration late) const {
  const bool requestBegun = state_ == State::kReading && requestBytes_ > 0;
  return {peer_,
          why,
          unfinishedWork(),
          unreadBytes(socket_),
          requestBegun ? requestBytes_ : 0,
          bufferedBytes(),
          late};
}

void Connection::reportEarlyClose(std::string_view why, base::Duration late) const {
  const auto early = earlyClose(why, late);
  const bool refused = state_ == State::kLingering;
  if (!refused && early.unreadBytes + early.requestBytes + early.unsentBytes > 0)
    owner_.onClosedEarly(early);
}

void Connection::setDeadlineForState() {
  const auto& limits = owner_.limits();
  if (state_ != State::kReading) {
    clearDeadline();
  } else {
    const auto started = parser_->is_header_done() ? limits.requestTimeout : limits.headerTimeout;
    setDeadline(parser_->got_some() ? started : idleTime());
  }
}

}  // namespace covewing::live
