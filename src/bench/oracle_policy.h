/// \file
/// The reference policy of the bench: it reads every engine's cache and queue at the moment of the
/// choice, on all nodes together, which no real node can.
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
#include "routing/fleet_view.h"
#include "routing/routing_policy.h"
#include "sim/scheduler.h"

namespace covewing::bench {

/// An engine as the oracle sees it.
struct OracleEngine {
  const emulator::EngineModel* model = nullptr;
  emulator::StepCosts step;
  std::uint32_t prefillTokensPerStep = 512;
};

struct OracleOptions {
  /// Weight of own computation on top of the time to first token: what is computed here delays
  /// those who come after.
  double computeWeight = 4;
};

/// What all nodes' oracle policies share. Belongs to one run.
class OracleKnowledge {
 public:
  OracleKnowledge(OracleOptions options, const sim::Scheduler& scheduler,
                  const std::vector<OracleEngine>& engines,
                  const emulator::KeptCacheStoreModel* keptCacheStore,
                  emulator::KeptCacheStoreOptions storeOptions);

  /// The best engine among those that `fleet` lets qualify.
  routing::RouteDecision choose(const routing::FleetView& fleet, const routing::RouteQuery& query);
  /// The request has arrived at its engine and shows in the engine's own queue.
  void onAccepted(base::EngineId engine, const base::RequestId& request);

 private:
  /// A request on its way to its engine.
  struct InFlight {
    std::string request;
    base::PriorityClass priority;
    std::uint64_t tokens;
    base::TimePoint sentAt;
  };
  struct EngineEntry {
    OracleEngine engine;
    std::vector<InFlight> inFlight;
  };
  struct Estimate {
    base::Duration firstToken{};
    double cost = 0;
    std::uint32_t cachedBlocks = 0;
    std::uint32_t importBlocks = 0;
    std::uint64_t computedTokens = 0;
  };

  Estimate estimate(EngineEntry& entry, const routing::RouteQuery& query,
                    std::uint32_t storedBlocks) const;
  static base::Duration computeTime(const OracleEngine& engine, std::uint64_t tokens,
                                    std::uint32_t decoding);
  std::uint32_t exportBlocks(const routing::RouteQuery& query, std::uint32_t storedBlocks);

  OracleOptions options_;
  const sim::Scheduler& scheduler_;
  std::map<base::EngineId, EngineEntry> engines_;
  const emulator::KeptCacheStoreModel* store_;
  emulator::KeptCacheStoreOptions storeOptions_;
  /// How often a block was part of a prompt; only looked up, never iterated.
  std::unordered_map<base::BlockHash, std::uint32_t> uses_;
};

class OraclePolicy final : public routing::RoutingPolicy {
 public:
  OraclePolicy(OracleKnowledge& knowledge, const routing::FleetView& fleet)
      : knowledge_(knowledge), fleet_(fleet) {}
  std::string_view name() const override { return "oracle"; }
  void choose(routing::RouteQuery query, routing::RouteCallback callback) override {
    callback(knowledge_.choose(fleet_, query));
  }
  void onDispatched(const routing::RouteQuery& /*query*/,
                    const routing::RouteDecision& /*decision*/) override {}
  void onFinished(base::EngineId /*engine*/, std::uint32_t /*promptTokens*/,
                  std::uint32_t /*cachedTokens*/, base::Duration /*firstTokenAfter*/) override {}

 private:
  OracleKnowledge& knowledge_;
  const routing::FleetView& fleet_;
};

}  // namespace covewing::bench
