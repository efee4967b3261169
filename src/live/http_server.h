/// \file
/// HTTP/1.1 server for one io_context thread: keep-alive, size limits for requests, whole and
/// streamed responses with back-pressure, and detection of disconnected peers. Independent of the
/// node's own types.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.h"
#include "base/result_code.h"
#include "base/time.h"
#include "live/http_message.h"
#include "live/memory_account.h"

namespace boost::asio {
class io_context;
}

namespace covewing::live {

/// Limits of one server. A request over a size limit is refused with 431 or 413 as soon as this is
/// detected, without reading the remainder.
struct HttpLimits {
  std::size_t headerBytes = 16U << 10U;
  std::size_t bodyBytes = 8U << 20U;
  /// Buffered bytes of a response above which its producer is notified to pause.
  std::size_t responseBufferBytes = 64U << 10U;
  /// Maximum number of open connections. At the maximum, the connection that has been idle longest
  /// is closed for a new one; if none is idle, that of the peer that has sent least of its request
  /// for longest, or that does not read its response. If all requests are being served, new ones
  /// wait in the listen queue. Near the maximum, responses announce `Connection: close`.
  std::size_t connections = 20'000;
  /// Maximum time from the first byte of a request to the end of its header section.
  base::Duration headerTimeout = std::chrono::seconds(30);
  /// Maximum time from the end of the header section to the last byte of the request.
  base::Duration requestTimeout = std::chrono::seconds(30);
  /// Maximum time that a connection stays open between requests.
  base::Duration idleTimeout = std::chrono::seconds(75);
  /// Maximum time for which a peer may accept no byte of a response that is being written.
  base::Duration stallTimeout = std::chrono::seconds(60);
};

/// Limits of a listener for readiness checks and scrapes of metrics: few peers, and requests
/// without a body that arrive at once.
HttpLimits monitoringLimits();

/// Where a server enters what it holds for its peers.
struct ServerMemory {
  /// Empty: an account of its own, for all memory of the machine.
  MemoryAccountPtr account;
  /// Class of ordinary requests, and of larger ones.
  MemoryClass requests = MemoryClass::kRequests;
  MemoryClass bodies = MemoryClass::kBodies;
};

/// One request and its response. A response is made either by one call of `respond`, or by
/// `beginStream`, any number of calls of `write`, and `end`. Calls made after the response is
/// finished or the peer has disconnected do nothing. Destroying the last reference before the
/// response is finished closes the connection, so that the peer sees an incomplete response. The
/// request's `X-Request-Id` header, if any, is echoed unless the response's headers contain one.
/// All calls and callbacks are made on the io_context's thread.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  virtual const HttpRequest& request() const = 0;
  /// Moves the body out of the request. Its memory stays entered in the server's account until the
  /// last one that holds it lets go.
  virtual clients::SharedBody takeBody() = 0;
  virtual base::Endpoint peer() const = 0;
  /// Time at which the request's first bytes arrived, by the boot-time clock. If the operating
  /// system does not report it, the time at which they were read.
  virtual base::TimePoint startedAt() const = 0;
  /// Time for which the operating system held the request's data before it was read, as far as it
  /// reports this; zero otherwise.
  virtual base::Duration readDelay() const = 0;
  /// Closes the connection after the response, which announces this with `Connection: close`.
  virtual void closeAfterResponse() = 0;

  virtual void respond(HttpResponse response) = 0;

  /// Starts a streamed response: chunked, or with a body of `length` bytes if that is given. If the
  /// response is ended before `length` bytes were written, the connection is closed.
  virtual void beginStream(unsigned status, const std::vector<HeaderField>& headers,
                           std::optional<std::uint64_t> length = std::nullopt) = 0;
  virtual void write(std::string_view bytes) = 0;
  /// Ends a streamed response as complete.
  virtual void end() = 0;
  /// Closes the connection at once, so that the peer sees an incomplete response.
  virtual void abort() = 0;

