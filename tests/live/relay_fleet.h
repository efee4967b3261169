// Runs complete relaying nodes on loopback, with application replicas that a request can crash.
// Everything runs on one io_context and in real time.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "live/asio_runtime.h"
#include "live/http_server.h"
#include "live/http_test_client.h"
#include "live/relay_daemon.h"
#include "support/memory_table_service.h"
#include "support/recording_log.h"

namespace covewing::live {

using test_support::MemoryTableService;

inline constexpr std::string_view kReplicaTableName = "replicas";
inline constexpr std::string_view kConfigurationTableName = "configuration";
inline constexpr std::string_view kOwnTableName = "own";
/// Requests that a replica runs concurrently.
inline constexpr std::uint32_t kSlots = 8;
inline constexpr std::string_view kApplication = "app";
/// A service whose replicas serve the model of the same name by streams.
inline constexpr std::string_view kModel = "model";
inline constexpr std::string_view kModelPath = "/model/stream";
inline constexpr std::string_view kPromptPartsHeader = "X-Prompt-Parts";
/// Response header with the result code of a refusal.
inline constexpr std::string_view kRefusalCodeHeader = "X-Refusal-Code";

/// Dialect that uses plain headers and passes requests and responses on unchanged.
class PlainDialect : public RelayDialect {
 public:
  std::string_view requestIdHeader() const override { return kRequestIdHeader; }
  std::optional<request::IncomingRequest> readRequest(const HttpRequest& request,
                                                      clients::SharedBody body,
                                                      base::TimePoint arrivedAt,
                                                      base::Reason& /*reason*/) const override {
    request::IncomingRequest arrival;
    arrival.host = request.header("Host");
    arrival.path = request.path();
    arrival.key = request.header("X-Key");
    arrival.arrivedAt = arrivedAt;
    arrival.prompt = readPrompt(request);
    arrival.request = std::make_shared<const clients::RelayedRequest>(clients::RelayedRequest{
        std::string{request.header(kRequestIdHeader)}, request.method, request.target,
        withoutConnectionHeaders(request.headers), std::move(body)});
    return arrival;
  }
  HttpResponse refusal(const request::RelayRefusal& refusal,
                       std::string_view /*requestId*/) const override {
    HttpResponse response{refusal.status, {}, refusal.reason.detail};
    response.headers.push_back({std::string{kRefusalCodeHeader},
                                std::to_string(static_cast<unsigned>(refusal.reason.code))});
    if (refusal.retryAfter > base::Duration::zero())
      response.headers.push_back(
          {"Retry-After", std::to_string(base::toSeconds(refusal.retryAfter))});
    return response;
  }
  HttpRequest dispatch(const clients::RelayedRequest& request,
                       const clients::DispatchTerms& /*terms*/) const override {
    return {request.method, request.target, request.headers, request.body};
  }
  clients::RelayedAnswer readAnswer(const HttpResponse& head,
                                    const clients::DispatchTerms& /*terms*/) const override {
    clients::RelayedAnswer answer;
    answer.status = head.status;
    answer.headers = withoutConnectionHeaders(head.headers);
    return answer;
  }

 private:
  static std::optional<request::PromptMetadata> readPrompt(const HttpRequest& request) {
    constexpr std::uint32_t kMaximumOutputTokens = 20;
    const auto parts = request.header(kPromptPartsHeader);
    auto chain = prefix::PartChain::parse(parts);
    if (parts.empty() || !chain) return std::nullopt;
    request::PromptMetadata prompt;
    prompt.model = kModel;
    prompt.promptTokens = chain->totalTokens();
    prompt.maximumOutputTokens = kMaximumOutputTokens;
    prompt.chain = std::move(*chain);
    return prompt;
  }
};

/// Returns a fixed configuration with a route to the application and one to the model, whatever the
/// row contains.
class FixedRoutesReader final : public node::ConfigurationRowReader {
 public:
  bool isRouteTable(std::string_view key) const override { return key == "routes"; }
  bool isAnnouncedWeights(std::string_view /*key*/) const override { return false; }
  std::optional<config::RouteTableContents> readRouteTable(
      std::string_view /*value*/, base::Reason& /*reason*/) const override {
    config::RouteTableContents contents;
    contents.version = 1;
    config::Route route;
    route.name = "route";
    route.host = "example";
    route.pathPrefix = "/";
    route.timeout = std::chrono::seconds(4);
    route.targetLatency = std::chrono::milliseconds(400);
    route.split = {{std::string{kApplication}, 1}};
    contents.routes = {route, modelRoute(route)};
    config::Service service;
    service.name = kApplication;
    contents.services = {service, modelService()};
    contents.tenants = {{"tenant", {"key"}, 1, false, std::nullopt}};
    return contents;
  }
  std::optional<node::AnnouncedWeights> readWeights(std::string_view /*value*/,
                                                    base::Reason& /*reason*/) const override {
    return std::nullopt;
  }

