/// \file
/// Baseline policy: chooses the qualifying engines in rotation.
#pragma once

#include "engine_routing/policy_factory.h"

namespace covewing::engine_routing {

class RoundRobinPolicy final : public RoutingPolicy {
 public:
  explicit RoundRobinPolicy(PolicyEnvironment environment) : environment_(std::move(environment)) {}
  std::string_view name() const override { return "round_robin"; }
  void choose(RouteQuery query, RouteCallback callback) override;
  void onDispatched(const RouteQuery& /*query*/, const RouteDecision& /*decision*/) override {}
  void onFinished(base::EngineId /*engine*/, std::uint32_t /*promptTokens*/,
                  std::uint32_t /*cachedTokens*/, base::Duration /*timeToFirstToken*/) override {}

 private:
  PolicyEnvironment environment_;
  std::uint64_t nextIndex_ = 0;
};

}  // namespace covewing::engine_routing
