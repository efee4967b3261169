/// \file
/// Baseline policy: draws two engines at random and chooses the one with fewer requests.
#pragma once

#include <memory>

#include "engine_routing/policy_factory.h"

namespace covewing::engine_routing {

class PowerOfTwoPolicy final : public RoutingPolicy {
 public:
  explicit PowerOfTwoPolicy(PolicyEnvironment environment) : environment_(std::move(environment)) {}
  std::string_view name() const override { return "power_of_two"; }
  void choose(RouteQuery query, RouteCallback callback) override;
  void onDispatched(const RouteQuery& query, const RouteDecision& decision) override;
  void onFinished(base::EngineId /*engine*/, std::uint32_t /*promptTokens*/,
                  std::uint32_t /*cachedTokens*/, base::Duration /*timeToFirstToken*/) override {}

 private:
  PolicyEnvironment environment_;
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

}  // namespace covewing::engine_routing
