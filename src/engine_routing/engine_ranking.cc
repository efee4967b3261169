#include "engine_routing/engine_ranking.h"

#include <algorithm>
#include <optional>
#include <vector>

#include "engine_routing/candidates.h"
#include "prefix/prompt.h"

namespace covewing::engine_routing {

namespace {

struct RankedEngine {
  const EngineState* engine = nullptr;
  EngineLookupResult engineResult;
  ServiceEstimate estimate;
};

std::uint32_t tokensOf(std::uint32_t blocks) {
  return blocks * static_cast<std::uint32_t>(prefix::kTokensPerBlock);
}

base::Duration networkRoundTrip(const EngineState& engine, const NodeContext& context,
                                const ServiceModel& service) {
  if (engine.zone == context.zone) return base::Duration::zero();
  return engine.region == context.region ? service.otherZone : service.otherRegion;
}

std::uint64_t averageTokensAhead(const LookupResult& result) {
  std::uint64_t sum = 0;
  std::uint64_t count = 0;
  for (const auto& engineResult : result.engines) {
    if (!engineResult.known) continue;
    sum += engineResult.tokensAhead;
    ++count;
  }
  return count == 0 ? 0 : sum / count;
}

ServiceInput serviceInput(const EngineState& engine, const EngineLookupResult& engineResult,
                          const RouteQuery& query, const LookupResult& result) {
  ServiceInput input;
  input.promptTokens = query.promptTokens;
  input.storedTokens = tokensOf(result.exportedBlocks);
  input.tokensAhead = engineResult.tokensAhead;
  input.requests = engineResult.requests;
  // The cache state of another incarnation does not apply.
  if (engineResult.known && engineResult.incarnation == engine.incarnation) {
    input.cachedTokens = tokensOf(engineResult.matchedBlocks);
    input.doubtful = engineResult.doubtful;
  }
  return input;
}

std::vector<RankedEngine> rankEngines(const FleetView& fleet, const RouteQuery& query,
                                      const LookupResult& result, const PolicyTuning& tuning,
                                      const NodeContext& context) {
  const std::uint64_t average = averageTokensAhead(result);
  std::vector<RankedEngine> ranking;
  for (const auto& engineResult : result.engines) {
    const EngineState* engine = fleet.find(engineResult.engine);
    if (engine == nullptr || !qualifies(*engine, query)) continue;
    RankedEngine ranked{engine, engineResult, {}};
    if (!engineResult.known) ranked.engineResult.tokensAhead = average;
    ServiceInput input = serviceInput(*engine, ranked.engineResult, query, result);
    input.importWait = context.importWait;
    input.distance = networkRoundTrip(*engine, context, tuning.service);
    ranked.estimate = estimateService(tuning.service, input);
    ranking.push_back(ranked);
  }
  return ranking;
}

std::size_t drawNearEqual(const std::vector<RankedEngine>& ranking,
                          base::Duration nearEqualTolerance, base::RandomSource& random) {
  const bool anyKnown = std::any_of(ranking.begin(), ranking.end(), [](const RankedEngine& ranked) {
    return ranked.engineResult.known;
  });
  if (!anyKnown) return 0;
  base::Duration best = base::Duration::max();
  for (const auto& ranked : ranking) best = std::min(best, ranked.estimate.cost);
  std::vector<std::size_t> nearBest;
  for (std::size_t index = 0; index < ranking.size(); ++index) {
    if (ranking[index].estimate.cost <= best + nearEqualTolerance) nearBest.push_back(index);
  }
  return nearBest[random.below(nearBest.size())];
}

RouteCandidate describeCandidate(const RankedEngine& ranked) {
  RouteCandidate candidate;
  candidate.engine = ranked.engine->address.id;
  candidate.name = ranked.engine->address.name;
  candidate.matchedBlocks = ranked.engineResult.matchedBlocks;
  candidate.doubtful = ranked.engineResult.doubtful;
  candidate.expectedTimeToFirstToken = ranked.estimate.timeToFirstToken;
  if (!ranked.engineResult.known) candidate.note = "no home answered";
  if (ranked.estimate.importedTokens > 0) candidate.note = "import";
  return candidate;
}

}  // namespace

RouteDecision chooseByService(const FleetView& fleet, const RouteQuery& query,
                              const LookupResult& result, const PolicyTuning& tuning,
                              const NodeContext& context, base::RandomSource& random) {
  const auto ranking = rankEngines(fleet, query, result, tuning, context);
  if (ranking.empty()) return noEngine(query);
  const RankedEngine& chosen = ranking[drawNearEqual(ranking, tuning.nearEqualTolerance, random)];
  RouteDecision decision = decideFor(*chosen.engine);
  decision.matchedBlocks = chosen.engineResult.matchedBlocks;
  decision.expectedTimeToFirstToken = chosen.estimate.timeToFirstToken;
  decision.uncachedTokens = chosen.estimate.uncachedTokens;
  decision.lookupId = result.lookupId;
  decision.importedTokens = chosen.estimate.importedTokens;
  if (decision.importedTokens > 0) decision.importBlocks = result.exportedBlocks;
  const bool worthExporting = result.recentlyRequestedBlocks >= tuning.minimumExportBlocks;
  if (worthExporting && result.exportedBlocks < result.recentlyRequestedBlocks)
    decision.exportBlocks = result.recentlyRequestedBlocks;
  for (const auto& ranked : ranking) decision.candidates.push_back(describeCandidate(ranked));
  return decision;
}

}  // namespace covewing::engine_routing
