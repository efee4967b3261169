#include "engine_routing/prefix_affinity_policy.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "engine_routing/candidates.h"
#include "engine_routing/engine_ranking.h"
#include "prefix/checkpoints.h"

namespace covewing::engine_routing {

namespace {

/// Load that the decoding steps of a request add to its prefill, expressed in prompt tokens.
constexpr std::uint32_t kDecodeTokens = 200;

}  // namespace

PrefixAffinityPolicy::PrefixAffinityPolicy(PolicyEnvironment environment)
    : environment_(std::move(environment)),
      prefixDemand_({}),
      imports_(environment_.tuning.service.importTokensPerSecond) {}

std::string_view PrefixAffinityPolicy::region() const {
  return environment_.members == nullptr ? std::string_view{}
                                         : std::string_view{environment_.members->self().region};
}

std::size_t PrefixAffinityPolicy::liveNodes() const {
  return environment_.members == nullptr ? 1 : environment_.members->liveMembers().size();
}

std::size_t PrefixAffinityPolicy::candidateCount(std::uint64_t root, base::TimePoint now) {
  const auto& tuning = environment_.tuning;
  // Callers are spread evenly over all nodes, so the total rate is extrapolated from this node's
  // own.
  const double demand = prefixDemand_.tokensPerSecond(root, now) *
                        static_cast<double>(liveNodes()) / tuning.service.prefillTokensPerSecond;
  const auto extra = static_cast<std::size_t>(std::floor(demand * tuning.candidatesPerDemand));
  const auto wanted = std::min(tuning.candidates + extra, tuning.maximumCandidates);
  return std::max<std::size_t>(1, prefixDemand_.holderCount(root, wanted, now));
}

std::vector<base::EngineId> PrefixAffinityPolicy::candidates(const RouteQuery& query) {
  const auto& tuning = environment_.tuning;
  auto engines = qualifyingEngines(environment_.fleet, query);
  const auto root = prefixKey(query, tuning.rootBlock);
  sortByRendezvous(engines, root);
  const auto regular = std::min(candidateCount(root, environment_.clock.now()), engines.size());
  // Places randomly drawn engines behind the regular ones.
  const auto wanted = std::min(regular + tuning.spillCandidates, engines.size());
  for (std::size_t index = regular; index < wanted; ++index) {
    const auto drawn = index + environment_.random.below(engines.size() - index);
    std::swap(engines[index], engines[drawn]);
  }
  std::vector<base::EngineId> ids;
  for (std::size_t index = 0; index < wanted; ++index) ids.push_back(engines[index]->address.id);
  return ids;
}

void PrefixAffinityPolicy::choose(RouteQuery query, RouteCallback callback) {
  const auto engines = candidates(query);
  if (engines.empty()) return callback(noEngine(query));
  if (environment_.lookup == nullptr) {
    return callback(decideFor(*environment_.fleet.find(engines.front())));
  }
  const auto checkpoints =
      query.chain ? prefix::checkpointsOf(*query.chain) : prefix::Checkpoints{};
  const auto priority = query.priority;
  environment_.lookup->lookup(
      priority, engines, checkpoints,
      [this, alive = std::weak_ptr(lifetime_), query = std::move(query),
       callback = std::move(callback)](const LookupResult& result) {
        if (alive.expired()) return;
        callback(
            chooseByService(environment_.fleet, query, result, environment_.tuning,
                            {environment_.zone, region(), imports_.wait(environment_.clock.now())},
                            environment_.random));
      });
}

void PrefixAffinityPolicy::onDispatched(const RouteQuery& query, const RouteDecision& decision) {
  if (!decision.engine) return;
  const auto root = prefixKey(query, environment_.tuning.rootBlock);
  const auto now = environment_.clock.now();
  prefixDemand_.record(root, decision.uncachedTokens + kDecodeTokens, now);
  imports_.onImport(decision.importedTokens, liveNodes(), now);
  if (environment_.lookup == nullptr) return;
  environment_.lookup->announce(decision.lookupId, *decision.engine, query.priority,
                                decision.uncachedTokens);
}

void PrefixAffinityPolicy::onFinished(base::EngineId /*engine*/, std::uint32_t /*promptTokens*/,
                                      std::uint32_t /*cachedTokens*/,
                                      base::Duration /*timeToFirstToken*/) {}

}  // namespace covewing::engine_routing
