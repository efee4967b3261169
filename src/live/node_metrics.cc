#include "live/node_metrics.h"

#include <array>
#include <map>

#include "live/metric_families.h"
#include "live/process_usage.h"

namespace covewing::live {

namespace {

using Labels = std::map<std::string, std::string>;

constexpr MetricEntry kTable[] = {
    {"covewing_caller_connections", "gauge", "", "open connections of callers"},
    {"covewing_caller_disconnects_total", "counter", "",
     "callers that went away before their answer was complete"},
    {"covewing_caller_pauses_total", "counter", "",
     "times that a stream was paused for a slow caller"},
    {"covewing_configuration_confirmed", "gauge", "",
     "1 while the configuration is confirmed as current, else 0"},
    {"covewing_configuration_revision", "gauge", "",
     "highest revision of the configuration in force here"},
    {"covewing_engines", "gauge", "", "engines that this node knows and can reach"},
    {"covewing_events_total", "counter", "event", "log events by name (docs/EVENTS.md)"},
    {"covewing_first_token_seconds", "histogram", "kind",
     "time from a request's arrival to its first token"},
    {"covewing_lease_held", "gauge", "", "1 while this node holds its region's lease, else 0"},
    {"covewing_members", "gauge", "", "live members, this node included"},
    {"covewing_open_requests", "gauge", "", "requests in flight, held ones included"},
    {"covewing_orders_open", "gauge", "", "orders to engines that this node executes"},
    {"covewing_output_tokens_total", "counter", "", "tokens of complete answers"},
    {"covewing_peer_bytes_total", "counter", "direction",
     "bytes of frames between nodes, without UDP, TCP and IP headers"},
    {"covewing_peer_frames_dropped_total", "counter", "",
     "frames that could not be handed to the network"},
    {"covewing_peer_frames_rejected_total", "counter", "",
     "frames that were malformed or of another version"},
    {"covewing_peer_frames_total", "counter", "direction", "frames between nodes"},
    {"covewing_process_cpu_seconds_total", "counter", "", "processor time of the process"},
    {"covewing_process_resident_bytes", "gauge", "", "resident memory of the process"},
    {"covewing_prompt_tokens_cached_total", "counter", "",
     "prompt tokens of complete answers that engines took from their caches"},
    {"covewing_prompt_tokens_total", "counter", "", "prompt tokens of complete answers"},
    {"covewing_ready", "gauge", "", "1 while the node serves callers, else 0"},
    {"covewing_request_seconds", "histogram", "kind",
     "time from a request's arrival to its complete answer"},
    {"covewing_requests_total", "counter", "kind, code",
     "answered requests by kind and name of the result code (docs/CODES.md)"},
};

constexpr std::array<std::string_view, 4> kKindNames = {"chat", "text", "models", "proxied"};

const prometheus::Histogram::BucketBoundaries kSecondsBuckets = {
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60};

}  // namespace

std::span<const MetricEntry> metricTable() { return kTable; }

struct NodeMetrics::Impl {
  /// Increases a counter to a total that is counted elsewhere.
  static void raise(prometheus::Counter& counter, double total) {
    counter.Increment(total - counter.Value());
  }

