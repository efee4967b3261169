#include "engine_routing/power_of_two_policy.h"

#include "engine_routing/candidates.h"
#include "engine_routing/load_baseline.h"

namespace covewing::engine_routing {

void PowerOfTwoPolicy::choose(RouteQuery query, RouteCallback callback) {
  auto engines = qualifyingEngines(environment_.fleet, query);
  if (engines.empty()) return callback(noEngine(query));
  constexpr std::size_t kChoices = 2;
  const auto choices = std::min(kChoices, engines.size());
  for (std::size_t index = 0; index < choices; ++index) {
    std::swap(engines[index], engines[index + environment_.random.below(engines.size() - index)]);
  }
  engines.resize(choices);
  if (environment_.lookup == nullptr) return callback(decideFor(*engines.front()));
  const auto priority = query.priority;
  environment_.lookup->lookup(
      priority, idsOf(engines), {},
      [this, alive = std::weak_ptr(lifetime_), query = std::move(query),
       callback = std::move(callback)](const LookupResult& result) {
        if (alive.expired()) return;
        callback(chooseFewestRequests(environment_.fleet, query, result, environment_.random));
      });
}

void PowerOfTwoPolicy::onDispatched(const RouteQuery& query, const RouteDecision& decision) {
  announceWholePrompt(environment_.lookup, query, decision);
}

}  // namespace covewing::engine_routing
