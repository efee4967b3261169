/// \file
/// HTTP/1.1 client with a pool of kept-alive connections, for one io_context thread.
///
/// A connection is used again only after a whole answer to a wholly sent request; one with an
/// unfinished, abandoned or foreign answer is closed. Nothing is ever sent twice.
#pragma once

#include <functional>
#include <memory>
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

/// Identifier of a request; a peer's answer must echo it where the request carries one.
inline constexpr std::string_view kRequestIdHeader = "X-Request-Id";

struct HttpClientLimits {
  std::size_t idleConnectionsPerEndpoint = 64;
  /// Shorter than what servers allow, so that a kept connection is rarely closed under a request.
  base::Duration idleTimeout = std::chrono::seconds(15);
  base::Duration connectTimeout = std::chrono::seconds(1);
  std::size_t headerBytes = 64U << 10U;
  /// Header by which an answer names its request.
  std::string_view requestIdHeader = kRequestIdHeader;
  /// Answers that name another request are thrown away, and the own one is waited for; the
  /// connection is not used again. Otherwise such an answer fails the call.
  bool skipMismatchedResponses = false;
  /// A connection whose bytes are not acknowledged for so long, or whose peer does not answer
  /// keep-alive probes, is broken; zero: as the system does it.
  base::Duration unacknowledgedTimeout{};
  /// Largest body of an answer taken whole by `fetch`.
  std::size_t bodyBytes = 64U << 20U;
};

/// Receiver of one call's answer. After onComplete or onFailure nothing follows. Never called from
/// inside `start`; it may destroy the call.
class HttpCallHandler {
 public:
  virtual ~HttpCallHandler() = default;
  /// Asked when a new connection is there, before the first byte is sent: where false, the call
  /// fails with kNotSent.
  virtual bool stillWanted() const { return true; }
  /// Status and headers; the body is empty.
  virtual void onHead(const HttpResponse& head) = 0;
  virtual void onBody(std::string_view bytes) = 0;
  virtual void onComplete() = 0;
  /// kNotSent only when no byte of the request was given to the operating system.
  virtual void onFailure(clients::DispatchFailure failure, std::string detail) = 0;
};

/// A call in flight. Destroying it closes its connection unless the answer is complete.
class HttpCall {
 public:
  virtual ~HttpCall() = default;
  /// While paused nothing is read from the connection.
  virtual void setPaused(bool paused) = 0;
};

using HttpResult = std::variant<HttpResponse, clients::DispatchError>;

class HttpClient {
 public:
  explicit HttpClient(boost::asio::io_context& context, HttpClientLimits limits = {});
  /// Forgets all calls; their callbacks do not come.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Sends once. The call fails when nothing is received for `silence`; zero means no such bound.
  std::unique_ptr<HttpCall> start(const base::Endpoint& server, const HttpRequest& request,
                                  base::Duration inactivityTimeout, HttpCallHandler& handler);
  /// Sends once and gives the whole answer, exactly once, later. Fails after `timeout`.
  void fetch(const base::Endpoint& server, const HttpRequest& request, base::Duration timeout,
             std::function<void(HttpResult)> callback);

  /// Closes kept connections that no call uses.
  void closeIdle();
  /// Kept connections that wait for their next use.
  std::size_t idleConnections() const;

  struct Core;

 private:
  std::shared_ptr<Core> core_;
};

}  // namespace covewing::live
