#include "live/client_connection.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/verb.hpp>
#include <charconv>
#include <limits>

#include "live/handler_failures.h"
#include "live/http_head.h"
#include "live/socket_state.h"

namespace covewing::live {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr std::string_view kStepSource = "connection to a server";
constexpr std::size_t kReadBytes = 16U << 10U;
/// Maximum bytes that are discarded while the end of a connection is awaited.
constexpr std::size_t kMaximumDrainedBytes = 1U << 20U;
constexpr unsigned kInformationalClass = 1;
constexpr unsigned kStatusClass = 100;

std::string requestHead(const HttpRequest& request, const base::Endpoint& server) {
  http::request<http::empty_body> head;
  head.method_string(request.method);
  head.target(request.target);
  head.version(kHttp11);
  for (const auto& field : request.headers) head.insert(field.name, field.value);
  if (head.find(http::field::host) == head.end()) head.set(http::field::host, toString(server));
  if (!request.body.empty() || (request.method != "GET" && request.method != "HEAD"))
    head.content_length(request.body.size());
  return headText(head);
}

/// What the error that ended the input of a connection says of the server.
clients::RunEnd runEndAfter(boost::system::error_code error) {
  if (error == asio::error::eof || error == asio::error::connection_reset ||
      error == asio::error::broken_pipe)
    return clients::RunEnd::kConnectionEnded;
  if (error == asio::error::timed_out || error == asio::error::host_unreachable ||
      error == asio::error::network_unreachable)
    return clients::RunEnd::kUnreachable;
  return clients::RunEnd::kNotShown;
}

/// Whether the request changes nothing at the server.
bool onlyReads(const HttpRequest& request) {
  return request.method == "GET" || request.method == "HEAD";
}

}  // namespace

ClientConnection::ClientConnection(asio::io_context& context, const base::Endpoint& server,
                                   std::weak_ptr<ConnectionPool> pool, HttpClientLimits limits)
    : socket_(context),
      server_(server),
      pool_(std::move(pool)),
      limits_(limits),
      deadline_(context.get_executor(), [this] { runStep([this] { onDeadline(); }); }) {}

template <class Step>
void ClientConnection::runStep(Step&& step) {
  const auto self = shared_from_this();
  runHandler(socket_.get_executor().context(), kStepSource, std::forward<Step>(step),
             [this] { onStepFailed(); });
}

void ClientConnection::onStepFailed() {
  if (handler_ == nullptr) {
    close();
    return;
  }
  fail({base::ResultCode::kInternalFailure, "this node failed while it read the answer"});
}

void ClientConnection::onDeadline() {
  const auto self = shared_from_this();
  switch (state_) {
    case State::kConnecting:
      // The connection may be established already; its handler runs next.
      if (!readyToWrite(socket_)) fail("connecting took too long");
      return;
    case State::kActive:
      if (unusable_) {
        endDrain(clients::RunEnd::kNotShown);
        return;
      }
      // What has arrived restarts the timer when it is read.
      if (!readyToRead(socket_)) fail("no answer in time");
      return;
    default:
      close();
  }
}

bool ClientConnection::mayCarry(const HttpRequest& request) const {
  if (carried_.contains(request.header(limits_.requestIdHeader))) return false;
  return !unnamedSeen_ || onlyReads(request);
}

bool ClientConnection::usable() {
  if (state_ != State::kIdle || buffer_.size() > 0) return false;
  // The handler of the outstanding read may not have run yet, so the socket itself is checked.
  char byte = 0;
  boost::system::error_code error;
  socket_.non_blocking(true, error);
  socket_.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
  return error == asio::error::would_block;
}

std::uint64_t ClientConnection::begin(const HttpRequest& request, base::Duration inactivityTimeout,
                                      HttpCallHandler& handler) {
  handler_ = &handler;
  inactivityTimeout_ = inactivityTimeout;
  requestId_ = request.header(limits_.requestIdHeader);
  carried_.add(requestId_);
  headRequest_ = request.method == "HEAD";
  onlyReads_ = onlyReads(request);
  head_ = requestHead(request, server_);
  body_ = request.body;
  sent_ = 0;
  bytesMayHaveBeenSent_ = false;
  paused_ = false;
  writeFailed_ = false;
  sendingClosed_ = false;
  unusable_.reset();
  discarded_ = {};
  resetParser();
  if (state_ == State::kNew) {
    connect();
  } else {
    state_ = State::kActive;
    restartInactivityTimer();
    write();
    read();
  }
  return ++callNumber_;
}

