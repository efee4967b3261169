#include "engine_routing/routing_service.h"

#include <utility>

namespace covewing::engine_routing {

namespace {

EngineDirectoryOptions directoryOptions(const RoutingOptions& options) {
  EngineDirectoryOptions result = options.directory;
  if (!options.makePolicy) result.pollScope = pollScopeOf(options.policy);
  return result;
}

CacheLookupOptions lookupOptions(const RoutingOptions& options) {
  CacheLookupOptions result = options.lookup;
  result.localIndexOnly = directoryOptions(options).pollScope == PollScope::kAllEngines;
  return result;
}

std::unique_ptr<RoutingPolicy> buildPolicy(const RoutingOptions& options,
                                           const PolicyEnvironment& environment) {
  if (options.makePolicy) return options.makePolicy(environment);
  base::Reason reason;
  auto policy = makePolicy(options.policy, environment, reason);
  return policy ? std::move(policy) : makePolicy(kDefaultPolicy, environment, reason);
}

}  // namespace

RoutingService::RoutingService(const RoutingOptions& options, const RoutingEnvironment& environment)
    : directory_(
          directoryOptions(options),
          {environment.clock, environment.timers, environment.random, environment.log,
           environment.machines, environment.engines, environment.members, environment.records}),
      home_(options.home, {environment.clock, environment.timers, environment.random,
                           environment.log, environment.engines, directory_}),
      lookups_(lookupOptions(options), {environment.clock, environment.timers, environment.peers,
                                        environment.members, directory_, home_}),
      staged_(options.staging, environment.members, directory_, lookups_),
      policy_(buildPolicy(options,
                          {directory_, environment.clock, environment.timers, environment.random,
                           environment.log, environment.members.self().zone, &staged_,
                           &environment.engines, &environment.members, options.tuning})) {}

void RoutingService::start() {
  directory_.start();
  home_.start();
}

}  // namespace covewing::engine_routing
