#include "engine_routing/probe_pool_policy.h"

#include <algorithm>
#include <numeric>
#include <optional>
#include <tuple>
#include <utility>

#include "engine_routing/candidates.h"

namespace covewing::engine_routing {

ProbePoolPolicy::ProbePoolPolicy(PolicyEnvironment environment)
    : environment_(std::move(environment)) {}

void ProbePoolPolicy::choose(RouteQuery query, RouteCallback callback) {
  const auto engines = qualifyingEngines(environment_.fleet, query);
  if (engines.empty()) return callback(noEngine(query));
  expireProbes();
  const auto best = bestProbe(query);
  const EngineState* chosen = best ? environment_.fleet.find(pool_[*best].engine)
                                   : engines[environment_.random.below(engines.size())];
  RouteDecision decision = decideFor(*chosen);
  if (best) {
    Probe& probe = pool_[*best];
    ++probe.requests;
    probe.queuedTokens += query.promptTokens;
    if (++probe.uses >= options_.maximumUses) pool_.erase(pool_.begin() + static_cast<long>(*best));
  }
  sendProbes(engines);
  callback(std::move(decision));
}

void ProbePoolPolicy::onDispatched(const RouteQuery& /*query*/, const RouteDecision& /*decision*/) {
}

void ProbePoolPolicy::sendProbes(const std::vector<const EngineState*>& engines) {
  if (environment_.engines == nullptr) return;
  auto sampled = engines;
  const auto count = std::min(options_.probesPerRequest, sampled.size());
  for (std::size_t index = 0; index < count; ++index) {
    std::swap(sampled[index], sampled[index + environment_.random.below(sampled.size() - index)]);
    const auto& address = sampled[index]->address;
    environment_.engines->poll(address, nextSequence_[address.id],
                               [this, alive = std::weak_ptr(lifetime_), engine = address.id](
                                   const std::optional<clients::EngineReport>& report) {
                                 if (!alive.expired() && report) onProbeReply(engine, *report);
                               });
  }
}

void ProbePoolPolicy::onProbeReply(base::EngineId engine, const clients::EngineReport& report) {
  nextSequence_[engine] = report.nextSequence;
  const auto& load = report.load;
  Probe probe;
  probe.engine = engine;
  probe.receivedAt = environment_.clock.now();
  probe.requests = std::accumulate(load.waiting.begin(), load.waiting.end(), load.running);
  probe.queuedTokens = std::accumulate(load.queuedPrefillTokens.begin(),
                                       load.queuedPrefillTokens.end(), std::uint64_t{0});
  pool_.push_back(probe);
  if (pool_.size() > options_.poolSize) pool_.erase(pool_.begin());
  recentRequestCounts_.push_back(probe.requests);
  if (recentRequestCounts_.size() > options_.historySize) recentRequestCounts_.pop_front();
}

void ProbePoolPolicy::expireProbes() {
  const auto oldest = environment_.clock.now() - options_.probeLifetime;
  std::erase_if(pool_, [&](const Probe& probe) { return probe.receivedAt < oldest; });
}

std::uint32_t ProbePoolPolicy::hotThreshold() const {
  std::vector<std::uint32_t> sorted(recentRequestCounts_.begin(), recentRequestCounts_.end());
  std::sort(sorted.begin(), sorted.end());
  const auto rank =
      static_cast<std::size_t>(options_.hotQuantile * static_cast<double>(sorted.size() - 1));
  return sorted[rank];
}

std::optional<std::size_t> ProbePoolPolicy::bestProbe(const RouteQuery& query) const {
  if (pool_.empty()) return std::nullopt;
  const auto threshold = hotThreshold();
  // Cold engines precede hot ones; cold engines are ordered by latency, hot ones by requests in
  // flight.
  const auto rankOf = [&](const Probe& probe) {
    const bool hot = probe.requests > threshold;
    return std::tuple(hot, hot ? probe.requests : probe.queuedTokens);
  };
  std::optional<std::size_t> best;
  for (std::size_t index = 0; index < pool_.size(); ++index) {
    const EngineState* engine = environment_.fleet.find(pool_[index].engine);
    if (engine == nullptr || !qualifies(*engine, query)) continue;
    if (!best || rankOf(pool_[index]) < rankOf(pool_[*best])) best = index;
  }
  return best;
}

}  // namespace covewing::engine_routing
