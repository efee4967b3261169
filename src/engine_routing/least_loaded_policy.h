/// \file
/// Baseline policy: chooses the engine with the fewest requests, counted from the reports of all
/// engines and this node's own dispatches since then. Caches are not considered.
#pragma once

#include <memory>

#include "engine_routing/policy_factory.h"

namespace covewing::engine_routing {

class LeastLoadedPolicy final : public RoutingPolicy {
 public:
  explicit LeastLoadedPolicy(PolicyEnvironment environment)
      : environment_(std::move(environment)) {}
  std::string_view name() const override { return "least_loaded"; }
  void choose(RouteQuery query, RouteCallback callback) override;
  void onDispatched(const RouteQuery& query, const RouteDecision& decision) override;
  void onFinished(base::EngineId /*engine*/, std::uint32_t /*promptTokens*/,
                  std::uint32_t /*cachedTokens*/, base::Duration /*timeToFirstToken*/) override {}

 private:
  PolicyEnvironment environment_;
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

}  // namespace covewing::engine_routing
