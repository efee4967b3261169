/// \file
/// Baseline policy: every node polls all engines and keeps the complete cache index. Chooses the
/// engine with the lowest expected time to first token of the whole fleet. The control traffic
/// grows with the size of the fleet.
#pragma once

#include <memory>

#include "engine_routing/import_queue.h"
#include "engine_routing/policy_factory.h"

namespace covewing::engine_routing {

class FullIndexPolicy final : public RoutingPolicy {
 public:
  explicit FullIndexPolicy(PolicyEnvironment environment)
      : environment_(std::move(environment)),
        imports_(environment_.tuning.service.importTokensPerSecond) {}
  std::string_view name() const override { return "full_index"; }
  void choose(RouteQuery query, RouteCallback callback) override;
  void onDispatched(const RouteQuery& query, const RouteDecision& decision) override;
  void onFinished(base::EngineId /*engine*/, std::uint32_t /*promptTokens*/,
                  std::uint32_t /*cachedTokens*/, base::Duration /*timeToFirstToken*/) override {}

 private:
  PolicyEnvironment environment_;
  ImportQueue imports_;
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

}  // namespace covewing::engine_routing
