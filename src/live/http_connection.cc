#include "live/http_connection.h"

#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/field.hpp>

#include "live/asio_runtime.h"
#include "live/handler_failures.h"
#include "live/http_head.h"
#include "live/socket_state.h"

namespace covewing::live {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr std::size_t kReadBytes = 4096;
constexpr std::size_t kBodyReadBytes = 16U << 10U;
/// Memory of a head as a multiple of its size: as parsed, as passed on, and as sent.
constexpr std::size_t kHeadCopies = 3;
/// Response bytes that a connection may buffer while responses take more than their share.
constexpr std::size_t kLeastResponseBufferBytes = 4096;
/// Maximum bytes of a refused request that are read and discarded before the socket is closed.
constexpr std::size_t kLingerBytes = 1U << 20U;
constexpr base::Duration kLingerTime = std::chrono::seconds(2);
/// Interval at which a connection that is not being read is checked for a close by the peer.
constexpr base::Duration kCloseCheckInterval = std::chrono::milliseconds(100);
/// By this much a connection is kept longer than announced: requests that are sent at the end of
/// the announced time arrive later, and the peer counts it from when it has read the response.
constexpr base::Duration kIdleMargin = std::chrono::milliseconds(400);
constexpr std::string_view kStepSource = "connection of a caller";
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

base::Endpoint remoteEndpoint(const Connection::Socket& socket) {
  boost::system::error_code error;
  const auto endpoint = socket.remote_endpoint(error);
  if (error || !endpoint.address().is_v4()) return {};
  return {endpoint.address().to_v4().to_uint(), endpoint.port()};
}

base::Reason reasonFor(boost::system::error_code error) {
  if (error == http::error::body_limit)
    return {base::ResultCode::kBodyTooLarge, "the body exceeds the limit"};
  if (error == http::error::header_limit || error == http::error::buffer_overflow)
    return {base::ResultCode::kHeaderTooLarge, "the header section exceeds the limit"};
  return {base::ResultCode::kInvalidField, "malformed HTTP request: " + error.message()};
}

}  // namespace

Connection::Connection(Socket socket, ConnectionOwner& owner)
    : socket_(std::move(socket)),
      owner_(owner),
      peer_(remoteEndpoint(socket_)),
      memory_(owner.memory()),
      received_(memory_.account, memory_.requests),
      unsent_(memory_.account, MemoryClass::kResponses),
      deadline_(socket_.get_executor(), [this] { runStep([this] { onDeadline(); }); }) {}

Connection::~Connection() { endIncoming(); }

template <class Step>
void Connection::runStep(Step&& step) {
  const auto self = shared_from_this();
  runHandler(socket_.get_executor().context(), kStepSource, std::forward<Step>(step),
             [this] { onStepFailed(); });
}

void Connection::onStepFailed() {
  const auto exchange = exchange_.lock();
  exchange_.reset();
  if (exchange) exchange->onPeerDisconnected();
  if (state_ == State::kReading && parser_->got_some()) {
    refuse({base::ResultCode::kNodeOverloaded, "this node failed while it read the request"});
  } else if (exchange && !responseBegun_) {
    refuse({base::ResultCode::kInternalFailure, "this node failed while it served the request"});
  } else if (exchange || state_ != State::kResponding) {
    close();
  } else {
    onResponseComplete(/*reusable=*/false);
  }
}

void Connection::start() {
  boost::system::error_code error;
  socket_.set_option(asio::ip::tcp::no_delay(true), error);
  resetParser();
  setDeadline(owner_.limits().idleTimeout);
  read();
  enterReceived();
}

void Connection::resetParser() {
  parser_.emplace(owner_.limits().headerBytes, owner_.limits().bodyBytes);
  continueSent_ = false;
  headerComplete_ = false;
  requestBytes_ = 0;
  headBytes_ = 0;
  idleSince_ = AsioClock{}.now();
}

