/// \file
/// The shipped policy. The prompt's root chooses a small set of engines by rendezvous hashing,
/// wider while the root is hot; the homes of these engines tell what they have cached and queued;
/// the engine with the least expected time to first token is taken. Falls back to the rendezvous
/// order where no home answers.
#pragma once

#include <memory>
#include <vector>

#include "routing/import_queue.h"
#include "routing/policy_factory.h"
#include "routing/prefix_demand.h"

namespace covewing::routing {

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

}  // namespace covewing::routing
