/// \file
/// Baseline policy that keeps a pool of load probes. Each request sends a few probes to random
/// engines, and the replies are added to a small pool. An engine is hot if its requests in flight
/// exceed a quantile of those seen recently; the cold engine with the lowest expected latency is
/// chosen. Caches are not considered.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <vector>

#include "engine_routing/policy_factory.h"

namespace covewing::engine_routing {

struct ProbePoolOptions {
  /// Number of probes sent for each request.
  std::size_t probesPerRequest = 3;
  std::size_t poolSize = 16;
  base::Duration probeLifetime = std::chrono::seconds(1);
  /// Number of times that a probe is used before it is removed.
  std::uint32_t maximumUses = 3;
  /// Engines whose number of requests in flight is above this quantile are hot.
  double hotQuantile = 0.84;
  /// Number of recent replies from which the quantile is computed.
  std::size_t historySize = 128;
};

class ProbePoolPolicy final : public RoutingPolicy {
 public:
  explicit ProbePoolPolicy(PolicyEnvironment environment);
  std::string_view name() const override { return "probe_pool"; }
  void choose(RouteQuery query, RouteCallback callback) override;
  void onDispatched(const RouteQuery& query, const RouteDecision& decision) override;
  void onFinished(base::EngineId /*engine*/, std::uint32_t /*promptTokens*/,
                  std::uint32_t /*cachedTokens*/, base::Duration /*timeToFirstToken*/) override {}

 private:
  struct Probe {
    base::EngineId engine;
    base::TimePoint receivedAt{};
    std::uint32_t requests = 0;
    /// Queued prompt tokens, used as the measure of expected latency.
    std::uint64_t queuedTokens = 0;
    std::uint32_t uses = 0;
  };

  void sendProbes(const std::vector<const EngineState*>& engines);
  void onProbeReply(base::EngineId engine, const clients::EngineReport& report);
  void expireProbes();
  std::uint32_t hotThreshold() const;
  /// Returns the index in the pool of the best probe of a qualifying engine; empty if there is
  /// none.
  std::optional<std::size_t> bestProbe(const RouteQuery& query) const;

  PolicyEnvironment environment_;
  ProbePoolOptions options_;
  std::vector<Probe> pool_;
  std::deque<std::uint32_t> recentRequestCounts_;
  std::map<base::EngineId, std::uint64_t> nextSequence_;
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

}  // namespace covewing::engine_routing
