/// \file
/// The reference policy of the benchmark. It reads the current cache and queue of every engine at
/// the time of each decision, and all nodes share its state. No real node has this information.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "emulator/engine_model.h"
#include "emulator/kept_cache_store_model.h"
#include "engine_routing/fleet_view.h"
#include "engine_routing/routing_policy.h"
#include "sim/scheduler.h"

namespace covewing::bench {

/// Engine model that the oracle reads, and its costs.
struct OracleEngine {
  const emulator::EngineModel* model = nullptr;
  emulator::StepCosts step;
  std::uint32_t prefillTokensPerStep = 512;
};

struct OracleOptions {
  /// Weight of the request's own computation and import time in the cost, in addition to the time
  /// to first token, because they delay later requests to the same engine.
  double computeWeight = 4;
};

/// State that the oracle policies of all nodes share. Used for one run of the benchmark.
class OracleKnowledge {
 public:
  OracleKnowledge(OracleOptions options, const sim::Scheduler& scheduler,
                  const std::vector<OracleEngine>& engines,
                  const emulator::KeptCacheStoreModel* keptCacheStore,
                  emulator::KeptCacheStoreOptions storeOptions);

  /// Chooses the engine of minimum cost among those of `fleet` that qualify for the query.
  engine_routing::RouteDecision choose(const engine_routing::FleetView& fleet,
                                       const engine_routing::RouteQuery& query);
  /// Must be called when an engine has accepted a request, as the request is then counted in the
  /// engine's own queue.
  void onAccepted(base::EngineId engine, const base::RequestId& request);

 private:
  /// A request that was dispatched and that its engine has not accepted yet.
  struct InFlight {
    std::string request;
    base::PriorityClass priority;
    /// Tokens to be computed by prefill.
    std::uint64_t tokens;
    base::TimePoint sentAt;
  };
  struct EngineEntry {
    OracleEngine engine;
    std::vector<InFlight> inFlight;
  };
  struct Estimate {
    base::Duration firstToken{};
    /// Weighted sum of times in seconds.
    double cost = 0;
    std::uint32_t cachedBlocks = 0;
    std::uint32_t importBlocks = 0;
    std::uint64_t computedTokens = 0;
  };

  Estimate estimate(EngineEntry& entry, const engine_routing::RouteQuery& query,
                    std::uint32_t storedBlocks) const;
  /// Time for the prefill of `tokens` tokens in steps that also decode `decoding` sequences.
  static base::Duration computeTime(const OracleEngine& engine, std::uint64_t tokens,
                                    std::uint32_t decoding);
  /// Counts the use of each block of the prompt. Returns the number of leading blocks to export to
  /// the store; 0 if there is no store or if it already has them.
  std::uint32_t exportBlocks(const engine_routing::RouteQuery& query, std::uint32_t storedBlocks);

  OracleOptions options_;
  const sim::Scheduler& scheduler_;
  std::map<base::EngineId, EngineEntry> engines_;
  const emulator::KeptCacheStoreModel* store_;
  emulator::KeptCacheStoreOptions storeOptions_;
  /// Number of prompts that contained a block. Only looked up, never iterated.
  std::unordered_map<base::BlockHash, std::uint32_t> uses_;
};

class OraclePolicy final : public engine_routing::RoutingPolicy {
 public:
  OraclePolicy(OracleKnowledge& knowledge, const engine_routing::FleetView& fleet)
      : knowledge_(knowledge), fleet_(fleet) {}
  std::string_view name() const override { return "oracle"; }
  void choose(engine_routing::RouteQuery query, engine_routing::RouteCallback callback) override {
    callback(knowledge_.choose(fleet_, query));
  }
  void onDispatched(const engine_routing::RouteQuery& /*query*/,
                    const engine_routing::RouteDecision& /*decision*/) override {}
  void onFinished(base::EngineId /*engine*/, std::uint32_t /*promptTokens*/,
                  std::uint32_t /*cachedTokens*/, base::Duration /*firstTokenAfter*/) override {}

 private:
  OracleKnowledge& knowledge_;
  const engine_routing::FleetView& fleet_;
};

}  // namespace covewing::bench
