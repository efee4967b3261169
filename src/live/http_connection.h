/// \file
/// One connection of the HTTP server: reads requests and writes responses. Internal to the server.
///
/// States: reading a request -> responding -> reading the next request, or lingering. The next
/// request is read only once no more than `HttpLimits::responseBufferBytes` of responses are
/// unsent: a peer that sends requests and reads no responses would make the server hold them all. A
/// lingering connection has written its last response and discards what the peer still sends for a
/// bounded time, or until the peer closes it: closing a socket with unread bytes resets the
/// connection, and the peer would lose the response.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <optional>
#include <string>

#include "live/http_parser.h"
#include "live/http_server.h"
#include "live/lazy_deadline.h"
#include "live/read_buffer.h"

namespace covewing::live {

class Connection;

/// Interface of the server that a connection uses. Must outlive the connection.
class ConnectionOwner {
 public:
  virtual ~ConnectionOwner() = default;
  virtual const HttpLimits& limits() const = 0;
  virtual const ServerMemory& memory() const = 0;
  virtual void onRequest(const HttpExchangePtr& exchange) = 0;
  virtual HttpResponse formatRefusal(const HttpRefusal& refusal) const = 0;
  /// Whether the server is closing: responses then have the header `Connection: close`.
  virtual bool closing() const = 0;
  /// Whether the server has little room for new connections: responses that begin now ask the peer
  /// to leave.
  virtual bool crowded() const = 0;
  virtual void onClosed(Connection& connection) = 0;
  virtual void onClosedEarly(const EarlyClose& close) = 0;
};

/// A request and the interface to respond to it, as passed to the server's handler.
class Exchange final : public HttpExchange {
 public:
  /// When the first bytes of a request arrived, and for how long they lay unread.
  struct Arrival {
    base::TimePoint at{};
    base::Duration readDelay{};
  };

  Exchange(std::shared_ptr<Connection> connection, HttpRequest request, bool chunkedAllowed,
           Arrival arrival);
  ~Exchange() override;
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  const HttpRequest& request() const override { return request_; }
  clients::SharedBody takeBody() override { return std::exchange(request_.body, {}); }
  base::Endpoint peer() const override;
  base::TimePoint startedAt() const override { return arrival_.at; }
  base::Duration readDelay() const override { return arrival_.readDelay; }
  void closeAfterResponse() override { closeAfterResponse_ = true; }
  void respond(HttpResponse response) override;
  void beginStream(unsigned status, const std::vector<HeaderField>& headers,
                   std::optional<std::uint64_t> length) override;
  void write(std::string_view bytes) override;
  void end() override;
  void abort() override;
  std::size_t bufferedBytes() const override;
  void onPressure(std::function<void(bool)> listener) override;
  bool peerConnected() const override;
  void onDisconnect(std::function<void()> listener) override;

  // Called by the connection.
  void onPeerDisconnected();
  void onBufferPressure(bool high);

 private:
  bool finished() const { return connection_ == nullptr; }
  bool keepAlive() const;
  /// Detaches from the connection and returns it.
  std::shared_ptr<Connection> finish();

  std::shared_ptr<Connection> connection_;
  HttpRequest request_;
  /// False for HTTP/1.0 peers: a stream then ends with the close of the connection.
  bool chunkedAllowed_;
  bool streaming_ = false;
  Arrival arrival_;
  bool closeAfterResponse_ = false;
  /// Bytes of the body still to be written, if its length was announced.
  std::optional<std::uint64_t> remainingBytes_;
  std::function<void(bool)> pressureListener_;
  std::function<void()> disconnectListener_;
};

class Connection final : public IncomingMessage, public std::enable_shared_from_this<Connection> {
 public:
  using Socket = boost::asio::ip::tcp::socket;