 private:
  static config::Route modelRoute(config::Route route) {
    route.name = kModel;
    route.pathPrefix = "/model/";
    route.kind = config::RequestKind::kStreaming;
    route.split = {{std::string{kModel}, 1}};
    route.sticky = true;
    return route;
  }
  static config::Service modelService() {
    config::Service service;
    service.name = kModel;
    service.engine.emplace();
    service.engine->slots = kSlots;
    service.engine->cacheTokens = 100'000;
    service.engine->models = {std::string{kModel}};
    return service;
  }
};

/// Reads rows that contain a replica's port. Replicas of the model have keys that begin with its
/// name.
class PortRowReader final : public node::ReplicaRowReader {
 public:
  std::optional<routing::Replica> readReplica(std::string_view key, std::string_view value,
                                              base::Reason& /*reason*/) const override {
    routing::Replica replica;
    replica.instance = key;
    const bool servesModel = key.starts_with(kModel);
    replica.service = servesModel ? kModel : kApplication;
    if (servesModel) replica.models = {{std::string{kModel}, 1}};
    replica.endpoint = {kLoopback, static_cast<std::uint16_t>(std::stoul(std::string{value}))};
    replica.slots = kSlots;
    return replica;
  }
};

/// No replica serves a model, so there are no weights orders and no cache feeds.
class NullWeightsClient final : public clients::WeightsClient {
 public:
  void onNotices(NoticeListener /*listener*/) override {}
  void order(const clients::ReplicaTarget& /*replica*/, clients::WeightsOrder /*order*/,
             std::function<void(clients::WeightsOrderStatus)> /*callback*/) override {}
  void report(const clients::ReplicaTarget& /*replica*/, const std::string& /*model*/,
              std::function<void(std::optional<clients::WeightsReport>)> /*callback*/) override {}
};
class NullCacheFeedClient final : public clients::CacheFeedClient {
 public:
  std::unique_ptr<clients::CacheFeedCall> poll(
      const clients::CacheFeedTarget& /*target*/, std::uint64_t /*since*/, base::Duration /*wait*/,
      std::function<void(clients::CacheFeedReply)> /*callback*/) override {
    return nullptr;
  }
};

/// A replica of the application or of the model. A request with the body `kCrashing` crashes it
/// kCrashAfter after the request has begun, and so does one with the prompt part `kCrashingPart`,
/// behind the head and the first event of its response; later it is back at the same address as a
/// new instance. A request with the body `kUnanswered` never gets a response, one with the body
/// `kLarge` gets one of kLargeBytes.
class CrashingReplica {
 public:
  static constexpr std::string_view kCrashing = "deadly";
  static constexpr std::string_view kUnanswered = "silent";
  static constexpr std::string_view kCrashingPart = "dead";
  static constexpr std::string_view kLarge = "large";
  static constexpr std::size_t kLargeBytes = 3'000'000;
  static constexpr base::Duration kRunTime = std::chrono::milliseconds(60);
  static constexpr base::Duration kCrashAfter = std::chrono::milliseconds(40);
  static constexpr base::Duration kRestartAfter = std::chrono::milliseconds(900);
  static constexpr base::Duration kModelRestartAfter = std::chrono::seconds(2);
  static constexpr base::Duration kEntryRemovedAfter = std::chrono::milliseconds(1500);

  /// Events recorded by all replicas of a test.
  struct Record {
    std::vector<base::TimePoint> crashingArrivals;
    std::vector<base::TimePoint> crashes;
    /// Bodies of all requests in the order of their arrivals.
    std::vector<std::string> bodies;
  };

  CrashingReplica(boost::asio::io_context& context, MemoryTableService& table,
                  AsioTimerService& timers, std::string name, Record& record)
      : context_(context), table_(table), timers_(timers), name_(std::move(name)), record_(record) {
    start();
  }

  /// Crashes the replica as a power failure does, whatever it runs.
  void cutPower() { stop(); }