  /// Bytes written to the exchange but not yet accepted by the operating system.
  virtual std::size_t bufferedBytes() const = 0;
  /// Sets the back-pressure listener: it is called with true when more than `responseBufferBytes`
  /// are buffered, and with false once at most half of that is left. Never called from within
  /// `write`.
  virtual void onPressure(std::function<void(bool)> listener) = 0;
  /// Whether the peer is still connected, as the operating system sees it now: a close that is not
  /// processed yet has not called the listener below.
  virtual bool peerConnected() const = 0;
  /// Sets the listener that is called once if the peer closes the connection, or it breaks, before
  /// the response is finished.
  virtual void onDisconnect(std::function<void()> listener) = 0;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;
/// Called once for each complete request. It may respond at once or keep the exchange and respond
/// later.
using HttpHandler = std::function<void(const HttpExchangePtr&)>;
/// A request that the server itself refuses: too large, malformed, not received for want of memory,
/// or one whose handler failed.
struct HttpRefusal {
  base::Reason reason;
  /// The request without its body; empty unless the header section was received whole.
  HttpRequest head;
  /// Whether the handler had the request, which may have run then.
  bool handled = false;
};
/// Formats the response to a request that the server itself refuses.
using HttpRefusalFormatter = std::function<HttpResponse(const HttpRefusal&)>;

/// What a connection's peer would lose, or might, if the process ended now.
enum class UnfinishedWork {
  kNone,
  /// A part of a response was not accepted by the operating system.
  kUnsent,
  kServed,
  /// The peer's machine has not acknowledged all bytes of a response.
  kUnacknowledged,
  /// The peer may not have read the refusal yet: closing the connection would reset it.
  kRefusedArrives,
  kArrives,
};
std::string_view toString(UnfinishedWork work);

/// A connection that the server closed of its own accord although it held a part of a request or
/// bytes that were not read.
struct EarlyClose {
  base::Endpoint peer;
  /// Which limit ended it.
  std::string_view why;
  UnfinishedWork unfinished = UnfinishedWork::kNone;
  /// Bytes that the operating system held and that were not read.
  std::size_t unreadBytes = 0;
  /// Bytes of an incomplete request that were read.
  std::size_t requestBytes = 0;
  /// Bytes of a response that the peer had not accepted.
  std::size_t unsentBytes = 0;
  /// How much later than due the timer ran.
  base::Duration late{};
};
using EarlyCloseListener = std::function<void(const EarlyClose&)>;

/// Connections wait in the listen queue because the server cannot accept them now.
struct AcceptDelay {
  std::string why;
  std::size_t openConnections = 0;
  /// Maximum number of open connections.
  std::size_t maximum = 0;
  /// No descriptor is free, so other parts of the process are affected as well.
  bool outOfDescriptors = false;
};
using AcceptDelayListener = std::function<void(const AcceptDelay&)>;

/// A server with any number of listeners. Destroying it closes all listeners and connections.
class HttpServer {
 public:
  HttpServer(boost::asio::io_context& context, HttpLimits limits, HttpHandler handler,
             ServerMemory memory = {});
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Replaces the formatter of the server's own refusals.
  void setRefusalFormatter(HttpRefusalFormatter formatter);
  /// Sets the listener that is called for each connection that is closed early.
  void onEarlyClose(EarlyCloseListener listener);
  /// Sets the listener that is called for each attempt to accept connections that fails or finds no
  /// room.
  void onAcceptDelay(AcceptDelayListener listener);
  /// Sets the listener that is called for each connection that was closed to make room.
  void onClosedForRoom(std::function<void()> listener);
  /// Binds to the endpoint and starts accepting connections; port 0 selects a free port. Returns
  /// the bound endpoint; if that fails, returns nothing and sets `reason`.
  std::optional<base::Endpoint> listen(const base::Endpoint& endpoint, base::Reason& reason);
  /// Closes the listeners. Open connections remain, but each is closed after its next response.
  void stopAccepting();
  /// Replaces the limits; open connections apply them from their next wait on.
  void setLimits(const HttpLimits& limits);
  /// From now on each response announces that its connection closes; new connections are still
  /// accepted.
  void announceClose();
  /// Closes the connections that are between requests at once; continues to accept new ones.
  void closeIdleConnections();
  /// Closes one connection, as at the maximum, if there is one that may be closed.
  void makeRoom();
  /// Stops accepting and closes the connections that are between requests at once; the others are
  /// closed after their responses.
  void stopAcceptingAndCloseIdle();
  /// Closes the listeners and all connections at once, including those with unfinished responses.
  void close();
  /// As `close`, at the end of the process: reports responses that are cut off, and leaves those
  /// that the operating system has accepted to it.
  void closeForExit();

  std::size_t openConnections() const;
  /// Number of connections on which a request or a part of it has arrived, or a response has not
  /// been acknowledged whole by the peer's machine.
  std::size_t unfinishedConnections() const;
  /// Those among them that the end of the process would cut: not those whose response the operating
  /// system has accepted whole.
  std::size_t connectionsCutByExit() const;

 private:
  struct Core;
  std::shared_ptr<Core> core_;
};

}  // namespace covewing::live
