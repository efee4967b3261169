/// \file
/// Baseline policy: rendezvous hashing of the salted prefix root, with the own zone preferred.
/// Keeps no state, so a restarted router sends a prefix to the engine that has it cached.
#pragma once

#include "engine_routing/policy_factory.h"

namespace covewing::engine_routing {

class PrefixHashPolicy final : public RoutingPolicy {
 public:
  explicit PrefixHashPolicy(PolicyEnvironment environment) : environment_(std::move(environment)) {}
  std::string_view name() const override { return "prefix_hash"; }
  void choose(RouteQuery query, RouteCallback callback) override;
  void onDispatched(const RouteQuery& /*query*/, const RouteDecision& /*decision*/) override {}
  void onFinished(base::EngineId /*engine*/, std::uint32_t /*promptTokens*/,
                  std::uint32_t /*cachedTokens*/, base::Duration /*firstTokenAfter*/) override {}

 private:
  PolicyEnvironment environment_;
};

}  // namespace covewing::engine_routing