void ClientConnection::resetParser() {
  // Without a limit, Beast 1.74 rejects a body whose length is announced in headers that arrive
  // before it: it compares the length with an empty optional.
  parser_.emplace(limits_.headerBytes, std::numeric_limits<std::uint64_t>::max());
  parser_->skip(headRequest_);
  headDelivered_ = false;
  skipping_ = false;
}

void ClientConnection::connect() {
  state_ = State::kConnecting;
  deadline_.set(limits_.connectTimeout);
  if (const auto error = open()) {
    asio::post(socket_.get_executor(), [self = shared_from_this(), error] {
      self->runStep([&] { self->onConnected(error); });
    });
    return;
  }
  socket_.async_connect({asio::ip::address_v4(server_.address), server_.port},
                        [self = shared_from_this()](boost::system::error_code error) {
                          self->runStep([&] { self->onConnected(error); });
                        });
}

boost::system::error_code ClientConnection::open() {
  using asio::detail::socket_option::integer;
  boost::system::error_code error;
  socket_.open(asio::ip::tcp::v4(), error);
  if (error) return error;
  setOptions();
  if (!limits_.sourceAddress) return {};
  // Without this option each connection would take up a port of its own for all servers.
  socket_.set_option(integer<IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT>(1), error);
  socket_.bind({asio::ip::address_v4(*limits_.sourceAddress), 0}, error);
  return error;
}

void ClientConnection::setOptions() {
  using asio::detail::socket_option::integer;
  boost::system::error_code error;
  const auto bound =
      std::chrono::duration_cast<std::chrono::milliseconds>(limits_.unacknowledgedTimeout);
  if (bound.count() == 0) return;
  constexpr int kProbeSeconds = 1;
  socket_.set_option(integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(static_cast<int>(bound.count())),
                     error);
  socket_.set_option(asio::socket_base::keep_alive(true), error);
  socket_.set_option(integer<IPPROTO_TCP, TCP_KEEPIDLE>(kProbeSeconds), error);
  socket_.set_option(integer<IPPROTO_TCP, TCP_KEEPINTVL>(kProbeSeconds), error);
  socket_.set_option(integer<IPPROTO_TCP, TCP_KEEPCNT>(2), error);
}

void ClientConnection::onConnected(boost::system::error_code error) {
  if (state_ != State::kConnecting) return;
  if (error) {
    fail("cannot connect: " + error.message());
    return;
  }
  if (!handler_->stillWanted()) {
    fail("it is no longer wanted there");
    return;
  }
  state_ = State::kActive;
  socket_.set_option(asio::ip::tcp::no_delay(true), error);
  restartInactivityTimer();
  write();
  read();
}

void ClientConnection::write() {
  bytesMayHaveBeenSent_ = true;
  socket_.async_write_some(
      unsent(), [self = shared_from_this()](boost::system::error_code error, std::size_t bytes) {
        self->runStep([&] { self->onWritten(error, bytes); });
      });
}

void ClientConnection::onWritten(boost::system::error_code error, std::size_t bytes) {
  if (state_ != State::kActive || handler_ == nullptr) return;
  sent_ += bytes;
  if (error) {
    writeFailed_ = true;
    // If the operating system accepted no byte, the request was certainly not sent. Otherwise the
    // outcome depends on the read side: a response received before the break, or end of input.
    if (sent_ == 0) {
      bytesMayHaveBeenSent_ = false;
      fail("cannot send: " + error.message());
    }
    return;
  }
  if (sent_ < head_.size() + body_.size()) {
    write();
  } else {
    // Swapped, since an assignment would keep the memory.
    std::string{}.swap(head_);
    body_ = {};
    sent_ = 0;
  }
}

std::array<asio::const_buffer, 2> ClientConnection::unsent() const {
  const auto sentOfHead = std::min(sent_, head_.size());
  return {asio::buffer(head_) + sentOfHead, asio::buffer(body_.text()) + (sent_ - sentOfHead)};
}

void ClientConnection::read() {
  if (buffer_.reading() || paused_ || state_ == State::kClosed) return;
  socket_.async_read_some(
      buffer_.beginRead(kReadBytes),
      [self = shared_from_this()](boost::system::error_code error, std::size_t bytes) {
        self->runStep([&] { self->onRead(error, bytes); });
      });
}

void ClientConnection::onRead(boost::system::error_code error, std::size_t bytes) {
  buffer_.endRead(bytes);
  if (state_ == State::kClosed) return;
  if (state_ == State::kIdle) {
    // The server closed the connection or sent an unsolicited response.
    close();
    return;
  }
  if (error) {
    onEndOfInput(error);
    return;
  }
  if (unusable_) {
    drain();
    return;
  }
  restartInactivityTimer();
  if (parse()) read();
}

