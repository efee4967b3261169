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
#include "clients/engine_client.h"
#include "membership/member_directory.h"
#include "routing/cache_lookup.h"
#include "routing/engine_directory.h"
#include "routing/fleet_view.h"
#include "routing/routing_policy.h"
#include "routing/service_model.h"

namespace covewing::routing {

/// The name that settings use for the shipped policy.
inline constexpr std::string_view kDefaultPolicy = "default";

/// Parameters of the shipped policy, with the values found best on the bench
/// (docs/MEASUREMENTS.md).
struct PolicyTuning {
  ServiceModel service;
  /// Engines asked about for a prefix of ordinary heat.
  std::size_t candidates = 8;
  /// Further engines, drawn at random, as a way out of an overloaded set.
  std::size_t spillCandidates = 2;
  /// Most engines asked about.
  std::size_t maximumCandidates = 16;
  /// Engines added for each engine's worth of demand on one prefix root.
  double candidatesPerDemand = 2.0;
  /// Block whose hash stands for the prefix root.
  std::size_t rootBlock = 31;
  /// Choices within this much of the best are near-equal, and one is drawn.
  base::Duration nearEqualTolerance = std::chrono::milliseconds(5);
  /// Prefixes shorter than this are not worth keeping in the store, in blocks.
  std::uint32_t minimumExportBlocks = 32;
};

/// What policies are built from. All references must outlive the policy and share its thread.
struct PolicyEnvironment {
  const FleetView& fleet;
  base::Clock& clock;
  base::TimerService& timers;
  base::RandomSource& random;
  base::EventLog& log;
  /// Zone of this node.
  std::string zone;
  /// Knowledge of caches and queues; policies that need it decide by hashing where it is null.
  CacheLookup* lookup = nullptr;
  /// For policies that probe engines themselves.
  clients::EngineClient* engines = nullptr;
  /// Live nodes, for estimates of the whole system's rates from this node's own.
  const membership::MemberDirectory* members = nullptr;
  PolicyTuning tuning = {};
};

/// The policy of this name; null, with the names that exist in `reason`, if there is none.
std::unique_ptr<RoutingPolicy> makePolicy(std::string_view name, PolicyEnvironment environment,
                                          base::Reason& reason);

/// The engines that the directory must poll for the policy of this name.
PollScope pollScopeOf(std::string_view policy);

/// Names of all policies, "default" first.
std::vector<std::string_view> policyNames();

}  // namespace covewing::routing
