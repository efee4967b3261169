#include "live/http_server.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <nlohmann/json.hpp>
#include <unordered_set>

#include "live/asio_runtime.h"
#include "live/closable_connections.h"
#include "live/handler_failures.h"
#include "live/http_connection.h"
#include "live/memory_plan.h"

namespace covewing::live {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// Wait before accepting again after an error such as too many open files.
constexpr std::chrono::milliseconds kAcceptRetryDelay{100};
/// Wait before looking again for an idle connection where all are busy. A connection that closes
/// ends the wait.
constexpr std::chrono::milliseconds kRoomRetryDelay{20};
/// Maximum number of connections accepted at once, so that open ones are served in between.
constexpr int kAcceptBatch = 16;
constexpr std::string_view kAcceptSource = "listener";
/// Percentage of the maximum of connections from which on responses ask callers to leave.
constexpr std::size_t kCrowdedPercent = 90;

HttpResponse defaultRefusal(const HttpRefusal& refusal) {
  const auto& reason = refusal.reason;
  const auto& entry = base::describe(reason.code);
  const nlohmann::json body = {{"code", static_cast<unsigned>(reason.code)},
                               {"name", entry.name},
                               {"detail", reason.detail},
                               {"outcome", "not-run"}};
  return jsonResponse(entry.httpStatus,
                      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

bool isOutOfDescriptors(boost::system::error_code error) {
  return error == boost::system::errc::too_many_files_open ||
         error == boost::system::errc::too_many_files_open_in_system;
}

ServerMemory withAccount(ServerMemory memory) {
  if (!memory.account) memory.account = std::make_shared<MemoryAccount>(planMemory(0).bounds);
  return memory;
}

struct Listener {
  explicit Listener(asio::io_context& context) : acceptor(context), retryTimer(context) {}
  tcp::acceptor acceptor;
  /// Uses the steady clock: a suspension of the machine delays the next attempt by no more than
  /// kAcceptRetryDelay.
  asio::steady_timer retryTimer;
  /// A connection was closed because no descriptor was free, and none was accepted since.
  bool roomMade = false;
};

}  // namespace

struct HttpServer::Core final : ConnectionOwner, std::enable_shared_from_this<HttpServer::Core> {
  Core(asio::io_context& ioContext, HttpLimits httpLimits, HttpHandler httpHandler,
       ServerMemory serverMemory)
      : context(ioContext),
        bounds(httpLimits),
        accounts(withAccount(std::move(serverMemory))),
        handler(std::move(httpHandler)),
        refusalFormatter(defaultRefusal) {}

  const HttpLimits& limits() const override { return bounds; }
  const ServerMemory& memory() const override { return accounts; }
  bool closing() const override { return stopping || closeAnnounced; }
  bool crowded() const override {
    constexpr std::size_t kAll = 100;
    return connections.size() * kAll >= bounds.connections * kCrowdedPercent;
  }
  HttpResponse formatRefusal(const HttpRefusal& refusal) const override {
    return refusalFormatter(refusal);
  }
  void onRequest(const HttpExchangePtr& exchange) override {
    if (handler) handler(exchange);
  }
  void onClosed(Connection& connection) override {
    connections.erase(&connection);
    if (closingForRoom.erase(&connection) > 0 && closedForRoomListener) closedForRoomListener();
    // Listeners that wait for room try again at once.
    for (const auto& listener : listeners) listener->retryTimer.cancel();
  }
  void onClosedEarly(const EarlyClose& close) override {
    if (earlyCloseListener) earlyCloseListener(close);
  }

  void accept(const std::shared_ptr<Listener>& listener) {
    listener->acceptor.async_wait(tcp::acceptor::wait_read, [self = shared_from_this(), listener](
                                                                boost::system::error_code error) {
      if (self->stopping) return;
      if (error) {
        self->onAcceptError(listener, error);
      } else {
        self->acceptGuarded(listener);
      }
    });
  }

  /// As `acceptWaiting`. An exception ends at most the connection that was being accepted.
  void acceptGuarded(const std::shared_ptr<Listener>& listener) {
    runHandler(
        context, kAcceptSource, [&] { acceptWaiting(listener); },
        [&] { acceptLater(listener, kAcceptRetryDelay); });
  }

  /// Accepts connections as far as there is room. Called when at least one waits. Whether another
  /// one waits after that is not known when there is no room: the operating system looks for a free
  /// descriptor first.
  void acceptWaiting(const std::shared_ptr<Listener>& listener) {
    if (connections.size() >= bounds.connections) {
      onFull(listener);
      return;
    }
    auto error = acceptOne(*listener);
    if (error && error != asio::error::would_block) {
      onAcceptError(listener, error);
      return;
    }
    for (int accepted = 1; !error && accepted < kAcceptBatch; ++accepted) {
      if (connections.size() >= bounds.connections) break;
      error = acceptOne(*listener);
    }
    listener->roomMade = false;
    accept(listener);
  }

  boost::system::error_code acceptOne(Listener& listener) {
    tcp::socket socket(context);
    boost::system::error_code error;
    listener.acceptor.accept(socket, error);
    if (!error) addConnection(std::move(socket));
    return error;
  }

  void onFull(const std::shared_ptr<Listener>& listener) {
    if (makeRoom(listener)) return;
    reportDelay("no connection may be closed", /*outOfDescriptors=*/false);
    acceptLater(listener, kRoomRetryDelay);
  }

  void onAcceptError(const std::shared_ptr<Listener>& listener, boost::system::error_code error) {
    const bool outOfDescriptors = isOutOfDescriptors(error);
    reportDelay(error.message(), outOfDescriptors);
    // Where that does not help, the descriptors are in use elsewhere: the others stay open then.
    const bool room = outOfDescriptors && !listener->roomMade && makeRoom(listener);
    listener->roomMade = room;
    if (!room) acceptLater(listener, kAcceptRetryDelay);
  }

  void reportDelay(std::string why, bool outOfDescriptors) const {
    if (acceptDelayListener)
      acceptDelayListener(
          {std::move(why), connections.size(), bounds.connections, outOfDescriptors});
  }

  void acceptLater(const std::shared_ptr<Listener>& listener, base::Duration delay) {
    listener->retryTimer.expires_after(delay);
    // A cancelled wait has ended early, because a connection was closed.
    listener->retryTimer.async_wait(
        [self = shared_from_this(), listener](boost::system::error_code /*error*/) {
          if (!self->stopping) self->acceptGuarded(listener);
        });
  }

  /// Closes the connection that is the first to close, if its socket holds no bytes, and lets
  /// `listener` accept afterwards. Returns false if none may be closed.
  bool makeRoom(const std::shared_ptr<Listener>& listener) {
    const auto connection = closableConnections.takeNext(connections, AsioClock{}.now());
    if (!connection) return false;
    closingForRoom.insert(connection.get());
    connection->closeForRoom();
    // Runs after the handler in which the connection closes itself, or finds bytes to read.
    asio::post(context, [self = shared_from_this(), connection, listener] {
      self->closingForRoom.erase(connection.get());
      if (listener && !self->stopping) self->acceptGuarded(listener);
    });
    return true;
  }

  void addConnection(tcp::socket socket) {
    auto connection = std::make_shared<Connection>(std::move(socket), *this);
    connections.emplace(connection.get(), connection);
    connection->start();
  }

  /// Accepts the connections in the listener's queue: closing the listener would reset them, and
  /// requests may already have been sent on them.
  void acceptPending(Listener& listener) {
    while (!acceptOne(listener)) {
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

  void closeAll(void (Connection::*closeOne)()) {
    closed = true;
    // Each close removes its connection from the map.
    const auto open = std::exchange(connections, {});
    for (const auto& [key, connection] : open) (connection.get()->*closeOne)();
  }

  asio::io_context& context;
  HttpLimits bounds;
  ServerMemory accounts;
  HttpHandler handler;
  HttpRefusalFormatter refusalFormatter;
  EarlyCloseListener earlyCloseListener;
  AcceptDelayListener acceptDelayListener;
  std::function<void()> closedForRoomListener;
  bool stopping = false;
  bool closeAnnounced = false;
  bool closed = false;
  std::list<std::shared_ptr<Listener>> listeners;
  ConnectionMap connections;
  ClosableConnections closableConnections;
  /// Connections that were asked to close if they may.
  std::unordered_set<const Connection*> closingForRoom;
};

HttpLimits monitoringLimits() {
  constexpr std::size_t kHeaderBytes = 8U << 10U;
  constexpr std::size_t kConnections = 16;
  HttpLimits limits;
  limits.headerBytes = kHeaderBytes;
  limits.bodyBytes = 0;
  limits.connections = kConnections;
  limits.headerTimeout = std::chrono::seconds(3);
  limits.requestTimeout = std::chrono::seconds(3);
  return limits;
}

HttpServer::HttpServer(asio::io_context& context, HttpLimits limits, HttpHandler handler,
                       ServerMemory memory)
    : core_(std::make_shared<Core>(context, limits, std::move(handler), std::move(memory))) {}

HttpServer::~HttpServer() {
  core_->stopAccepting();
  core_->handler = nullptr;
  core_->closeAll(&Connection::close);
}

void HttpServer::setRefusalFormatter(HttpRefusalFormatter formatter) {
  core_->refusalFormatter = std::move(formatter);
}

void HttpServer::onEarlyClose(EarlyCloseListener listener) {
  core_->earlyCloseListener = std::move(listener);
}

void HttpServer::onAcceptDelay(AcceptDelayListener listener) {
  core_->acceptDelayListener = std::move(listener);
}

void HttpServer::onClosedForRoom(std::function<void()> listener) {
  core_->closedForRoomListener = std::move(listener);
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
  if (!error) acceptor.non_blocking(true, error);
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
void HttpServer::makeRoom() { core_->makeRoom(nullptr); }
void HttpServer::stopAcceptingAndCloseIdle() {
  core_->stopAccepting();
  closeIdleConnections();
}
void HttpServer::close() {
  core_->stopAccepting();
  core_->closeAll(&Connection::close);
}
void HttpServer::closeForExit() {
  core_->stopAccepting();
  core_->closeAll(&Connection::closeForExit);
}

std::size_t HttpServer::openConnections() const { return core_->connections.size(); }

std::size_t HttpServer::connectionsCutByExit() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      core_->connections, [](const auto& entry) { return entry.second->cutByExit(); }));
}

std::size_t HttpServer::unfinishedConnections() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      core_->connections, [](const auto& entry) { return entry.second->unfinished(); }));
}

}  // namespace covewing::live