void ClientConnection::drain() {
  drainedBytes_ += buffer_.size();
  buffer_.consume(buffer_.size());
  if (drainedBytes_ > kMaximumDrainedBytes) {
    endDrain(clients::RunEnd::kNotShown);
  } else {
    read();
  }
}

void ClientConnection::onEndOfInput(boost::system::error_code error) {
  if (unusable_) {
    endDrain(runEndAfter(error));
    return;
  }
  const bool orderly = error == asio::error::eof && !writeFailed_;
  if (orderly && parser_->got_some()) {
    boost::system::error_code parseError;
    parser_->put_eof(parseError);
    if (!parseError && !skipping_ && parser_->is_done() && deliverHead() && !skipping_ &&
        deliverBody()) {
      complete();
      return;
    }
    if (handler_ == nullptr) return;
  }
  fail("the connection ended before the answer was complete: " + error.message(),
       runEndAfter(error));
}

bool ClientConnection::parse() {
  const auto number = callNumber_;
  // Bytes of a paused response that are already buffered are kept until the call resumes.
  while (buffer_.size() > 0 && !paused_) {
    boost::system::error_code error;
    const auto parsed = parser_->putBytes(buffer_.data(), error);
    buffer_.consume(parsed);
    discarded_.onParsed(parsed);
    const bool incomplete = error == http::error::need_more;
    if (error && !incomplete) {
      failResponse("malformed answer: " + error.message());
      return false;
    }
    if (failIfUnbounded(incomplete)) return false;
    if (parser_->is_header_done() && !headDelivered_) {
      if (parser_->get().result_int() / kStatusClass == kInformationalClass) {
        discarded_.onResponseDiscarded();
        resetParser();
        continue;
      }
      if (!deliverHead()) return false;
    }
    if (skipping_) {
      parser_->get().body().clear();
      if (!parser_->is_done()) {
        if (incomplete) break;
        continue;
      }
      discarded_.onResponseDiscarded();
      resetParser();
      continue;
    }
    if (!deliverBody()) return false;
    if (parser_->is_done()) {
      complete();
      return number == callNumber_ && state_ == State::kIdle;
    }
    if (incomplete) break;
  }
  return true;
}

bool ClientConnection::failIfUnbounded(bool incomplete) {
  constexpr auto kCode = base::ResultCode::kBackEndAnswerUnbounded;
  if (incomplete && buffer_.size() > limits_.headerBytes) {
    failResponse({kCode, "a part of the answer's framing exceeds its limit"});
    return true;
  }
  if (discarded_.tooMany()) {
    failResponse({kCode, "too many bytes that are no part of the answer"});
    return true;
  }
  return false;
}

bool ClientConnection::deliverHead() {
  if (headDelivered_) return handler_ != nullptr;
  headDelivered_ = true;
  const auto& message = parser_->get();
  const HttpResponse head{message.result_int(), copyHeaders(message), {}};
  const auto responseId = head.header(limits_.requestIdHeader);
  if (responseId.empty() && limits_.acceptsUnnamedResponses) {
    unnamedSeen_ = true;
  } else if (!requestId_.empty() && responseId != requestId_) {
    if (limits_.skipMismatchedResponses && !responseId.empty()) return skipMismatchedResponse();
    failResponse("the answer belongs to another request");
    return false;
  }
  const auto number = callNumber_;
  handler_->onHead(head);
  return handler_ != nullptr && number == callNumber_;
}

bool ClientConnection::skipMismatchedResponse() {
  skipping_ = true;
  mismatchSeen_ = true;
  return true;
}

bool ClientConnection::deliverBody() {
  if (handler_ == nullptr) return false;
  const std::string body = std::exchange(parser_->get().body(), {});
  if (body.empty()) return true;
  discarded_.onDelivered(body.size());
  const auto number = callNumber_;
  handler_->onBody(body);
  return handler_ != nullptr && number == callNumber_;
}

void ClientConnection::complete() {
  const auto self = shared_from_this();
  auto* handler = std::exchange(handler_, nullptr);
  const bool surplusTellable = !mismatchSeen_ && !carried_.full() && (onlyReads_ || !unnamedSeen_);
  const bool reusable = parser_->get().keep_alive() && !sendingClosed_ && head_.empty() &&
                        buffer_.size() == 0 && surplusTellable &&
                        idleTime() > base::Duration::zero();
  const auto pool = pool_.lock();
  state_ = State::kIdle;
  if (reusable && pool && pool->keep(self)) {
    buffer_.releaseUnused();
    paused_ = false;
    deadline_.set(idleTime());
    read();
  } else {
    close();
  }
  handler->onComplete();
}

