/// \file
/// HTTP/1.1 server for one io_context thread: keep-alive, bounded requests, whole and streamed
/// answers with back-pressure, and notice of a peer that went away. Knows nothing of nodes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/result_code.h"
#include "base/time.h"
#include "live/http_message.h"

namespace boost::asio {
class io_context;
}

namespace covewing::live {

/// Bounds of one server. A request over a size limit is answered 431 or 413 as soon as that is
/// known, without reading the rest.
struct HttpLimits {
  std::size_t headerBytes = 16U << 10U;
  std::size_t bodyBytes = 8U << 20U;
  /// Bytes of an answer buffered before its producer is told to pause.
  std::size_t responseBufferBytes = 64U << 10U;
  /// Open connections; further ones are closed at once.
  std::size_t connections = 20'000;
  /// Longest time from the first byte of a request to the end of its header section.
  base::Duration headerTimeout = std::chrono::seconds(30);
  /// Longest time from the end of the header section to the last byte of the request.
  base::Duration requestTimeout = std::chrono::seconds(30);
  /// Longest time that a connection stays open between requests.
  base::Duration idleTimeout = std::chrono::seconds(75);
  /// Longest time that a peer may leave an answer unread without taking a byte of it.
  base::Duration stallTimeout = std::chrono::seconds(60);
};

/// One request and its answer. The answer is either one `respond`, or `beginStream`, any number of
/// `write` and `end`. Calls after the answer is finished or the peer is gone do nothing. Destroying
/// the last reference before the answer is finished closes the connection, so that the peer sees an
/// incomplete answer. An `X-Request-Id` of the request is echoed unless the answer's headers hold
/// one. Everything runs on the io_context's thread.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  virtual const HttpRequest& request() const = 0;
  /// Takes the body out of the request without a copy.
  virtual std::string takeBody() = 0;
  virtual base::Endpoint peer() const = 0;
  /// When the request's first byte was read, by the boot-time clock.
  virtual base::TimePoint startedAt() const = 0;
  /// The answer announces that the connection closes after it, and it does.
  virtual void closeAfterResponse() = 0;

  virtual void respond(HttpResponse response) = 0;

  /// Starts an answer in pieces: chunked, or of `length` bytes where that is given. An answer that
  /// is ended short of its length closes the connection.
  virtual void beginStream(unsigned status, const std::vector<HeaderField>& headers,
                           std::optional<std::uint64_t> length = std::nullopt) = 0;
  virtual void write(std::string_view bytes) = 0;
  /// Ends the answer in pieces as complete.
  virtual void end() = 0;
  /// Closes the connection at once, so that the peer sees an incomplete answer.
  virtual void abort() = 0;

  /// Bytes written but not yet taken by the operating system.
  virtual std::size_t bufferedBytes() const = 0;
  /// `listener(true)` when more than `responseBufferBytes` are buffered, `listener(false)` when
  /// less than half of it is left. Never called from inside `write`.
  virtual void onPressure(std::function<void(bool)> listener) = 0;
  /// Called once when the peer closed or broke the connection before the answer was finished.
  virtual void onDisconnect(std::function<void()> listener) = 0;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;
/// Called once for each whole request. It may answer at once or keep the exchange for later.
using HttpHandler = std::function<void(const HttpExchangePtr&)>;
/// Writes the answer to a request that the server itself refuses (too large, malformed).
using HttpRefusalFormatter = std::function<HttpResponse(const base::Reason&)>;

/// A server with any number of listeners. Destroying it closes everything.
class HttpServer {
 public:
  HttpServer(boost::asio::io_context& context, HttpLimits limits, HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Replaces the default body of the server's own refusals.
  void setRefusalFormatter(HttpRefusalFormatter formatter);
  /// Binds and accepts; port 0 takes a free one. Gives the bound endpoint, or `reason`.
  std::optional<base::Endpoint> listen(const base::Endpoint& endpoint, base::Reason& reason);
  /// Closes the listeners. Open connections go on, but each closes after its next answer.
  void stopAccepting();
  /// Replaces the bounds; open connections keep to them from their next wait on.
  void setLimits(const HttpLimits& limits);
  /// From now on each answer announces that its connection closes; new ones are still accepted.
  void announceClose();
  /// Closes connections that are between requests, now, and goes on accepting.
  void closeIdleConnections();
  /// Stops accepting and closes connections that are between requests, now; the others close after
  /// their answer.
  void stopAcceptingAndCloseIdle();
  /// Closes every connection, finished or not.
  void close();

  std::size_t openConnections() const;
  /// Exchanges whose answer is not finished.
  std::size_t openExchanges() const;

 private:
  struct Core;
  std::shared_ptr<Core> core_;
};

}  // namespace covewing::live