 private:
  void start() {
    server_ = std::make_unique<HttpServer>(
        context_, HttpLimits{}, [this](const HttpExchangePtr& exchange) { onRequest(exchange); });
    base::Reason reason;
    const auto bound = server_->listen({kLoopback, port_}, reason);
    BOOST_REQUIRE_MESSAGE(bound.has_value(), reason.detail);
    port_ = bound->port;
    instance_ = name_ + '-' + std::to_string(++starts_);
    table_.put(std::string{kReplicaTableName}, instance_, std::to_string(port_));
  }

  void onRequest(const HttpExchangePtr& exchange) {
    if (servesModel()) {
      stream(exchange);
      return;
    }
    record_.bodies.push_back(exchange->request().body.copy());
    if (exchange->request().body == kCrashing) {
      record_.crashingArrivals.push_back(clock_.now());
      timers_.schedule(kCrashAfter, [this, instance = instance_] { crash(instance); });
      openExchanges_.push_back(exchange);
      return;
    }
    if (exchange->request().body == kUnanswered) {
      openExchanges_.push_back(exchange);
      return;
    }
    const bool large = exchange->request().body == kLarge;
    timers_.schedule(kRunTime, [exchange, large] {
      exchange->respond({200, {}, large ? std::string(kLargeBytes, 'x') : "done"});
    });
  }

  void stream(const HttpExchangePtr& exchange) {
    exchange->beginStream(200, {{"Content-Type", "text/event-stream"}});
    exchange->write("data: begun\n\n");
    if (exchange->request().header(kPromptPartsHeader).find(kCrashingPart) == std::string::npos) {
      timers_.schedule(kRunTime, [exchange] {
        exchange->write("data: done\n\n");
        exchange->end();
      });
      return;
    }
    record_.crashingArrivals.push_back(clock_.now());
    openExchanges_.push_back(exchange);
    timers_.schedule(kCrashAfter, [this, instance = instance_] { crash(instance); });
  }

  bool servesModel() const { return name_.starts_with(kModel); }

  void crash(const std::string& instance) {
    if (instance != instance_ || !stop()) return;
    record_.crashes.push_back(clock_.now());
  }

  /// False if the replica is not running.
  bool stop() {
    if (!server_) return false;
    server_->close();
    server_.reset();
    openExchanges_.clear();
    timers_.schedule(kEntryRemovedAfter, [this, instance = instance_] {
      table_.put(std::string{kReplicaTableName}, instance, std::nullopt);
    });
    timers_.schedule(servesModel() ? kModelRestartAfter : kRestartAfter, [this] { start(); });
    return true;
  }

  boost::asio::io_context& context_;
  MemoryTableService& table_;
  AsioTimerService& timers_;
  std::string name_;
  Record& record_;
  AsioClock clock_;
  std::unique_ptr<HttpServer> server_;
  std::vector<HttpExchangePtr> openExchanges_;
  std::uint16_t port_ = 0;
  std::string instance_;
  int starts_ = 0;
};

/// Nodes and replicas, with a client that acts as the callers of one tenant.
class RelayFleet {
 public:
  static constexpr std::size_t kNodes = 3;
  static constexpr std::size_t kReplicas = 6;

  /// Response received by a caller; `status` is 0 if it received no complete response.
  struct Response {
    std::string requestBody;
    base::TimePoint sentAt{};
    base::TimePoint endedAt{};
    unsigned status = 0;
    std::string responseBody;
    bool hasRetryAfter = false;
    /// Result code of a refusal by a node; empty for other responses.
    std::string refusalCode;
    int completions = 0;
  };

  explicit RelayFleet(std::size_t modelReplicas = 0, base::Duration grace = std::chrono::seconds(8))
      : grace_(grace) {
    table_.put(std::string{kConfigurationTableName}, "routes", "routes");
    for (std::size_t index = 0; index < kReplicas; ++index)
      replicas_.push_back(std::make_unique<CrashingReplica>(
          context_, table_, timers_, "replica-" + std::to_string(index), record));
    for (std::size_t index = 0; index < modelReplicas; ++index)
      modelReplicas_.push_back(std::make_unique<CrashingReplica>(
          context_, table_, timers_, std::string{kModel} + '-' + std::to_string(index), record));
    for (auto& port : ports_) port = freePort();
    startNodes();
  }