base::Duration ClientConnection::idleTime() const {
  constexpr std::string_view kTimeout = "timeout=";
  constexpr base::Duration kMargin = std::chrono::milliseconds(400);
  const std::string keepAliveHeader{parser_->get()[http::field::keep_alive]};
  const auto found = keepAliveHeader.find(kTimeout);
  unsigned seconds = 0;
  if (found == std::string::npos) return limits_.idleTimeout;
  const char* begin = keepAliveHeader.data() + found + kTimeout.size();
  if (std::from_chars(begin, keepAliveHeader.data() + keepAliveHeader.size(), seconds).ec !=
      std::errc{})
    return limits_.idleTimeout;
  return std::min<base::Duration>(limits_.idleTimeout, std::chrono::seconds(seconds) - kMargin);
}

base::ResultCode ClientConnection::failureCode() const {
  return bytesMayHaveBeenSent_ ? base::ResultCode::kBackEndLost
                               : base::ResultCode::kBackEndUnreachable;
}

void ClientConnection::fail(std::string detail, clients::RunEnd runEnd) {
  fail({failureCode(), std::move(detail)}, runEnd);
}

void ClientConnection::fail(base::Reason reason, clients::RunEnd runEnd) {
  const auto self = shared_from_this();
  auto* handler = std::exchange(handler_, nullptr);
  close();
  if (handler == nullptr) return;
  const auto failure = bytesMayHaveBeenSent_ ? clients::DispatchFailure::kOutcomeUnknown
                                             : clients::DispatchFailure::kNotSent;
  handler->onFailure({failure, std::move(reason), clients::FailurePoint::kBackEnd,
                      bytesMayHaveBeenSent_ ? runEnd : clients::RunEnd::kNotSent});
}

void ClientConnection::failResponse(std::string detail) {
  failResponse({failureCode(), std::move(detail)});
}

void ClientConnection::failResponse(base::Reason reason) {
  if (!handler_->awaitsConnectionEnd()) {
    fail(std::move(reason));
    return;
  }
  unusable_ = std::move(reason);
  drainedBytes_ = buffer_.size();
  buffer_.consume(buffer_.size());
  closeSendingSide();
  deadline_.set(limits_.connectionEndTimeout);
  read();
}

void ClientConnection::endDrain(clients::RunEnd runEnd) {
  fail(*std::exchange(unusable_, std::nullopt), runEnd);
}

void ClientConnection::closeSendingSide() {
  sendingClosed_ = true;
  boost::system::error_code error;
  socket_.shutdown(asio::socket_base::shutdown_send, error);
}

void ClientConnection::withdraw(std::uint64_t number) {
  if (number != callNumber_ || handler_ == nullptr || state_ != State::kActive) return;
  closeSendingSide();
}

void ClientConnection::abandon(std::uint64_t number) {
  if (number != callNumber_ || handler_ == nullptr) return;
  handler_ = nullptr;
  close();
}

std::optional<std::size_t> ClientConnection::unacknowledgedBytes(std::uint64_t number) const {
  if (number != callNumber_ || handler_ == nullptr) return std::nullopt;
  return live::unacknowledgedBytes(socket_);
}

void ClientConnection::setPaused(std::uint64_t number, bool paused) {
  if (number != callNumber_ || handler_ == nullptr || paused_ == paused) return;
  paused_ = paused;
  if (paused) {
    deadline_.clear();
    return;
  }
  restartInactivityTimer();
  // Posted, because the handler must not be called from within its owner's call of setPaused.
  asio::post(socket_.get_executor(),
             [self = shared_from_this(), number] { self->runStep([&] { self->resume(number); }); });
}

void ClientConnection::resume(std::uint64_t number) {
  if (number != callNumber_ || handler_ == nullptr || paused_) return;
  if (parse()) read();
}

void ClientConnection::restartInactivityTimer() {
  if (inactivityTimeout_ == base::Duration::zero() || paused_) {
    deadline_.clear();
  } else {
    deadline_.set(inactivityTimeout_);
  }
}

void ClientConnection::discardUnacknowledgedBytes() {
  // A close without unacknowledged bytes is repeated by the operating system until the server
  // acknowledges it, a reset is sent once. So connections are reset only where bytes would follow.
  if (live::unacknowledgedBytes(socket_) == std::size_t{0}) return;
  boost::system::error_code error;
  socket_.set_option(asio::socket_base::linger(/*enabled=*/true, /*timeout=*/0), error);
}

void ClientConnection::close() {
  if (state_ == State::kClosed) return;
  const bool idle = state_ == State::kIdle;
  if (state_ == State::kActive) discardUnacknowledgedBytes();
  state_ = State::kClosed;
  deadline_.stop();
  boost::system::error_code error;
  socket_.close(error);
  const auto pool = pool_.lock();
  if (idle && pool) pool->remove(*this);
}

}  // namespace covewing::live
