#include "live/http_server.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <nlohmann/json.hpp>
#include <unordered_map>

#include "live/http_connection.h"

namespace covewing::live {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// Wait before accepting again after an error such as too many open files.
constexpr std::chrono::milliseconds kAcceptRetryDelay{100};

HttpResponse defaultRefusal(const base::Reason& reason) {
  const auto& entry = base::describe(reason.code);
  const nlohmann::json body = {{"code", static_cast<unsigned>(reason.code)},
                               {"name", entry.name},
                               {"detail", reason.detail},
                               {"outcome", "not-run"}};
  return jsonResponse(entry.httpStatus, body.dump());
}

struct Listener {
  explicit Listener(asio::io_context& context) : acceptor(context), retryTimer(context) {}
  tcp::acceptor acceptor;
  /// Uses the steady clock: a suspension of the machine delays the next attempt by no more than
  /// kAcceptRetryDelay.
  asio::steady_timer retryTimer;
};

}  // namespace

struct HttpServer::Core final : ConnectionOwner, std::enable_shared_from_this<HttpServer::Core> {
  Core(asio::io_context& ioContext, HttpLimits httpLimits, HttpHandler httpHandler)
      : context(ioContext),
        bounds(httpLimits),
        handler(std::move(httpHandler)),
        refusalFormatter(defaultRefusal) {}

  const HttpLimits& limits() const override { return bounds; }
  bool closing() const override { return stopping || closeAnnounced; }
  HttpResponse formatRefusal(const base::Reason& reason) const override {
    return refusalFormatter(reason);
  }
  void onRequest(const HttpExchangePtr& exchange) override {
    if (handler) handler(exchange);
  }
  void onClosed(Connection& connection) override { connections.erase(&connection); }
  void onClosedEarly(const EarlyClose& close) override {
    if (earlyCloseListener) earlyCloseListener(close);
  }

  void accept(const std::shared_ptr<Listener>& listener) {
    listener->acceptor.async_accept(
        [self = shared_from_this(), listener](boost::system::error_code error, tcp::socket socket) {
          // A connection accepted just before the stop is served like those from the queue.
          if (!error && !self->closed) self->addConnection(std::move(socket));
          if (self->stopping) return;
          if (error) {
            self->acceptLater(listener);
          } else {
            self->accept(listener);
          }
        });
  }

  void acceptLater(const std::shared_ptr<Listener>& listener) {
    listener->retryTimer.expires_after(kAcceptRetryDelay);
    listener->retryTimer.async_wait(
        [self = shared_from_this(), listener](boost::system::error_code error) {
          if (!error && !self->stopping) self->accept(listener);
        });
  }

  void addConnection(tcp::socket socket) {
    if (connections.size() >= bounds.connections) return;
    auto connection = std::make_shared<Connection>(std::move(socket), *this);
    connections.emplace(connection.get(), connection);
    connection->start();
  }

  /// Accepts the connections in the listener's queue: closing the listener would reset them, and
  /// requests may already have been sent on them.
  void acceptPending(Listener& listener) {
    boost::system::error_code error;
    listener.acceptor.non_blocking(true, error);
    while (!error) {
      tcp::socket socket(context);
      listener.acceptor.accept(socket, error);
      if (!error) addConnection(std::move(socket));
    }
  }

  void stopAccepting() {
    stopping = true;
    for (const auto& listener : listeners) {
      boost::system::error_code error;
      acceptPending(*listener);
      listener->acceptor.close(error);
      listener->retryTimer.cancel();
    }
    listeners.clear();
  }

  void closeAll() {
    closed = true;
    // Each close removes its connection from the map.
    const auto open = std::exchange(connections, {});
    for (const auto& [key, connection] : open) connection->close();
  }

  asio::io_context& context;
  HttpLimits bounds;
  HttpHandler handler;
  HttpRefusalFormatter refusalFormatter;
  EarlyCloseListener earlyCloseListener;
  bool stopping = false;
  bool closeAnnounced = false;
  bool closed = false;
  std::list<std::shared_ptr<Listener>> listeners;
  std::unordered_map<Connection*, std::shared_ptr<Connection>> connections;
};

HttpServer::HttpServer(asio::io_context& context, HttpLimits limits, HttpHandler handler)
    : core_(std::make_shared<Core>(context, limits, std::move(handler))) {}

HttpServer::~HttpServer() {
  core_->stopAccepting();
  core_->handler = nullptr;
  core_->closeAll();
}

void HttpServer::setRefusalFormatter(HttpRefusalFormatter formatter) {
  core_->refusalFormatter = std::move(formatter);
}

void HttpServer::onEarlyClose(EarlyCloseListener listener) {
  core_->earlyCloseListener = std::move(listener);
}

std::optional<base::Endpoint> HttpServer::listen(const base::Endpoint& endpoint,
                                                 base::Reason& reason) {
  auto listener = std::make_shared<Listener>(core_->context);
  auto& acceptor = listener->acceptor;
  const tcp::endpoint address(asio::ip::address_v4(endpoint.address), endpoint.port);
  boost::system::error_code error;
  acceptor.open(address.protocol(), error);
  if (!error) acceptor.set_option(asio::socket_base::reuse_address(true), error);
  if (!error) acceptor.bind(address, error);
  if (!error) acceptor.listen(asio::socket_base::max_listen_connections, error);
  const auto bound = error ? tcp::endpoint{} : acceptor.local_endpoint(error);
  if (error) {
    reason = {base::ResultCode::kSettingsInvalid,
              "cannot listen on " + toString(endpoint) + ": " + error.message()};
    return std::nullopt;
  }
  core_->listeners.push_back(listener);
  core_->accept(listener);
  return base::Endpoint{bound.address().to_v4().to_uint(), bound.port()};
}

void HttpServer::stopAccepting() { core_->stopAccepting(); }
void HttpServer::setLimits(const HttpLimits& limits) { core_->bounds = limits; }
void HttpServer::announceClose() { core_->closeAnnounced = true; }
void HttpServer::closeIdleConnections() {
  for (const auto& [key, connection] : core_->connections) connection->closeIfIdle();
}
void HttpServer::stopAcceptingAndCloseIdle() {
  core_->stopAccepting();
  closeIdleConnections();
}
void HttpServer::close() {
  core_->stopAccepting();
  core_->closeAll();
}

std::size_t HttpServer::openConnections() const { return core_->connections.size(); }

std::size_t HttpServer::openExchanges() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      core_->connections, [](const auto& entry) { return entry.second->responding(); }));
}

}  // namespace covewing::live
