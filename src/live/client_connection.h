/// \file
/// One connection of the HTTP client. Internal to the client.
///
/// States: connecting -> active (the request is sent and the response is received, possibly at the
/// same time) -> idle in the pool -> active again; closed is final. An active connection whose
/// response cannot be used, and whose handler awaits its end, discards what it receives until the
/// server has ended it or a time-out has passed.
#pragma once

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <optional>
#include <string>

#include "live/discarded_bytes.h"
#include "live/http_client.h"
#include "live/http_parser.h"
#include "live/lazy_deadline.h"
#include "live/read_buffer.h"
#include "live/sent_request_ids.h"

namespace covewing::live {

class ClientConnection;

/// Holds idle connections for reuse after their responses are complete.
class ConnectionPool {
 public:
  virtual ~ConnectionPool() = default;
  virtual const HttpClientLimits& limits() const = 0;
  /// Adds the idle connection to the pool; returns false if the pool is at capacity.
  virtual bool keep(const std::shared_ptr<ClientConnection>& connection) = 0;
  /// Removes an idle connection that was closed.
  virtual void remove(const ClientConnection& connection) = 0;
};

class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  ClientConnection(boost::asio::io_context& context, const base::Endpoint& server,
                   std::weak_ptr<ConnectionPool> pool, HttpClientLimits limits);

  const base::Endpoint& server() const { return server_; }
  /// Whether the idle connection can be reused: no unexpected bytes were received and the server
  /// has not closed it.
  bool usable();
  /// Whether the response to the request could be told from a late copy of any response to a
  /// request that the connection has carried.
  bool mayCarry(const HttpRequest& request) const;
  /// Sends the request, after connecting if the connection is new. Returns the number of the call.
  /// The call fails if no bytes are received for `inactivityTimeout`; zero means no such bound.
  std::uint64_t begin(const HttpRequest& request, base::Duration inactivityTimeout,
                      HttpCallHandler& handler);
  /// Cancels call `number` by closing the connection; does nothing if that call has ended.
  void abandon(std::uint64_t number);
  void setPaused(std::uint64_t number, bool paused);
  /// Closes the sending side of call `number`'s connection and goes on receiving.
  void withdraw(std::uint64_t number);
  /// Bytes of call `number` that the server has not acknowledged; empty if unknown or if that call
  /// has ended.
  std::optional<std::size_t> unacknowledgedBytes(std::uint64_t number) const;
  /// Whether the operating system may have accepted bytes of call `number`.
  bool mayHaveBeenSent(std::uint64_t number) const {
    return number != callNumber_ || bytesMayHaveBeenSent_;
  }
  void close();

 private:
  enum class State { kNew, kConnecting, kActive, kIdle, kClosed };

  /// Runs one step of the connection. An exception ends the connection, and with it the call, whose
  /// outcome is unknown if any byte of the request may have been sent.
  template <class Step>
  void runStep(Step&& step);
  void onStepFailed();
  void onDeadline();
  void connect();
  void onConnected(boost::system::error_code error);
  void resetParser();
  void write();
  /// The rest of the request.
  std::array<boost::asio::const_buffer, 2> unsent() const;
  void onWritten(boost::system::error_code error, std::size_t bytes);
  void read();
  void onRead(boost::system::error_code error, std::size_t bytes);
  void onEndOfInput(boost::system::error_code error);
  /// Discards what has arrived after a response that cannot be used.
  void drain();
  /// Parses the buffered bytes; returns false if the call ended while doing so.
  bool parse();
  bool deliverHead();
  bool deliverBody();
  /// Continues with what was buffered while call `number` was paused.
  void resume(std::uint64_t number);
  void complete();
  void fail(std::string detail, clients::RunEnd runEnd = clients::RunEnd::kNotShown);
  void fail(base::Reason reason, clients::RunEnd runEnd = clients::RunEnd::kNotShown);
  /// Fails the call because its response cannot be used: at once, or if the handler awaits that,
  /// once the server has ended the connection.
  void failResponse(base::Reason reason);
  void failResponse(std::string detail);
  /// Fails the call whose response cannot be used.
  void endDrain(clients::RunEnd runEnd);
  void closeSendingSide();
  /// Fails the call if the server sends too many bytes that are no part of a response. `incomplete`
  /// says that the parser waits for more of what is buffered.
  bool failIfUnbounded(bool incomplete);
  /// Code of a call that has failed for no reason in particular.
  base::ResultCode failureCode() const;
  void restartInactivityTimer();
  /// Lets the close of the connection discard bytes in the send buffer of the operating system. By
  /// default it would deliver them even after the call has ended.
  void discardUnacknowledgedBytes();
  /// Opens the socket with its options and binds it to the source address, if there is one.
  boost::system::error_code open();
  void setOptions();
  /// Time for which the connection is kept idle: the timeout announced by the server minus a
  /// margin, or this client's own limit if that is shorter or the server announced none.
  base::Duration idleTime() const;
  bool skipMismatchedResponse();

  boost::asio::ip::tcp::socket socket_;
  base::Endpoint server_;
  std::weak_ptr<ConnectionPool> pool_;
  HttpClientLimits limits_;
  LazyDeadline deadline_;
  State state_ = State::kNew;

  HttpCallHandler* handler_ = nullptr;
  std::uint64_t callNumber_ = 0;
  base::Duration inactivityTimeout_{};
  std::string requestId_;
  SentRequestIds carried_;
  bool headRequest_ = false;
  bool onlyReads_ = false;
  /// The request that is being sent; empty once it was sent whole.
  std::string head_;
  clients::SharedBody body_;
  /// Bytes of both that the operating system has accepted.
  std::size_t sent_ = 0;
  /// Whether the operating system may have accepted bytes of the request: true from the first write
  /// on, unless an error shows that it accepted none.
  bool bytesMayHaveBeenSent_ = false;
  bool paused_ = false;
  /// The sending side was closed before the response was complete.
  bool sendingClosed_ = false;
  /// Why the response cannot be used; what still comes is discarded until the connection ends.
  std::optional<base::Reason> unusable_;
  std::size_t drainedBytes_ = 0;
  /// A write has failed, and with it taken the error from the socket: the end of input that follows
  /// may be a reset.
  bool writeFailed_ = false;

  std::optional<ResponseParser> parser_;
  bool headDelivered_ = false;
  /// The response being read belongs to another request and is discarded.
  bool skipping_ = false;
  DiscardedBytes discarded_;
  /// A response to another request was received: the connection is not reused.
  bool mismatchSeen_ = false;
  /// A response that names no request was accepted.
  bool unnamedSeen_ = false;
  ReadBuffer buffer_;
};

}  // namespace covewing::live