  Connection(Socket socket, ConnectionOwner& owner);
  ~Connection() override;
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void start();
  /// Closes the socket at once and notifies the exchange, if there is one.
  void close();
  /// Whether the peer has not closed the connection, as the operating system sees it now.
  bool peerConnected() const;
  /// Whether the end of the process would cost the peer anything: a request that arrives or is
  /// being answered, or bytes of a response that the peer's machine has not acknowledged.
  bool unfinished() const { return unfinishedWork() != UnfinishedWork::kNone; }
  UnfinishedWork unfinishedWork() const;
  /// Whether the end of the process would cut it. The operating system goes on sending what it has
  /// accepted, also behind that.
  bool cutByExit() const;
  /// When the connection was last opened, its last response completed or it began to linger; empty
  /// while any byte of a
  /// request or response is under way or the connection is about to close.
  std::optional<base::TimePoint> idleSince() const;
  /// A request that is being received, or a complete response that the peer is reading.
  struct Transfer {
    /// When its first byte was received, or since when the peer accepts none.
    base::TimePoint since{};
    /// Bytes received of the request.
    std::size_t bytes = 0;
  };
  /// Empty while the connection is idle, or its request is being served.
  std::optional<Transfer> transfer() const;
  /// Whether the last response was written and only the peer's close is awaited.
  bool lingering() const { return state_ == State::kLingering; }
  /// Closes the connection to make room for another one, unless its request is being served or its
  /// socket holds bytes that were not read.
  void closeForRoom();
  /// Closes the connection unless a byte of a request was received or a response has not been
  /// acknowledged by the peer's machine.
  void closeIfIdle();
  /// Ends the connection because the process ends. The operating system goes on sending what it has
  /// accepted; reports the response bytes that it has not.
  void closeForExit();
  base::Endpoint peer() const { return peer_; }

  MemoryClass memoryClass() const override { return received_.memoryClass(); }
  std::size_t heldBytes() const override { return received_.bytes(); }
  base::TimePoint heldSince() const override { return heldSince_; }
  /// Refuses the request that is being received, which has not run, or ends the wait for the peer
  /// to close.
  void dropForMemory() override;

  // Called by the exchange.
  void send(std::string bytes);
  std::size_t bufferedBytes() const { return writing_.size() - written_ + pending_.size(); }
  bool keepAlive() const { return keepAlive_ && !owner_.closing(); }
  /// Time for which the peer may count on the connection after the response; zero if that is less
  /// than a second. The connection keeps to it, even if the limit is shortened meanwhile.
  std::chrono::seconds announceIdleTime();
  /// Whether a response that begins now should ask the peer to leave: the server has little room
  /// and no further request has arrived.
  bool shouldLeave() const { return owner_.crowded() && buffer_.size() == 0; }
  /// From now on the end of the connection means the end of the response. Until the response is
  /// complete and written, any close of the socket resets the connection, also one by the operating
  /// system at the end of this process.
  void resetOnClose();
  /// The response is complete: continues with the next request if `reusable`, otherwise closes the
  /// connection once all bytes are written.
  void onResponseComplete(bool reusable);

 private:
  enum class State { kReading, kResponding, kLingering, kClosed };

