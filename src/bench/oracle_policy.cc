#include "bench/oracle_policy.h"

#include <algorithm>
#include <utility>

#include "prefix/prompt.h"

namespace covewing::bench {

using base::Duration;

namespace {
/// Time after which a dispatched request that its engine has not accepted is assumed to be lost.
constexpr Duration kMaximumTransit = std::chrono::seconds(1);
/// Expected wait for memory if an engine cannot start the request at once.
constexpr Duration kMemoryWait = std::chrono::milliseconds(500);
/// Number of prompts that must contain a block before it is exported to the store.
constexpr std::uint32_t kUsesForExport = 2;
}  // namespace

OracleKnowledge::OracleKnowledge(OracleOptions options, const sim::Scheduler& scheduler,
                                 const std::vector<OracleEngine>& engines,
                                 const emulator::KeptCacheStoreModel* keptCacheStore,
                                 emulator::KeptCacheStoreOptions storeOptions)
    : options_(options),
      scheduler_(scheduler),
      store_(keptCacheStore),
      storeOptions_(storeOptions) {
  for (const OracleEngine& engine : engines) engines_[engine.model->id()].engine = engine;
}

Duration OracleKnowledge::computeTime(const OracleEngine& engine, std::uint64_t tokens,
                                      std::uint32_t decoding) {
  const std::uint64_t steps = std::max<std::uint64_t>(
      1, (tokens + engine.prefillTokensPerStep - 1) / engine.prefillTokensPerStep);
  return engine.step.perPrefillToken * static_cast<Duration::rep>(tokens) +
         (engine.step.base + engine.step.perDecodingSequence * decoding) *
             static_cast<Duration::rep>(steps);
}

OracleKnowledge::Estimate OracleKnowledge::estimate(EngineEntry& entry,
                                                    const engine_routing::RouteQuery& query,
                                                    std::uint32_t storedBlocks) const {
  const emulator::EngineModel& model = *entry.engine.model;
  const clients::EngineLoad load = model.currentLoad();
  std::erase_if(entry.inFlight, [this](const InFlight& request) {
    return scheduler_.now() - request.sentAt > kMaximumTransit;
  });
  std::uint64_t tokensAhead = 0;
  std::uint32_t waiting = 0;
  for (std::size_t index = 0; index <= static_cast<std::size_t>(query.priority); ++index) {
    tokensAhead += load.queuedPrefillTokens.at(index);
    waiting += load.waiting.at(index);
  }
  for (const InFlight& request : entry.inFlight) {
    if (request.priority <= query.priority) tokensAhead += request.tokens;
  }
  Estimate estimate;
  estimate.cachedBlocks = model.cachedLeadingBlocks(*query.chain);
  std::uint32_t reusedBlocks = estimate.cachedBlocks;
  Duration transfer{};
  if (storedBlocks > estimate.cachedBlocks) {
    const std::uint32_t imported = storedBlocks - estimate.cachedBlocks;
    const Duration importTime =
        store_->backlog() + storeOptions_.latency + storeOptions_.perBlock * imported;
    const Duration saved = computeTime(entry.engine, imported * prefix::kTokensPerBlock, 0);
    if (importTime < saved) {
      estimate.importBlocks = storedBlocks;
      reusedBlocks = storedBlocks;
      transfer = importTime;
    }
  }
  const std::uint64_t reused =
      std::min<std::uint64_t>(query.promptTokens, reusedBlocks * prefix::kTokensPerBlock);
  estimate.computedTokens = query.promptTokens - reused;
  const std::uint32_t decoding = load.running;
  const Duration ownComputeTime = computeTime(entry.engine, estimate.computedTokens, decoding);
  const Duration queueTime =
      tokensAhead == 0 ? Duration::zero() : computeTime(entry.engine, tokensAhead, decoding);
  estimate.firstToken = queueTime + transfer + ownComputeTime;
  const auto needed = static_cast<std::uint32_t>(query.chain->size()) - estimate.cachedBlocks;
  const bool memoryAvailable =
      waiting == 0 && model.cache().canReserve(needed, estimate.cachedBlocks);
  if (!memoryAvailable) estimate.firstToken += kMemoryWait;
  estimate.cost = base::toSeconds(estimate.firstToken) +
                  options_.computeWeight * base::toSeconds(ownComputeTime + transfer);
  return estimate;
}

engine_routing::RouteDecision OracleKnowledge::choose(const engine_routing::FleetView& fleet,
                                                      const engine_routing::RouteQuery& query) {
  engine_routing::RouteDecision decision;
  const std::uint32_t storedBlocks = store_ == nullptr ? 0 : store_->leadingBlocks(*query.chain);
  const engine_routing::EngineState* best = nullptr;
  Estimate bestEstimate;
  for (const engine_routing::EngineState& engine : fleet.engines()) {
    const auto entry = engines_.find(engine.address.id);
    if (entry == engines_.end() || !engine_routing::qualifies(engine, query)) continue;
    const emulator::EngineModel& model = *entry->second.engine.model;
    if (!model.isUp() || model.isPaused() || model.isLeaving()) continue;
    const Estimate candidate = estimate(entry->second, query, storedBlocks);
    if (best != nullptr && candidate.cost >= bestEstimate.cost) continue;
    best = &engine;
    bestEstimate = candidate;
  }
  if (best == nullptr) {
    decision.reason = {base::ResultCode::kNoBackEnd, "no engine qualifies"};
    return decision;
  }
  EngineEntry& chosen = engines_.at(best->address.id);
  chosen.inFlight.push_back(
      {query.requestId.value, query.priority, bestEstimate.computedTokens, scheduler_.now()});
  decision.engine = best->address.id;
  decision.incarnation = best->incarnation;
  decision.matchedBlocks = bestEstimate.cachedBlocks;
  decision.importBlocks = bestEstimate.importBlocks;
  decision.exportBlocks = exportBlocks(query, storedBlocks);
  decision.expectedTimeToFirstToken = bestEstimate.firstToken;
  return decision;
}

std::uint32_t OracleKnowledge::exportBlocks(const engine_routing::RouteQuery& query,
                                            std::uint32_t storedBlocks) {
  if (store_ == nullptr) return 0;
  std::uint32_t shared = 0;
  bool leading = true;
  for (const base::BlockHash block : *query.chain) {
    leading = ++uses_[block] >= kUsesForExport && leading;
    if (leading) ++shared;
  }
  return shared > storedBlocks ? shared : 0;
}

void OracleKnowledge::onAccepted(base::EngineId engine, const base::RequestId& request) {
  const auto entry = engines_.find(engine);
  if (entry == engines_.end()) return;
  std::erase_if(entry->second.inFlight,
                [&](const InFlight& sent) { return sent.request == request.value; });
}

}  // namespace covewing::bench