// A read is always outstanding while the buffer has capacity, so that a disconnect is detected.
void Connection::read() {
  if (buffer_.reading() || state_ == State::kClosed) return;
  // While responding, at most one read of a pipelined request is buffered.
  if (state_ == State::kResponding && buffer_.size() >= kReadBytes) {
    watchForClose();
    return;
  }
  const bool inBody = state_ == State::kReading && parser_->is_header_done();
  socket_.async_read_some(
      buffer_.beginRead(inBody ? kBodyReadBytes : kReadBytes),
      [self = shared_from_this()](boost::system::error_code error, std::size_t bytes) {
        self->runStep([&] { self->onRead(error, bytes); });
      });
}

void Connection::watchForClose() {
  if (!closeWatch_)
    closeWatch_.emplace(socket_.get_executor(), [this] { runStep([this] { checkForClose(); }); });
  closeWatch_->set(kCloseCheckInterval);
}

void Connection::checkForClose() {
  if (state_ != State::kResponding || buffer_.reading()) return;
  if (peerHasClosed(socket_)) {
    close();
  } else {
    watchForClose();
  }
}

void Connection::onRead(boost::system::error_code error, std::size_t bytes) {
  buffer_.endRead(bytes);
  if (state_ == State::kClosed) return;
  if (std::exchange(closingIdle_, false) && error == asio::error::operation_aborted) {
    boost::system::error_code ignored;
    if (socket_.available(ignored) > 0) {
      read();
    } else {
      close();
    }
    return;
  }
  if (error) {
    close();
    return;
  }
  if (state_ == State::kLingering) {
    lingeredBytes_ += buffer_.size();
    buffer_.consume(buffer_.size());
    buffer_.releaseUnused();
    if (lingeredBytes_ > kLingerBytes) {
      close();
      return;
    }
  }
  if (state_ == State::kReading) {
    if (!parser_->got_some())
      onFirstBytes(timeSinceDataReceived(socket_).value_or(base::Duration::zero()));
    parse();
    if (overdueAfter(bytes)) return;
  }
  read();
  enterReceived();
}

bool Connection::overdueAfter(std::size_t bytes) {
  if (!bytesInTime_ || state_ != State::kReading) return false;
  *bytesInTime_ -= std::min(*bytesInTime_, bytes);
  if (*bytesInTime_ > 0) return false;
  onDeadline();
  return true;
}

void Connection::parse() {
  while (buffer_.size() > 0 && !parser_->is_done()) {
    boost::system::error_code error;
    const auto used = parser_->putBytes(buffer_.data(), error);
    buffer_.consume(used);
    requestBytes_ += used;
    if (error == http::error::need_more) {
      if (buffer_.size() <= maximumUnparsedBytes()) break;
      refuse({base::ResultCode::kInvalidField, "the framing of the body exceeds its limit"});
      return;
    }
    if (error == http::error::end_of_stream) {
      close();
      return;
    }
    if (error) {
      refuse(reasonFor(error));
      return;
    }
  }
  if (parser_->is_done()) {
    dispatch();
  } else if (parser_->is_header_done()) {
    if (!headerComplete_ && !beginBody()) return;
    continueIfExpected();
  }
}

bool Connection::beginBody() {
  setRequestDeadline(owner_.limits().requestTimeout);
  if (!hasRoomForBody()) {
    memory_.account->countRefusal();
    refuseForMemory();
    return false;
  }
  onHeaderComplete(parser_->get().body().size());
  return true;
}

void Connection::onHeaderComplete(std::size_t bodyBytes) {
  headerComplete_ = true;
  headBytes_ = requestBytes_ - bodyBytes;
}

std::size_t Connection::maximumUnparsedBytes() const {
  return std::max(owner_.limits().headerBytes, kReadBytes) + kBodyReadBytes;
}

void Connection::onFirstBytes(base::Duration readDelay) {
  arrival_ = {AsioClock{}.now() - readDelay, readDelay};
  beginIncoming(arrival_.at);
  setRequestDeadline(owner_.limits().headerTimeout);
}

void Connection::continueIfExpected() {
  if (continueSent_ ||
      !equalHeaderNames(std::string{parser_->get()[http::field::expect]}, "100-continue")) {
    return;
  }
  continueSent_ = true;
  send(std::string{kContinue});
}

