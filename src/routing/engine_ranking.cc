#include "routing/engine_ranking.h"

#include <algorithm>
#include <optional>
#include <vector>

#include "prefix/prompt.h"
#include "routing/candidates.h"

namespace covewing::routing {

namespace {

struct Ranked {
  const EngineState* engine = nullptr;
  EngineLookupResult knowledge;
  ServiceEstimate estimate;
};

std::uint32_t tokensOf(std::uint32_t blocks) {
  return blocks * static_cast<std::uint32_t>(prefix::kTokensPerBlock);
}

base::Duration distanceTo(const EngineState& engine, const NodeContext& context,
                          const ServiceModel& service) {
  if (engine.zone == context.zone) return base::Duration::zero();
  return engine.region == context.region ? service.otherZone : service.otherRegion;
}

std::uint64_t averageTokensAhead(const LookupResult& result) {
  std::uint64_t sum = 0;
  std::uint64_t count = 0;
  for (const auto& knowledge : result.engines) {
    if (!knowledge.known) continue;
    sum += knowledge.tokensAhead;
    ++count;
  }
  return count == 0 ? 0 : sum / count;
}

ServiceInput serviceInput(const EngineState& engine, const EngineLookupResult& knowledge,
                          const RouteQuery& query, const LookupResult& result) {
  ServiceInput input;
  input.promptTokens = query.promptTokens;
  input.storedTokens = tokensOf(result.exportedBlocks);
  input.tokensAhead = knowledge.tokensAhead;
  input.requests = knowledge.requests;
  // What is known of another incarnation's cache does not count.
  if (knowledge.known && knowledge.incarnation == engine.incarnation) {
    input.cachedTokens = tokensOf(knowledge.matchedBlocks);
    input.doubtful = knowledge.doubtful;
  }
  return input;
}

std::vector<Ranked> rank(const FleetView& fleet, const RouteQuery& query,
                         const LookupResult& result, const PolicyTuning& tuning,
                         const NodeContext& context) {
  const std::uint64_t average = averageTokensAhead(result);
  std::vector<Ranked> ranking;
  for (const auto& knowledge : result.engines) {
    const EngineState* engine = fleet.find(knowledge.engine);
    if (engine == nullptr || !qualifies(*engine, query)) continue;
    Ranked ranked{engine, knowledge, {}};
    if (!knowledge.known) ranked.knowledge.tokensAhead = average;
    ServiceInput input = serviceInput(*engine, ranked.knowledge, query, result);
    input.importWait = context.importWait;
    input.distance = distanceTo(*engine, context, tuning.service);
    ranked.estimate = estimateService(tuning.service, input);
    ranking.push_back(ranked);
  }
  return ranking;
}

std::size_t drawNearEqual(const std::vector<Ranked>& ranking, base::Duration nearEqual,
                          base::RandomSource& random) {
  const bool anyKnown = std::any_of(ranking.begin(), ranking.end(),
                                    [](const Ranked& ranked) { return ranked.knowledge.known; });
  if (!anyKnown) return 0;
  base::Duration best = base::Duration::max();
  for (const auto& ranked : ranking) best = std::min(best, ranked.estimate.cost);
  std::vector<std::size_t> near;
  for (std::size_t index = 0; index < ranking.size(); ++index) {
    if (ranking[index].estimate.cost <= best + nearEqual) near.push_back(index);
  }
  return near[random.below(near.size())];
}

RouteCandidate describeCandidate(const Ranked& ranked) {
  RouteCandidate candidate;
  candidate.engine = ranked.engine->address.id;
  candidate.name = ranked.engine->address.name;
  candidate.matchedBlocks = ranked.knowledge.matchedBlocks;
  candidate.doubtful = ranked.knowledge.doubtful;
  candidate.expectedTimeToFirstToken = ranked.estimate.timeToFirstToken;
  if (!ranked.knowledge.known) candidate.note = "no home answered";
  if (ranked.estimate.importedTokens > 0) candidate.note = "import";
  return candidate;
}

}  // namespace

RouteDecision chooseByService(const FleetView& fleet, const RouteQuery& query,
                              const LookupResult& result, const PolicyTuning& tuning,
                              const NodeContext& context, base::RandomSource& random) {
  const auto ranking = rank(fleet, query, result, tuning, context);
  if (ranking.empty()) return noEngine(query);
  const Ranked& chosen = ranking[drawNearEqual(ranking, tuning.nearEqual, random)];
  RouteDecision decision = decideFor(*chosen.engine);
  decision.matchedBlocks = chosen.knowledge.matchedBlocks;
  decision.expectedTimeToFirstToken = chosen.estimate.timeToFirstToken;
  decision.uncachedTokens = chosen.estimate.uncachedTokens;
  decision.lookupId = result.lookupId;
  decision.importedTokens = chosen.estimate.importedTokens;
  if (decision.importedTokens > 0) decision.importBlocks = result.exportedBlocks;
  const bool worthKeeping = result.sharedBlocks >= tuning.minimumExportBlocks;
  if (worthKeeping && result.exportedBlocks < result.sharedBlocks)
    decision.exportBlocks = result.sharedBlocks;
  for (const auto& ranked : ranking) decision.candidates.push_back(describeCandidate(ranked));
  return decision;
}

}  // namespace covewing::routing
