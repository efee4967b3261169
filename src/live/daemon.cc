#include "live/daemon.h"

#include <boost/asio/io_context.hpp>

#include "base/random.h"
#include "live/asio_runtime.h"
#include "live/caller_gateway.h"
#include "live/counting_event_log.h"
#include "live/handler_failures.h"
#include "live/http_application_client.h"
#include "live/http_client.h"
#include "live/http_engine_client.h"
#include "live/http_platform_clients.h"
#include "live/http_server.h"
#include "live/memory_plan.h"
#include "live/node_metrics.h"
#include "live/operator_gateway.h"
#include "live/peer_transport.h"

namespace covewing::live {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kServiceUnavailable = 503;
constexpr unsigned kNotFound = 404;
/// How often a drained node checks whether callers have received their last bytes, and how long it
/// waits for that at most.
constexpr base::Duration kFlushInterval = std::chrono::milliseconds(10);
constexpr base::Duration kFlushTimeout = std::chrono::seconds(5);

HttpLimits callerLimits(const Settings& settings) {
  HttpLimits limits;
  limits.headerBytes = settings.headerBytes;
  limits.bodyBytes = settings.bodyBytes;
  limits.responseBufferBytes = settings.responseBufferBytes;
  limits.connections = settings.connections;
  limits.stallTimeout = settings.stallTimeout;
  return limits;
}

node::NodeOptions nodeOptions(const Settings& settings, const base::Endpoint& peerEndpoint,
                              base::Incarnation incarnation) {
  node::NodeOptions options;
  options.name = settings.name;
  options.zone = settings.zone;
  options.region = settings.region;
  options.peerEndpoint = peerEndpoint;
  options.seeds = settings.seeds;
  options.incarnation = incarnation;
  options.routingPolicy = settings.routingPolicy;
  options.maximumOpenRequests = settings.openRequests;
  options.loadSlots = static_cast<std::uint32_t>(settings.loadSlots);
  options.freshnessBound = settings.freshnessBound;
  return options;
}

}  // namespace

struct Daemon::Impl {
  Impl(boost::asio::io_context& ioContext, Settings nodeSettings, base::EventLog& eventLog,
       NodeFactory nodeFactory)
      : context(ioContext),
        settings(std::move(nodeSettings)),
        factory(std::move(nodeFactory)),
        log(eventLog, [this](base::Event event) { metrics.onEvent(event); }),
        timers(ioContext),
        random(systemSeed()),
        peers(ioContext, log, memory),
        platformHttp(ioContext),
        backEndHttp(ioContext),
        table(platformService(settings.tableEndpoint)),
        objects(platformService(settings.objectsEndpoint)),
        machines(platformService(settings.machinesEndpoint)),
        engines(backEndHttp, timers),
        applications(backEndHttp),
        callerServer(ioContext, callerLimits(settings),
                     [this](const HttpExchangePtr& exchange) { callers->handle(exchange); },
                     {memory}),
        operatorServer(ioContext, {},
                       [this](const HttpExchangePtr& exchange) { operators->handle(exchange); },
                       {memory, MemoryClass::kPeers, MemoryClass::kPeers}),
        metricsServer(ioContext, monitoringLimits(),
                      [this](const HttpExchangePtr& exchange) { handleMetrics(exchange); },
                      {memory, MemoryClass::kPeers, MemoryClass::kPeers}) {}

  PlatformService platformService(const base::Endpoint& endpoint) {
    return {platformHttp, endpoint, settings.platformTimeout};
  }

  node::NodeEnvironment environment() {
    return {clock, timers, random, log, peers, table, objects, machines, engines, applications};
  }

  bool listen(HttpServer& server, std::string name, const base::Endpoint& requested,
              base::Endpoint& bound, base::Reason& reason) {
    const auto endpoint = server.listen(requested, reason);
    if (!endpoint) return false;
    bound = *endpoint;
    logListenerOpened(std::move(name), bound);
    return true;
  }

  void logListenerOpened(std::string name, const base::Endpoint& bound) {
    log.write(base::Event::kListenerOpened,
              {{"listener", std::move(name)}, {"endpoint", toString(bound)}});
  }