  /// Starts all nodes without any state from earlier runs and waits until they serve requests.
  void startNodes() {
    for (std::size_t index = 0; index < kNodes; ++index) {
      nodes_.push_back(std::make_unique<RelayDaemon>(context_, settings(index), log_, deployment_));
      base::Reason reason;
      BOOST_REQUIRE_MESSAGE(nodes_.back()->start(reason), reason.detail);
    }
    for (int round = 0; round < 100 && !allNodesServe(); ++round)
      run(std::chrono::milliseconds(100));
    BOOST_REQUIRE(allNodesServe());
  }
  /// Destroys all nodes at once, as if their processes were killed.
  void killNodes() { nodes_.clear(); }
  /// Stops the node as planned. Its process ends, with all that is still open, once it has
  /// finished; `stopped` is called then.
  void stopNode(std::size_t node, std::function<void()> stopped) {
    nodes_.at(node)->drain([this, node, stopped = std::move(stopped)] {
      boost::asio::post(context_, [this, node, stopped] {
        nodes_.at(node).reset();
        stopped();
      });
    });
  }

  void run(base::Duration duration) { context_.run_for(duration); }

  /// Sends a request to a node; the caller waits for the response for `timeout`.
  std::shared_ptr<Response> send(std::size_t node, std::string body,
                                 base::Duration timeout = std::chrono::seconds(5)) {
    return send(node, requestTo("/work", std::move(body)), timeout);
  }

  /// Sends a request with a prompt of these parts for the model to a node.
  std::shared_ptr<Response> sendPrompt(std::size_t node, const std::string& parts) {
    auto request = requestTo(kModelPath, parts);
    request.headers.push_back({std::string{kPromptPartsHeader}, parts});
    return send(node, request, std::chrono::seconds(5));
  }

  void cutPowerOfModelReplicas(std::size_t count) {
    for (std::size_t index = 0; index < count; ++index) modelReplicas_.at(index)->cutPower();
  }

  /// Sends a request on a connection of its own and closes that at once, before the node reads it.
  void sendAndLeave(std::size_t node, const std::string& body) {
    boost::asio::ip::tcp::socket socket(context_);
    const auto endpoint = callerEndpoint(node);
    socket.connect({boost::asio::ip::address_v4(endpoint.address), endpoint.port});
    boost::asio::write(socket, boost::asio::buffer(requestText(body)));
  }

  /// Sends a request on a connection of its own from which nothing is read yet.
  boost::asio::ip::tcp::socket sendUnread(std::size_t node, std::string_view body) {
    auto socket = connectIdle(node);
    boost::asio::write(socket, boost::asio::buffer(requestText(body)));
    return socket;
  }

  /// Opens a connection of a caller that sends nothing.
  boost::asio::ip::tcp::socket connectIdle(std::size_t node) {
    boost::asio::ip::tcp::socket socket(context_);
    const auto endpoint = callerEndpoint(node);
    socket.connect({boost::asio::ip::address_v4(endpoint.address), endpoint.port});
    return socket;
  }

  base::TimePoint now() const { return clock_.now(); }
  /// Number of times that any node has logged the event.
  std::size_t logged(base::Event event) const { return log_.count(event); }

  CrashingReplica::Record record;

 private:
  /// The bytes of a request that is sent without the client.
  std::string requestText(std::string_view body) {
    return "POST /work HTTP/1.1\r\nHost: example\r\nX-Key: key\r\n" +
           std::string{kRequestIdHeader} + ": raw-" + std::to_string(++sent_) +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string{body};
  }
  HttpRequest requestTo(std::string_view target, std::string body) {
    return {"POST",
            std::string{target},
            {{"Host", "example"},
             {"X-Key", "key"},
             {std::string{kRequestIdHeader}, "id-" + std::to_string(++sent_)}},
            std::move(body)};
  }

  std::shared_ptr<Response> send(std::size_t node, const HttpRequest& request,
                                 base::Duration timeout) {
    auto response = std::make_shared<Response>();
    response->requestBody = request.body;
    response->sentAt = clock_.now();
    http_.fetch(callerEndpoint(node), request, timeout, [this, response](const HttpResult& result) {
      ++response->completions;
      response->endedAt = clock_.now();
      const auto* httpResponse = std::get_if<HttpResponse>(&result);
      if (httpResponse == nullptr) return;
      response->status = httpResponse->status;
      response->responseBody = httpResponse->body;
      response->hasRetryAfter = !httpResponse->header("Retry-After").empty();
      response->refusalCode = httpResponse->header(kRefusalCodeHeader);
    });
    return response;
  }

