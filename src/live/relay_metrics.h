/// \file
/// Metrics of a relaying node, in the text format of Prometheus. docs/RELAY.md has the same table.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>

#include "admission/tenant_quotas.h"
#include "base/event_log.h"
#include "base/revision.h"
#include "base/time.h"
#include "live/memory_account.h"
#include "live/metric_entry.h"
#include "live/peer_relay.h"
#include "live/peer_traffic.h"
#include "request/relay_flow.h"

namespace covewing::live {

/// All metrics of a relaying node, sorted by name.
std::span<const MetricEntry> relayMetricTable();

class RelayMetrics {
 public:
  RelayMetrics();
  ~RelayMetrics();
  RelayMetrics(const RelayMetrics&) = delete;
  RelayMetrics& operator=(const RelayMetrics&) = delete;

  void onRelayFinished(const config::Route& route, const request::RelayOutcome& outcome);
  void onEvent(base::Event event);
  void onPause(base::Duration duration);
  /// A caller's request was read `delay` after it had arrived.
  void onRequestRead(base::Duration delay);

  /// State that is sampled when metrics are requested.
  struct Snapshot {
    bool ready = false;
    bool leaseHeld = false;
    std::uint64_t configurationVersion = 0;
    /// Time since the configuration was last confirmed as current; empty if it never was.
    std::optional<base::Duration> configurationAge;
    std::size_t members = 0;
    /// How late a timer ran at most since the last snapshot.
    base::Duration longestTimerDelay{};
    std::size_t openRequests = 0;
    std::size_t callerConnections = 0;
    std::size_t maximumCallerConnections = 0;
    std::uint64_t connectionsClosedForRoom = 0;
    /// Memory held for others, by class (MemoryClass).
    std::array<std::size_t, kMemoryClasses> heldBytes{};
    std::uint64_t requestsNotReceived = 0;
    std::size_t knownParts = 0;
    std::size_t quarantinedRequests = 0;
    std::size_t quarantinedParts = 0;
    /// Era of the table service; 0 if it reports none.
    base::StoreEra storeEra = 0;
    std::size_t replicasAvailable = 0;
    std::size_t replicasDraining = 0;
    std::size_t replicasBackingOff = 0;
    /// Replicas that report a rate limit; they are also counted in one of the other states.
    std::size_t replicasRateLimited = 0;
    std::size_t replicasEjected = 0;
    std::size_t replicasChanging = 0;
    /// Replicas that this node does not reach by connections of its own.
    std::size_t failedLinks = 0;
    PeerRelayCounters peerRelay;
    routing::PlacementCounters placement;
    admission::QuotaCounts quotas;
    std::array<ChannelTraffic, kChannelArraySize> traffic{};
  };
  /// All metrics in the text exposition format.
  std::string render(const Snapshot& snapshot);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace covewing::live