void Connection::dispatch() {
  endIncoming();
  auto message = parser_->release();
  if (!headerComplete_) onHeaderComplete(message.body().size());
  keepAlive_ = message.keep_alive();
  state_ = State::kResponding;
  responseBegun_ = false;
  // The handler decides how long the response may take.
  if (!writeActive_) clearDeadline();
  buffer_.releaseUnused();
  HttpRequest request{std::string{message.method_string()}, std::string{message.target()},
                      copyHeaders(message), takeBody(std::move(message.body()))};
  enterReceived();
  const auto exchange = std::make_shared<Exchange>(shared_from_this(), std::move(request),
                                                   message.version() >= kHttp11, arrival_);
  exchange_ = exchange;
  // Guarded here too, where the exchange still exists even if its handler did not keep it.
  runStep([&] { owner_.onRequest(exchange); });
}

clients::SharedBody Connection::takeBody(std::string text) {
  if (text.empty()) return {};
  struct EnteredBody {
    MemoryCharge charge;
    std::string text;
  };
  const auto kind = text.size() > kOrdinaryRequestBytes ? memory_.bodies : memory_.requests;
  MemoryCharge charge(memory_.account, kind);
  charge.resize(kind, text.capacity());
  const auto body = std::make_shared<EnteredBody>(EnteredBody{std::move(charge), std::move(text)});
  return clients::SharedBody{std::shared_ptr<const std::string>(body, &body->text)};
}

std::size_t Connection::receivedBytes() const {
  return buffer_.capacity() + kHeadCopies * headBytes_ + parser_->get().body().capacity();
}

void Connection::enterReceived() {
  if (state_ == State::kClosed) return;
  const auto bytes = receivedBytes();
  const auto kind = bytes > kOrdinaryRequestBytes ? memory_.bodies : memory_.requests;
  const bool grown = bytes > received_.bytes();
  received_.resize(kind, bytes);
  if (grown) memory_.account->makeRoom(kind, AsioClock{}.now());
}

void Connection::enterUnsent() {
  unsent_.resize(MemoryClass::kResponses, writing_.capacity() + pending_.capacity());
}

void Connection::beginIncoming(base::TimePoint since) {
  heldSince_ = since;
  memory_.account->addIncoming(*this);
}

void Connection::endIncoming() { memory_.account->removeIncoming(*this); }

bool Connection::hasRoomForBody() const {
  const auto announced = parser_->content_length_remaining().value_or(0);
  if (announced <= kOrdinaryRequestBytes) return true;
  return memory_.account->couldReceive(memory_.bodies, announced);
}

void Connection::dropForMemory() {
  runStep([this] {
    if (state_ == State::kReading) {
      refuseForMemory();
    } else if (state_ == State::kLingering) {
      close();
    }
  });
}

void Connection::refuseForMemory() {
  refuse({base::ResultCode::kRequestMemoryUsedUp,
          "this node has no memory for the rest of the request"});
}

HttpRequest Connection::receivedHead() const {
  if (!parser_->is_header_done()) return {};
  const auto& message = parser_->get();
  return {std::string{message.method_string()},
          std::string{message.target()},
          copyHeaders(message),
          {}};
}

void Connection::refuse(const base::Reason& reason) {
  endIncoming();
  keepAlive_ = false;
  state_ = State::kResponding;
  auto head = receivedHead();
  auto response = owner_.formatRefusal(reason, head);
  // What was received goes at once: the peer may take long to read the response.
  resetParser();
  buffer_.consume(buffer_.size());
  buffer_.releaseUnused();
  enterReceived();
  const auto exchange = std::make_shared<Exchange>(shared_from_this(), std::move(head),
                                                   /*chunkedAllowed=*/true, arrival_);
  exchange->respond(std::move(response));
}

void Connection::send(std::string bytes) {
  if (state_ == State::kClosed) return;
  responseBegun_ = responseBegun_ || state_ == State::kResponding;
  if (pending_.empty()) {
    pending_ = std::move(bytes);
  } else {
    pending_ += bytes;
  }
  enterUnsent();
  if (writeActive_) {
    updatePressure();
  } else {
    write();
  }
}

