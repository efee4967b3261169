/// \file
/// HTTP/1.1 client with a pool of kept-alive connections, for one io_context thread.
///
/// A connection is reused only after the whole request was sent and a complete response to it was
/// received. A connection whose response is incomplete, abandoned or belongs to another request is
/// closed. The client never resends a request.
///
/// Responses are matched to requests by the request's identifier, which is the same for all
/// attempts of a request. So no connection carries two requests with the same identifier: a late
/// second copy of a response then never matches the request that awaits its own.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "base/endpoint.h"
#include "base/time.h"
#include "clients/back_end.h"
#include "live/http_message.h"

namespace boost::asio {
class io_context;
}

namespace covewing::live {

/// Header with the identifier of a request; if a request has it, the response must echo it.
inline constexpr std::string_view kRequestIdHeader = "X-Request-Id";

struct HttpClientLimits {
  std::size_t idleConnectionsPerEndpoint = 64;
  /// Shorter than the idle timeouts of servers, so that a server rarely closes a kept connection
  /// while a request is being sent on it.
  base::Duration idleTimeout = std::chrono::seconds(15);
  base::Duration connectTimeout = std::chrono::seconds(1);
  /// Maximum wait for the server to end a connection whose response turned out to be unusable.
  base::Duration connectionEndTimeout = std::chrono::milliseconds(400);
  /// Maximum size of the header section of a response, and of any other part of its framing that is
  /// parsed as a whole: the line before a chunk, and the trailer.
  std::size_t headerBytes = 64U << 10U;
  /// Header in which a response echoes the identifier of its request.
  std::string_view requestIdHeader = kRequestIdHeader;
  /// If true, a response with the identifier of another request is discarded and the client waits
  /// for the matching one; the connection is not reused afterwards. If false, such a response fails
  /// the call.
  bool skipMismatchedResponses = false;
  /// If true, a response that names no request is accepted, since not all servers echo the
  /// identifier of every call. Its connection carries only requests that read from then on, because
  /// a late copy of it could not be told from the next response.
  bool acceptsUnnamedResponses = false;
  /// A connection is considered broken if sent bytes are not acknowledged for this long or the peer
  /// does not respond to TCP keep-alive probes; zero: the defaults of the operating system.
  base::Duration unacknowledgedTimeout{};
  /// Address that connections are made from; empty: as the operating system chooses.
  std::optional<std::uint32_t> sourceAddress{};
  /// Maximum size of a response body accepted by `fetch`.
  std::size_t bodyBytes = 64U << 20U;
  /// Maximum size of the bodies that all calls of `fetch` have gathered together. Beyond it the
  /// call with the largest body fails: faulty servers may send without end, several at once.
  std::size_t gatheredBytes = 96U << 20U;
};

/// Receives the response of one call. No callback follows onComplete or onFailure. Callbacks are
/// never made from within `start`; they may destroy the call.
class HttpCallHandler {
 public:
  virtual ~HttpCallHandler() = default;
  /// Called when a new connection is established, before the first byte is sent: if it returns
  /// false, the call fails with kNotSent.
  virtual bool stillWanted() const { return true; }
  /// Asked when a response turns out to be unusable. If it returns true, the call fails only once
  /// the server has ended the connection, or has not within
  /// `HttpClientLimits::connectionEndTimeout`.
  virtual bool awaitsConnectionEnd() const { return false; }
  /// Called with the status and headers of the response; the body of `head` is empty.
  virtual void onHead(const HttpResponse& head) = 0;
  virtual void onBody(std::string_view bytes) = 0;
  virtual void onComplete() = 0;
  /// The failure is kNotSent only if the operating system accepted no byte of the request.
  virtual void onFailure(clients::DispatchError error) = 0;
};

/// A call in flight. Destroying it closes its connection unless the response is complete; bytes of
/// the request that the server has not received by then are not delivered.
class HttpCall {
 public:
  virtual ~HttpCall() = default;
  /// While the call is paused, nothing is read from its connection.
  virtual void setPaused(bool paused) = 0;
  /// Number of bytes accepted by the operating system that the server has not acknowledged; empty
  /// if the operating system does not report it or the call has ended.
  virtual std::optional<std::size_t> unacknowledgedBytes() const = 0;
  /// Whether the operating system may have accepted bytes of the request.
  virtual bool mayHaveBeenSent() const = 0;
  /// Closes the sending side of the connection and goes on receiving. The connection is not reused.
  virtual void withdraw() = 0;
};

using HttpResult = std::variant<HttpResponse, clients::DispatchError>;

/// A fetch in flight. Destroying it cancels the fetch, without its callback; does nothing if the
/// fetch has ended.
class HttpFetch {
 public:
  virtual ~HttpFetch() = default;
};

class HttpClient {
 public:
  explicit HttpClient(boost::asio::io_context& context, HttpClientLimits limits = {});
  /// Cancels all calls made with `fetch`, without their callbacks, and closes idle connections.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends the request once. The call fails if nothing is received for `inactivityTimeout`; zero
  /// means no such bound.
  std::unique_ptr<HttpCall> start(const base::Endpoint& server, const HttpRequest& request,
                                  base::Duration inactivityTimeout, HttpCallHandler& handler);
  /// Sends the request once and calls `callback` exactly once, later, with the whole response or an
  /// error. Fails after `timeout`.
  void fetch(const base::Endpoint& server, const HttpRequest& request, base::Duration timeout,
             std::function<void(HttpResult)> callback);

  /// As `fetch`, for a caller that may lose interest in the response.
  std::unique_ptr<HttpFetch> startFetch(const base::Endpoint& server, const HttpRequest& request,
                                        base::Duration timeout,
                                        std::function<void(HttpResult)> callback);

  /// Closes the idle connections in the pool.
  void closeIdle();
  /// Number of idle connections in the pool.
  std::size_t idleConnections() const;

  struct Core;

 private:
  /// Sends the request and returns the number of the fetch.
  std::uint64_t beginFetch(const base::Endpoint& server, const HttpRequest& request,
                           base::Duration timeout, std::function<void(HttpResult)> callback);

  std::shared_ptr<Core> core_;
};

}  // namespace covewing::live
