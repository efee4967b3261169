/// \file
/// Baseline policy: chooses any qualifying engine with equal probability.
#pragma once

#include "engine_routing/policy_factory.h"

namespace covewing::engine_routing {

class RandomPolicy final : public RoutingPolicy {
 public:
  explicit RandomPolicy(PolicyEnvironment environment) : environment_(std::move(environment)) {}
  std::string_view name() const override { return "random"; }
  void choose(RouteQuery query, RouteCallback callback) override;
  void onDispatched(const RouteQuery& /*query*/, const RouteDecision& /*decision*/) override {}
  void onFinished(base::EngineId /*engine*/, std::uint32_t /*promptTokens*/,
                  std::uint32_t /*cachedTokens*/, base::Duration /*timeToFirstToken*/) override {}

 private:
  PolicyEnvironment environment_;
};

}  // namespace covewing::engine_routing