  bool start(base::Reason& reason) {
    const auto peerEndpoint = peers.bind(settings.peerEndpoint, reason);
    if (!peerEndpoint) return false;
    endpoints.peer = *peerEndpoint;
    logListenerOpened("peer", endpoints.peer);

    const auto incarnation = startIncarnation();
    node = factory(nodeOptions(settings, endpoints.peer, incarnation), environment());
    callers = std::make_unique<CallerGateway>(
        CallerGatewayEnvironment{clock, timers, log, metrics, *node},
        settings.name + "-" + std::to_string(incarnation) + "-refused-");
    callerServer.setRefusalFormatter(
        [this](const HttpRefusal& refusal) { return callers->formatRefusal(refusal.reason); });
    operators = std::make_unique<OperatorGateway>(node->operators(), settings.operatorKey);

    peers.start(
        {base::nodeIdOf(settings.name), incarnation, endpoints.peer},
        [this](const base::PeerIdentity& sender, base::Channel channel, std::string_view payload) {
          node->onPeerMessage(sender, channel, payload);
        });
    node->start();
    return listen(metricsServer, "metrics", settings.metricsEndpoint, endpoints.metrics, reason) &&
           listen(operatorServer, "operator", settings.operatorEndpoint, endpoints.operators,
                  reason) &&
           listen(callerServer, "caller", settings.callerEndpoint, endpoints.caller, reason);
  }

  void handleMetrics(const HttpExchangePtr& exchange) {
    const auto path = exchange->request().path();
    if (path == "/metrics") {
      exchange->respond({kOk,
                         {{"Content-Type", "text/plain; version=0.0.4"}},
                         metrics.render({*node, node->requests().openRequests(),
                                         callerServer.openConnections(), peers.counters()})});
    } else if (path == "/healthz") {
      exchange->respond({kOk, {}, "ok\n"});
    } else if (path == "/readyz") {
      const bool ready = node->ready() && !draining;
      exchange->respond({ready ? kOk : kServiceUnavailable, {}, ready ? "ready\n" : "not ready\n"});
    } else {
      exchange->respond({kNotFound, {}, "not found\n"});
    }
  }

  void drain(std::function<void()> callback) {
    if (draining) return;
    draining = true;
    stopped = std::move(callback);
    callerServer.stopAccepting();
    node->drain(settings.drainTimeout, [this] {
      callerServer.stopAcceptingAndCloseIdle();
      flushUntil = clock.now() + kFlushTimeout;
      flush();
    });
  }

  /// Called when the node has finished all requests. Waits until callers have received their last
  /// bytes or kFlushTimeout has passed, then closes their connections.
  void flush() {
    if (callerServer.openConnections() > 0 && clock.now() < flushUntil) {
      timers.schedule(kFlushInterval, [this] { flush(); });
      return;
    }
    callerServer.close();
    if (stopped) stopped();
  }

  boost::asio::io_context& context;
  Settings settings;
  NodeFactory factory;
  NodeMetrics metrics;
  CountingEventLog log;
  HandlerFailureLog handlerFailures{context, log};
  AsioClock clock;
  AsioTimerService timers;
  base::SeededRandom random;
  MemoryAccountPtr memory = std::make_shared<MemoryAccount>(planMemory(0).bounds);
  AsioPeerTransport peers;
  HttpClient platformHttp;
  HttpClient backEndHttp;
  HttpTableClient table;
  HttpObjectStoreClient objects;
  HttpMachineListClient machines;
  HttpEngineClient engines;
  HttpApplicationClient applications;
  std::unique_ptr<node::Node> node;
  std::unique_ptr<CallerGateway> callers;
  std::unique_ptr<OperatorGateway> operators;
  // Destroyed before the members above, so that exchanges end before the objects that they use.
  HttpServer callerServer;
  HttpServer operatorServer;
  HttpServer metricsServer;
  DaemonEndpoints endpoints;
  bool draining = false;
  std::function<void()> stopped;
  base::TimePoint flushUntil;
};

Daemon::Daemon(boost::asio::io_context& context, Settings settings, base::EventLog& log,
               const NodeFactory& factory)
    : impl_(std::make_unique<Impl>(context, std::move(settings), log, factory)) {}
Daemon::~Daemon() = default;

bool Daemon::start(base::Reason& reason) { return impl_->start(reason); }
const DaemonEndpoints& Daemon::endpoints() const { return impl_->endpoints; }
node::Node& Daemon::node() { return *impl_->node; }
void Daemon::drain(std::function<void()> stopped) { impl_->drain(std::move(stopped)); }

}  // namespace covewing::live
