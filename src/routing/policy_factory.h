/// \file
/// Routing policies by name.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/event_log.h"
#include "base/random.h"
#include "base/time.h"
#include "routing/engine_directory.h"
#include "routing/fleet_view.h"
#include "routing/routing_policy.h"

namespace covewing::routing {

/// The name that settings use for the shipped policy.
inline constexpr std::string_view kDefaultPolicy = "default";

/// What policies are built from. All references must outlive the policy and share its thread.
struct PolicyEnvironment {
  const FleetView& fleet;
  base::Clock& clock;
  base::TimerService& timers;
  base::RandomSource& random;
  base::EventLog& log;
  /// Zone of this node.
  std::string zone;
};

/// The policy of this name; null, with the names that exist in `reason`, if there is none.
std::unique_ptr<RoutingPolicy> makePolicy(std::string_view name, PolicyEnvironment environment,
                                          base::Reason& reason);

/// The engines that the directory must poll for the policy of this name.
PollScope pollScopeOf(std::string_view policy);

/// Names of all policies, "default" first.
std::vector<std::string_view> policyNames();

}  // namespace covewing::routing
