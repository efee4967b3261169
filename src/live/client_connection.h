/// \file
/// One connection of the HTTP client. Internal to the client.
///
/// States: connecting -> answering (request going out, answer coming in, both at once) -> idle in
/// the pool -> answering again; closed is final.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>
#include <string>

#include "live/http_client.h"
#include "live/lazy_deadline.h"

namespace covewing::live {

class ClientConnection;

/// Where a connection goes when its answer is complete.
class ConnectionPool {
 public:
  virtual ~ConnectionPool() = default;
  virtual const HttpClientLimits& limits() const = 0;
  /// Keeps the connection for its next use; false when the pool is full.
  virtual bool keep(const std::shared_ptr<ClientConnection>& connection) = 0;
  /// An idle connection was closed.
  virtual void remove(const ClientConnection& connection) = 0;
};

class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  ClientConnection(boost::asio::io_context& context, const base::Endpoint& server,
                   std::weak_ptr<ConnectionPool> pool, HttpClientLimits limits);

  const base::Endpoint& server() const { return server_; }
  /// True when the idle connection may be used: nothing unexpected was received and the server has
  /// not closed it.
  bool usable();
  /// Sends the request, connecting first where needed. Returns the number of the call.
  std::uint64_t begin(const HttpRequest& request, base::Duration inactivityTimeout,
                      HttpCallHandler& handler);
  /// Closes the connection, unless call `number` is complete.
  void abandon(std::uint64_t number);
  void setPaused(std::uint64_t number, bool paused);
  void close();

 private:
  enum class State { kNew, kConnecting, kActive, kIdle, kClosed };
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

  void connect();
  void onConnected(boost::system::error_code error);
  void resetParser();
  void write();
  void onWritten(boost::system::error_code error, std::size_t bytes);
  void read();
  void onRead(boost::system::error_code error, std::size_t bytes);
  void onEndOfInput(boost::system::error_code error);
  /// Parses what is buffered; false when the call ended meanwhile.
  bool parse();
  bool deliverHead();
  bool deliverBody();
  void complete();
  void fail(const std::string& detail);
  void restartInactivityTimer();
  void setOptions();
  /// How long the server lets the idle connection stay, less a margin, or this client's own bound.
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
  bool headRequest_ = false;
  std::string output_;
  std::size_t sent_ = 0;
  /// A write was started whose result is not known to be "nothing taken".
  bool bytesMayHaveBeenSent_ = false;
  bool paused_ = false;

  bool reading_ = false;
  std::optional<Parser> parser_;
  bool headDelivered_ = false;
  /// The answer being read belongs to another request and is thrown away.
  bool skipping_ = false;
  /// A foreign answer came: the connection is not used again.
  bool mismatchSeen_ = false;
  boost::beast::flat_buffer buffer_;
};

}  // namespace covewing::live
