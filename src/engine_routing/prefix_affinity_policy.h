/// \file
/// The shipped policy. Rendezvous hashing of the prompt's root selects a small set of engines,
/// which is larger while demand for the root is high. The homes of these engines report their
/// cached blocks and queues, and the engine with the lowest expected time to first token is chosen.
/// If no home replies, the rendezvous order decides.
#pragma once

#include <memory>
#include <vector>

#include "engine_routing/import_queue.h"
#include "engine_routing/policy_factory.h"
#include "engine_routing/prefix_demand.h"

namespace covewing::engine_routing {

class PrefixAffinityPolicy final : public RoutingPolicy {
 public:
  explicit PrefixAffinityPolicy(PolicyEnvironment environment);
  std::string_view name() const override { return "prefix_affinity"; }
  void choose(RouteQuery query, RouteCallback callback) override;
  void onDispatched(const RouteQuery& query, const RouteDecision& decision) override;
  void onFinished(base::EngineId engine, std::uint32_t promptTokens, std::uint32_t cachedTokens,
                  base::Duration timeToFirstToken) override;

 private:
  std::vector<base::EngineId> candidates(const RouteQuery& query);
  std::size_t candidateCount(std::uint64_t root, base::TimePoint now);
  std::string_view region() const;
  std::size_t liveNodes() const;

  PolicyEnvironment environment_;
  PrefixDemand prefixDemand_;
  ImportQueue imports_;
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

}  // namespace covewing::engine_routing
