#include "live/http_client.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <charconv>
#include <exception>
#include <map>
#include <tuple>
#include <unordered_map>

#include "live/client_connection.h"

namespace covewing::live {

namespace {

struct EndpointOrder {
  bool operator()(const base::Endpoint& left, const base::Endpoint& right) const {
    return std::tie(left.address, left.port) < std::tie(right.address, right.port);
  }
};

class Call final : public HttpCall {
 public:
  Call(std::shared_ptr<ClientConnection> connection, std::uint64_t number)
      : connection_(std::move(connection)), number_(number) {}
  ~Call() override { connection_->abandon(number_); }
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;
  void setPaused(bool paused) override { connection_->setPaused(number_, paused); }
  std::optional<std::size_t> unacknowledgedBytes() const override {
    return connection_->unacknowledgedBytes(number_);
  }
  bool mayHaveBeenSent() const override { return connection_->mayHaveBeenSent(number_); }
  void withdraw() override { connection_->withdraw(number_); }

 private:
  std::shared_ptr<ClientConnection> connection_;
  std::uint64_t number_;
};

/// The bytes that all fetches of a client have gathered.
class GatheredBytes {
 public:
  /// `exceeded` is called whenever the sum has grown beyond `maximum`.
  GatheredBytes(std::size_t maximum, std::function<void()> exceeded)
      : maximum_(maximum), exceeded_(std::move(exceeded)) {}

  void add(std::size_t bytes) {
    sum_ += bytes;
    if (exceeds()) exceeded_();
  }
  void remove(std::size_t bytes) { sum_ -= bytes; }
  bool exceeds() const { return sum_ > maximum_; }

 private:
  std::size_t maximum_;
  std::size_t sum_ = 0;
  std::function<void()> exceeded_;
};

/// Buffers one whole response for `HttpClient::fetch`.
class BufferedCall final : public HttpCallHandler {
 public:
  using Finished = std::function<void(HttpResult)>;

  BufferedCall(boost::asio::io_context& context, std::size_t bodyLimit, GatheredBytes& gathered,
               Finished finished)
      : deadline_(context.get_executor(),
                  [this] {
                    call_.reset();
                    fail("no answer in time");
                  }),
        bodyLimit_(bodyLimit),
        gathered_(gathered),
        finished_(std::move(finished)) {}
  ~BufferedCall() override { gathered_.remove(counted_); }
  BufferedCall(const BufferedCall&) = delete;
  BufferedCall& operator=(const BufferedCall&) = delete;

  void begin(std::unique_ptr<HttpCall> call, base::Duration timeout) {
    call_ = std::move(call);
    deadline_.set(timeout);
  }

  void onHead(const HttpResponse& head) override {
    response_ = head;
    std::uint64_t announced = 0;
    const auto length = head.header("Content-Length");
    std::from_chars(length.data(), length.data() + length.size(), announced);
    if (announced > bodyLimit_) exceedLimit();
  }
  void onBody(std::string_view bytes) override {
    if (response_.body.size() + bytes.size() > bodyLimit_) {
      exceedLimit();
    } else {
      response_.body += bytes;
      counted_ += bytes.size();
      gathered_.add(bytes.size());
    }
  }
  void onComplete() override { finished_(std::move(response_)); }
  void onFailure(clients::DispatchError error) override { finished_(std::move(error)); }

  std::size_t gatheredBytes() const { return counted_; }
  /// Ends the call because its body, or all of them together, are too large.
  void exceedLimit() {
    call_.reset();
    fail("the answer exceeds its limit");
  }

 private:
  void fail(std::string detail) {
    onFailure({clients::DispatchFailure::kOutcomeUnknown,
               {base::ResultCode::kBackEndLost, std::move(detail)}});
  }

  LazyDeadline deadline_;
  std::size_t bodyLimit_;
  GatheredBytes& gathered_;
  /// Bytes of this call among those gathered.
  std::size_t counted_ = 0;
  Finished finished_;
  std::unique_ptr<HttpCall> call_;
  HttpResponse response_;
};

}  // namespace

struct HttpClient::Core final : ConnectionPool, std::enable_shared_from_this<HttpClient::Core> {
  using Connections = std::vector<std::shared_ptr<ClientConnection>>;

  Core(boost::asio::io_context& ioContext, HttpClientLimits clientLimits)
      : context(ioContext),
        bounds(clientLimits),
        gathered(clientLimits.gatheredBytes, [this] { endLargestFetchSoon(); }) {}

  const HttpClientLimits& limits() const override { return bounds; }

  bool keep(const std::shared_ptr<ClientConnection>& connection) override {
    auto& kept = idle[connection->server()];
    if (kept.size() >= bounds.idleConnectionsPerEndpoint) return false;
    kept.push_back(connection);
    return true;
  }

  void remove(const ClientConnection& connection) override {
    const auto kept = idle.find(connection.server());
    if (kept == idle.end()) return;
    std::erase_if(kept->second,
                  [&](const auto& candidate) { return candidate.get() == &connection; });
    if (kept->second.empty()) idle.erase(kept);
  }