  /// Listeners of a node; their ports are the same on every node.
  enum Listener : std::size_t { kCallers, kReadiness, kPeers, kMetrics, kListeners };

  static std::uint32_t addressOf(std::size_t node) {
    constexpr std::uint32_t kFirst = 10;
    return kLoopback + kFirst + static_cast<std::uint32_t>(node);
  }
  base::Endpoint callerEndpoint(std::size_t node) const {
    return {addressOf(node), ports_[kCallers]};
  }

  /// Returns a port that is free at the addresses of all nodes. It is below the ports that the
  /// operating system gives to others, so that it stays free until the nodes listen.
  std::uint16_t freePort() {
    constexpr std::uint32_t kFirst = 10'000;
    constexpr std::uint32_t kCount = 20'000;
    static std::uint64_t next = systemSeed();
    while (true) {
      const auto port = static_cast<std::uint16_t>(kFirst + next++ % kCount);
      if (isFreeOnAllNodes(port)) return port;
    }
  }

  bool isFreeOnAllNodes(std::uint16_t port) {
    for (std::size_t node = 0; node < kNodes; ++node) {
      const boost::asio::ip::address_v4 address(addressOf(node));
      if (!canBind<boost::asio::ip::tcp::acceptor>({address, port})) return false;
      if (!canBind<boost::asio::ip::udp::socket>({address, port})) return false;
    }
    return true;
  }

  template <class Socket>
  bool canBind(const typename Socket::endpoint_type& endpoint) {
    Socket socket(context_, endpoint.protocol());
    // As the nodes do: a listener may follow connections that have ended.
    const bool listens = endpoint.protocol().type() == SOCK_STREAM;
    socket.set_option(boost::asio::socket_base::reuse_address(listens));
    boost::system::error_code error;
    socket.bind(endpoint, error);
    return !error;
  }

  RelaySettings settings(std::size_t index) const {
    RelaySettings settings;
    settings.name = "node-" + std::to_string(index);
    settings.zone = "zone-" + std::to_string(index);
    settings.region = "region";
    settings.callerEndpoint = {addressOf(index), ports_[kCallers]};
    settings.readinessEndpoint = {addressOf(index), ports_[kReadiness]};
    settings.peerEndpoint = {addressOf(index), ports_[kPeers]};
    settings.metricsEndpoint = {addressOf(index), ports_[kMetrics]};
    for (std::size_t node = 0; node < kNodes; ++node)
      settings.seeds.push_back({addressOf(node), ports_[kPeers]});
    settings.grace = grace_;
    settings.revocation = std::chrono::seconds(5);
    settings.retryRatio = 0.2;
    settings.retryWindow = std::chrono::seconds(10);
    settings.retrySlack = 50;
    settings.quotaWindow = std::chrono::seconds(8);
    settings.weightsInForce = std::chrono::seconds(8);
    settings.lease = std::chrono::seconds(3);
    return settings;
  }

  bool allNodesServe() {
    std::vector<std::shared_ptr<Response>> responses;
    for (std::size_t node = 0; node < kNodes; ++node) responses.push_back(send(node, "hello"));
    run(std::chrono::milliseconds(300));
    return std::ranges::all_of(responses,
                               [](const auto& response) { return response->status == 200; });
  }

  base::Duration grace_;
  boost::asio::io_context context_;
  AsioClock clock_;
  AsioTimerService timers_{context_};
  test_support::RecordingLog log_;
  MemoryTableService table_{clock_, timers_, std::string{kOwnTableName}};
  PlainDialect dialect_;
  FixedRoutesReader configurationRows_;
  PortRowReader replicaRows_;
  NullWeightsClient weights_;
  NullCacheFeedClient cacheFeeds_;
  RelayDeployment deployment_{dialect_,
                              configurationRows_,
                              replicaRows_,
                              table_,
                              table_,
                              weights_,
                              cacheFeeds_,
                              std::string{kConfigurationTableName},
                              std::string{kReplicaTableName}};
  std::array<std::uint16_t, kListeners> ports_{};
  std::vector<std::unique_ptr<CrashingReplica>> replicas_;
  std::vector<std::unique_ptr<CrashingReplica>> modelReplicas_;
  std::vector<std::unique_ptr<RelayDaemon>> nodes_;
  HttpClient http_{context_};
  std::size_t sent_ = 0;
};

}  // namespace covewing::live