void Connection::write() {
  if (writing_.size() == written_) {
    writing_ = std::exchange(pending_, {});
    written_ = 0;
  }
  writeActive_ = true;
  writtenAt_ = AsioClock{}.now();
  setDeadline(owner_.limits().stallTimeout);
  updatePressure();
  socket_.async_write_some(
      asio::buffer(writing_) + written_,
      [self = shared_from_this()](boost::system::error_code error, std::size_t bytes) {
        self->runStep([&] { self->onWritten(error, bytes); });
      });
}

void Connection::onWritten(boost::system::error_code error, std::size_t bytes) {
  writeActive_ = false;
  if (state_ == State::kClosed) return;
  if (error) {
    close();
    return;
  }
  written_ += bytes;
  if (written_ == writing_.size()) {
    // Swapped, since an assignment would keep the memory.
    std::string{}.swap(writing_);
    written_ = 0;
  }
  enterUnsent();
  if (bufferedBytes() > 0) {
    write();
    if (nextRequestWaits_ && !manyBytesUnsent()) beginNextRequestSoon();
    return;
  }
  updatePressure();
  setDeadlineForState();
  if (closeWhenWritten_) {
    linger();
  } else if (nextRequestWaits_) {
    beginNextRequestSoon();
  }
}

std::size_t Connection::responseBufferBytes() const {
  const auto limit = owner_.limits().responseBufferBytes;
  const bool exceeded = memory_.account->exceeded(MemoryClass::kResponses);
  return exceeded ? std::min(limit, kLeastResponseBufferBytes) : limit;
}

bool Connection::manyBytesUnsent() const { return bufferedBytes() > responseBufferBytes(); }

void Connection::updatePressure() {
  const auto limit = responseBufferBytes();
  const auto buffered = bufferedBytes();
  const bool high = underPressure_ ? buffered * 2 > limit : buffered > limit;
  if (high == underPressure_) return;
  underPressure_ = high;
  asio::post(socket_.get_executor(), [self = shared_from_this(), high] {
    self->runStep([&] {
      const auto exchange = self->exchange_.lock();
      if (exchange && self->underPressure_ == high) exchange->onBufferPressure(high);
    });
  });
}

void Connection::onResponseComplete(bool reusable) {
  if (state_ == State::kClosed) return;
  exchange_.reset();
  underPressure_ = false;
  if (!reusable) {
    closeWhenWritten_ = true;
    if (!writeActive_ && pending_.empty()) linger();
    return;
  }
  if (manyBytesUnsent()) {
    nextRequestWaits_ = true;
  } else {
    beginNextRequestSoon();
  }
}

void Connection::beginNextRequestSoon() {
  nextRequestWaits_ = false;
  // Posted, so that a pipelined request is not handled within the call that ended the previous
  // response.
  asio::post(socket_.get_executor(),
             [self = shared_from_this()] { self->runStep([&] { self->beginNextRequest(); }); });
}

void Connection::beginNextRequest() {
  if (state_ != State::kResponding) return;
  state_ = State::kReading;
  resetParser();
  if (!writeActive_) setDeadlineForState();
  // A pipelined request arrives when its turn comes.
  if (buffer_.size() > 0) onFirstBytes(base::Duration::zero());
  parse();
  read();
}

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

std::string_view Connection::unfinishedWork() const {
  if (state_ == State::kClosed) return {};
  if (bufferedBytes() > 0) return "a response is not sent whole";
  if (state_ == State::kResponding) return "a request is being served";
  if (unacknowledgedBytes(socket_).value_or(0) > 0) return "a response is not acknowledged";
  if (state_ == State::kLingering) {
    // A peer that still sends a refused request may not have read the refusal: closing the
    // connection would reset it.
    const bool stillSends = lingeredBytes_ > 0 && !peerHasClosed(socket_);
    return stillSends ? "the peer still sends a refused request" : std::string_view{};
  }
  const bool arrives = parser_->got_some() || buffer_.size() > 0 || unreadBytes(socket_) > 0;
  return arrives ? "a request arrives" : std::string_view{};
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
  if (idleSince() && state_ != State::kLingering) {
    closeIfIdle();
    return;
  }
  const bool reads = state_ == State::kLingering || state_ == State::kReading;
  if (reads && unreadBytes(socket_) > 0) return;
  if (state_ != State::kLingering && !transfer()) return;
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
  std::array<char, kReadBytes> discarded{};
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