  /// Returns the most recently used idle connection, which the server is least likely to have
  /// closed, among those that may carry the request, or a new one.
  std::shared_ptr<ClientConnection> acquire(const base::Endpoint& server,
                                            const HttpRequest& request) {
    while (auto connection = takeIdle(server, request)) {
      if (connection->usable()) return connection;
      connection->close();
    }
    return std::make_shared<ClientConnection>(context, server, weak_from_this(), bounds);
  }

  std::unique_ptr<HttpCall> send(const base::Endpoint& server, const HttpRequest& request,
                                 base::Duration inactivityTimeout, HttpCallHandler& handler) {
    auto connection = acquire(server, request);
    const auto number = connection->begin(request, inactivityTimeout, handler);
    return std::make_unique<Call>(std::move(connection), number);
  }

  /// Removes an idle connection from the pool; returns null if there is none for the request.
  std::shared_ptr<ClientConnection> takeIdle(const base::Endpoint& server,
                                             const HttpRequest& request) {
    const auto kept = idle.find(server);
    if (kept == idle.end()) return nullptr;
    auto& connections = kept->second;
    const auto found =
        std::find_if(connections.rbegin(), connections.rend(),
                     [&request](const auto& connection) { return connection->mayCarry(request); });
    if (found == connections.rend()) return nullptr;
    auto connection = *found;
    connections.erase(std::next(found).base());
    if (connections.empty()) idle.erase(kept);
    return connection;
  }

  /// Posted, since the callback of another fetch must not run within that of the one that grew.
  void endLargestFetchSoon() {
    boost::asio::post(context, [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (self && self->gathered.exceeds()) self->endLargestFetch();
    });
  }
  void endLargestFetch() {
    const auto largest = std::ranges::max_element(
        fetches, {}, [](const auto& fetch) { return fetch.second->gatheredBytes(); });
    if (largest != fetches.end()) largest->second->exceedLimit();
  }

  void closeIdle() {
    const auto connections = std::exchange(idle, {});
    for (const auto& [server, kept] : connections) {
      for (const auto& connection : kept) connection->close();
    }
  }

  boost::asio::io_context& context;
  HttpClientLimits bounds;
  std::map<base::Endpoint, Connections, EndpointOrder> idle;
  /// Outlives the fetches, which take their bytes off it.
  GatheredBytes gathered;
  /// The fetches in flight, by number.
  std::unordered_map<std::uint64_t, std::unique_ptr<BufferedCall>> fetches;
  std::uint64_t lastFetch = 0;
};

namespace {

class CancellableFetch final : public HttpFetch {
 public:
  CancellableFetch(const std::shared_ptr<HttpClient::Core>& core, std::uint64_t number)
      : core_(core), number_(number) {}
  ~CancellableFetch() override {
    if (const auto core = core_.lock()) core->fetches.erase(number_);
  }
  CancellableFetch(const CancellableFetch&) = delete;
  CancellableFetch& operator=(const CancellableFetch&) = delete;

 private:
  std::weak_ptr<HttpClient::Core> core_;
  std::uint64_t number_;
};

}  // namespace

HttpClient::HttpClient(boost::asio::io_context& context, HttpClientLimits limits)
    : core_(std::make_shared<Core>(context, limits)) {}

HttpClient::~HttpClient() {
  core_->fetches.clear();
  core_->closeIdle();
}

std::unique_ptr<HttpCall> HttpClient::start(const base::Endpoint& server,
                                            const HttpRequest& request,
                                            base::Duration inactivityTimeout,
                                            HttpCallHandler& handler) {
  return core_->send(server, request, inactivityTimeout, handler);
}

std::uint64_t HttpClient::beginFetch(const base::Endpoint& server, const HttpRequest& request,
                                     base::Duration timeout,
                                     std::function<void(HttpResult)> callback) {
  const auto number = ++core_->lastFetch;
  auto finished = [core = core_.get(), number, callback = std::move(callback)](HttpResult result) {
    // Kept alive until the end of this function, because a method of the call is on the stack.
    const auto node = core->fetches.extract(number);
    const auto deliver = callback;
    try {
      deliver(std::move(result));
    } catch (...) {
      // Whoever waited for the response would wait forever, so this is for the event loop.
      boost::asio::post(core->context,
                        [failure = std::current_exception()] { std::rethrow_exception(failure); });
    }
  };
  auto call = std::make_unique<BufferedCall>(core_->context, core_->bounds.bodyBytes,
                                             core_->gathered, finished);
  auto& buffered = *call;
  core_->fetches.emplace(number, std::move(call));
  buffered.begin(start(server, request, base::Duration::zero(), buffered), timeout);
  return number;
}

void HttpClient::fetch(const base::Endpoint& server, const HttpRequest& request,
                       base::Duration timeout, std::function<void(HttpResult)> callback) {
  beginFetch(server, request, timeout, std::move(callback));
}

std::unique_ptr<HttpFetch> HttpClient::startFetch(const base::Endpoint& server,
                                                  const HttpRequest& request,
                                                  base::Duration timeout,
                                                  std::function<void(HttpResult)> callback) {
  return std::make_unique<CancellableFetch>(
      core_, beginFetch(server, request, timeout, std::move(callback)));
}

void HttpClient::closeIdle() { core_->closeIdle(); }

std::size_t HttpClient::idleConnections() const {
  std::size_t count = 0;
  for (const auto& [server, kept] : core_->idle) count += kept.size();
  return count;
}

}  // namespace covewing::live
