#include "live/http_connection.h"

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
/// Response bytes that a connection may buffer while responses take more than their share.
constexpr std::size_t kLeastResponseBufferBytes = 4096;
/// Maximum bytes of a refused request that are read and discarded before the socket is closed.
constexpr std::size_t kLingerBytes = 1U << 20U;
/// Interval at which a connection that is not being read is checked for a close by the peer.
constexpr base::Duration kCloseCheckInterval = std::chrono::milliseconds(100);
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
    refuse(base::Reason{base::ResultCode::kNodeOverloaded,
                        "this node failed while it read the request"});
  } else if (exchange && !responseBegun_) {
    refuse({{base::ResultCode::kInternalFailure, "this node failed while it served the request"},
            exchange->request(),
            /*handled=*/true});
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
      refuse(base::Reason{base::ResultCode::kInvalidField,
                          "the framing of the body exceeds its limit"});
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
  refuse(base::Reason{base::ResultCode::kRequestMemoryUsedUp,
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

void Connection::refuse(base::Reason reason) {
  refuse({std::move(reason), receivedHead(), /*handled=*/false});
}

void Connection::refuse(HttpRefusal refusal) {
  endIncoming();
  keepAlive_ = false;
  state_ = State::kResponding;
  auto response = owner_.formatRefusal(refusal);
  // What was received goes at once: the peer may take long to read the response.
  resetParser();
  buffer_.consume(buffer_.size());
  buffer_.releaseUnused();
  enterReceived();
  const auto exchange = std::make_shared<Exchange>(shared_from_this(), std::move(refusal.head),
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
  if (writing_.empty()) writing_ = std::exchange(pending_, {});
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

}  // namespace covewing::live