  /// Runs one step of the connection. An exception ends the connection and nothing else.
  template <class Step>
  void runStep(Step&& step);
  /// Ends the connection after an exception. A request that was passed on ends as if the peer had
  /// left, and is answered with 502, since it may have run, unless its response has begun. One that
  /// was not read whole is answered with 503, since it has not run.
  void onStepFailed();
  void resetParser();
  void read();
  /// Checks at intervals whether the peer has closed the connection, while nothing is read from it.
  void watchForClose();
  void checkForClose();
  void onRead(boost::system::error_code error, std::size_t bytes);
  void parse();
  /// After reading `bytes` once the deadline had expired: closes the connection and returns true if
  /// all that had arrived in time was read and did not suffice.
  bool overdueAfter(std::size_t bytes);
  /// The first bytes of a request were read, `readDelay` after they had arrived.
  void onFirstBytes(base::Duration readDelay);
  /// The header section was received, and not all of the body. Returns false if the request was
  /// refused because there is no room for its body.
  bool beginBody();
  /// Enters the size of the header section, with which `bodyBytes` of the body were received.
  void onHeaderComplete(std::size_t bodyBytes);
  void dispatch();
  /// Moves the body out of the message that was received; it stays entered in the account.
  clients::SharedBody takeBody(std::string text);
  /// Enters what the connection holds of requests, and has others or this one dropped where that is
  /// too much.
  void enterReceived();
  std::size_t receivedBytes() const;
  void enterUnsent();
  /// From now on the connection may be dropped for want of memory.
  void beginIncoming(base::TimePoint since);
  void endIncoming();
  /// Whether the announced body, if it is a large one, could be received.
  bool hasRoomForBody() const;
  /// Bytes of a response above which its producer is told to pause.
  std::size_t responseBufferBytes() const;
  /// Continues with the next request once a response is complete.
  void beginNextRequest();
  /// As `beginNextRequest`, in a handler of its own.
  void beginNextRequestSoon();
  /// Whether so many bytes of responses are unsent that no further one may be made.
  bool manyBytesUnsent() const;
  void continueIfExpected();
  /// Refuses the request that is being received.
  void refuse(base::Reason reason);
  void refuse(HttpRefusal refusal);
  void refuseForMemory();
  /// The head of the request that is being received; empty if it was not received whole.
  HttpRequest receivedHead() const;
  /// Maximum number of bytes that are kept while the parser waits for the end of a part of the
  /// request's framing.
  std::size_t maximumUnparsedBytes() const;
  void write();
  void onWritten(boost::system::error_code error, std::size_t bytes);
  void updatePressure();
  void setResetOnClose(bool enabled);
  void linger();
  /// Unread bytes would make the operating system reset the connection when it is closed, and
  /// discard what it has accepted for sending.
  void discardUnreadBytes();
  /// Whether the peer has acknowledged bytes of the last response within the stall timeout, and
  /// some are still to be acknowledged.
  bool deliveryGoesOn();
  void setDeadlineForState();
  /// Time for which the connection may stay open between requests.
  base::Duration idleTime() const;
  void onDeadline();
  /// Whether the deadline waits for bytes of the peer.
  bool awaitsInput() const;
  /// Sets a new deadline for the next step of the exchange.
  void setDeadline(base::Duration delay);
  /// As `setDeadline`, for the arrival of a request. While the previous response is being written,
  /// the deadline remains that of the peer to accept it; the request's begins when it is written.
  void setRequestDeadline(base::Duration delay);
  void clearDeadline();
  /// The limit that the deadline enforces now.
  std::string_view deadlineName() const;
  EarlyClose earlyClose(std::string_view why, base::Duration late) const;
  void reportEarlyClose(std::string_view why, base::Duration late) const;

  Socket socket_;
  ConnectionOwner& owner_;
  base::Endpoint peer_;
  /// Kept, since the connection may outlive its owner until its last handler has run.
  ServerMemory memory_;
  State state_ = State::kReading;
  std::optional<RequestParser> parser_;
  ReadBuffer buffer_;
  /// What is held of the request that is being received or served, without the body of one that
  /// was passed on.
  MemoryCharge received_;
  MemoryCharge unsent_;
  base::TimePoint heldSince_{};
  /// Size of the header section of the request that is being received or served.
  std::size_t headBytes_ = 0;
  bool closingIdle_ = false;
  base::TimePoint idleSince_{};
  Exchange::Arrival arrival_;
  bool keepAlive_ = true;
  /// Whether any byte of the response to the request that was passed on has been queued.
  bool responseBegun_ = false;
  bool continueSent_ = false;
  bool headerComplete_ = false;
  bool closeWhenWritten_ = false;
  /// The next request begins once the peer has read more of the responses to earlier ones.
  bool nextRequestWaits_ = false;
  /// When the write that is outstanding began.
  base::TimePoint writtenAt_{};
  std::size_t lingeredBytes_ = 0;
  /// While lingering: bytes that were not acknowledged when that was last checked, and when their
  /// number last went down.
  std::size_t unacknowledged_ = 0;
  base::TimePoint acknowledgedAt_{};
  /// Bytes of the request being read.
  std::size_t requestBytes_ = 0;
  std::string writing_;
  std::string pending_;
  std::size_t written_ = 0;
  bool writeActive_ = false;
  bool underPressure_ = false;
  bool resetOnClose_ = false;
  std::chrono::seconds announcedIdleTime_{};
  std::weak_ptr<Exchange> exchange_;
  LazyDeadline deadline_;
  /// Set once the deadline has expired: bytes that had arrived by then and are still to be read.
  /// They are in time, however late this process reads them.
  std::optional<std::size_t> bytesInTime_;
  /// Used only by connections with much pipelined input.
  std::optional<LazyDeadline> closeWatch_;
};

}  // namespace covewing::live