  MetricFamilies families{kTable};
  prometheus::Gauge& connections = families.gauges("covewing_caller_connections").Add({});
  prometheus::Counter& disconnects = families.counters("covewing_caller_disconnects_total").Add({});
  prometheus::Counter& pauses = families.counters("covewing_caller_pauses_total").Add({});
  prometheus::Gauge& confirmed = families.gauges("covewing_configuration_confirmed").Add({});
  prometheus::Gauge& revision = families.gauges("covewing_configuration_revision").Add({});
  prometheus::Gauge& engines = families.gauges("covewing_engines").Add({});
  prometheus::Family<prometheus::Counter>& events = families.counters("covewing_events_total");
  prometheus::Family<prometheus::Histogram>& firstToken =
      families.histograms("covewing_first_token_seconds");
  prometheus::Gauge& members = families.gauges("covewing_members").Add({});
  prometheus::Gauge& leaseHeld = families.gauges("covewing_lease_held").Add({});
  prometheus::Gauge& ordersOpen = families.gauges("covewing_orders_open").Add({});
  prometheus::Gauge& openRequests = families.gauges("covewing_open_requests").Add({});
  prometheus::Counter& outputTokens = families.counters("covewing_output_tokens_total").Add({});
  prometheus::Family<prometheus::Counter>& peerBytes =
      families.counters("covewing_peer_bytes_total");
  prometheus::Counter& peerDropped =
      families.counters("covewing_peer_frames_dropped_total").Add({});
  prometheus::Counter& peerRejected =
      families.counters("covewing_peer_frames_rejected_total").Add({});
  prometheus::Family<prometheus::Counter>& peerFrames =
      families.counters("covewing_peer_frames_total");
  prometheus::Counter& cpu = families.counters("covewing_process_cpu_seconds_total").Add({});
  prometheus::Gauge& resident = families.gauges("covewing_process_resident_bytes").Add({});
  prometheus::Counter& cachedTokens =
      families.counters("covewing_prompt_tokens_cached_total").Add({});
  prometheus::Counter& promptTokens = families.counters("covewing_prompt_tokens_total").Add({});
  prometheus::Gauge& ready = families.gauges("covewing_ready").Add({});
  prometheus::Family<prometheus::Histogram>& requestTime =
      families.histograms("covewing_request_seconds");
  prometheus::Family<prometheus::Counter>& requests = families.counters("covewing_requests_total");
};

namespace {
Labels kindLabel(RequestKind kind) {
  return {{"kind", std::string{kKindNames.at(static_cast<std::size_t>(kind))}}};
}
}  // namespace

NodeMetrics::NodeMetrics() : impl_(std::make_unique<Impl>()) {}
NodeMetrics::~NodeMetrics() = default;

void NodeMetrics::onRequestFinished(RequestKind kind, base::ResultCode code) {
  auto labels = kindLabel(kind);
  labels.emplace("code", base::describe(code).name);
  impl_->requests.Add(labels).Increment();
}

void NodeMetrics::onFirstToken(RequestKind kind, base::Duration sinceArrival) {
  impl_->firstToken.Add(kindLabel(kind), kSecondsBuckets).Observe(base::toSeconds(sinceArrival));
}

void NodeMetrics::onCompleted(RequestKind kind, base::Duration sinceArrival,
                              const clients::StreamEnd& end) {
  impl_->requestTime.Add(kindLabel(kind), kSecondsBuckets).Observe(base::toSeconds(sinceArrival));
  impl_->outputTokens.Increment(end.outputTokens);
  impl_->promptTokens.Increment(end.promptTokens);
  impl_->cachedTokens.Increment(end.cachedTokens);
}

void NodeMetrics::onCallerPaused() { impl_->pauses.Increment(); }
void NodeMetrics::onCallerDisconnected() { impl_->disconnects.Increment(); }

void NodeMetrics::onEvent(base::Event event) {
  impl_->events.Add({{"event", std::string{base::describe(event).name}}}).Increment();
}

std::string NodeMetrics::render(const Snapshot& snapshot) {
  const auto freshness = snapshot.node.configuration().freshness();
  impl_->connections.Set(static_cast<double>(snapshot.callerConnections));
  impl_->confirmed.Set(freshness.confirmed ? 1 : 0);
  impl_->revision.Set(static_cast<double>(freshness.revision));
  double reachable = 0;
  for (const auto& engine : snapshot.node.fleet().engines())
    reachable += engine.unreachable ? 0 : 1;
  impl_->engines.Set(reachable);
  impl_->members.Set(static_cast<double>(snapshot.node.members().liveMembers().size()));
  impl_->openRequests.Set(static_cast<double>(snapshot.openRequests));
  const node::CoordinationStatus coordination = snapshot.node.coordination();
  impl_->leaseHeld.Set(coordination.lease.held ? 1 : 0);
  impl_->ordersOpen.Set(static_cast<double>(coordination.openOrders));
  impl_->ready.Set(snapshot.node.ready() ? 1 : 0);
  impl_->resident.Set(residentBytes());
  Impl::raise(impl_->cpu, processorSeconds());
  const auto& peers = snapshot.peers;
  const Labels sent = {{"direction", "sent"}};
  const Labels received = {{"direction", "received"}};
  Impl::raise(impl_->peerFrames.Add(sent), static_cast<double>(peers.sentFrames));
  Impl::raise(impl_->peerFrames.Add(received), static_cast<double>(peers.receivedFrames));
  Impl::raise(impl_->peerBytes.Add(sent), static_cast<double>(peers.sentBytes));
  Impl::raise(impl_->peerBytes.Add(received), static_cast<double>(peers.receivedBytes));
  Impl::raise(impl_->peerDropped, static_cast<double>(peers.droppedFrames));
  Impl::raise(impl_->peerRejected, static_cast<double>(peers.rejectedFrames));
  return impl_->families.render();
}

}  // namespace covewing::live
