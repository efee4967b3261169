/// \file
/// Metrics of one node in the Prometheus text format. docs/METRICS.md contains the same table.
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "base/event_log.h"
#include "base/result_code.h"
#include "base/time.h"
#include "clients/engine_client.h"
#include "live/metric_entry.h"
#include "live/peer_transport.h"
#include "node/node.h"

namespace covewing::live {

/// Returns all metrics, sorted by name.
std::span<const MetricEntry> metricTable();

/// Kind of a caller's request, used as a label of metrics.
enum class RequestKind : std::uint8_t { kChat, kText, kModels, kProxied };

class NodeMetrics {
 public:
  NodeMetrics();
  ~NodeMetrics();
  NodeMetrics(const NodeMetrics&) = delete;
  NodeMetrics& operator=(const NodeMetrics&) = delete;

  /// Called when a request has received its final response.
  void onRequestFinished(RequestKind kind, base::ResultCode code);
  void onFirstToken(RequestKind kind, base::Duration sinceArrival);
  void onCompleted(RequestKind kind, base::Duration sinceArrival, const clients::StreamEnd& end);
  void onCallerPaused();
  void onCallerDisconnected();
  void onEvent(base::Event event);

  /// State that is sampled when the metrics are rendered.
  struct Snapshot {
    const node::Node& node;
    std::size_t openRequests = 0;
    std::size_t callerConnections = 0;
    const PeerTransportCounters& peers;
  };
  /// Returns all metrics in the text exposition format.
  std::string render(const Snapshot& snapshot);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace covewing::live
