/// \file
/// Creates routing policies by name.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/event_log.h"
#include "base/random.h"
#include "base/time.h"
#include "clients/engine_client.h"
#include "engine_routing/cache_lookup.h"
#include "engine_routing/engine_directory.h"
#include "engine_routing/fleet_view.h"
#include "engine_routing/routing_policy.h"
#include "engine_routing/service_model.h"
#include "membership/member_directory.h"

namespace covewing::engine_routing {

/// Name of the shipped policy in the settings.
inline constexpr std::string_view kDefaultPolicy = "default";

/// Parameters of the shipped policy. The defaults performed best on the bench
/// (docs/MEASUREMENTS.md).
struct PolicyTuning {
  ServiceModel service;
  /// Number of engines to query for a prefix with ordinary demand.
  std::size_t candidates = 8;
  /// Number of further engines, drawn at random, as an alternative to an overloaded set.
  std::size_t spillCandidates = 2;
  /// Maximum number of engines to query, without the engines drawn at random.
  std::size_t maximumCandidates = 16;
  /// Number of engines added per unit of demand on one prefix root, where one unit is the prefill
  /// capacity of one engine.
  double candidatesPerDemand = 2.0;
  /// Index of the block whose hash identifies the prefix root.
  std::size_t rootBlock = 31;
  /// Engines whose cost exceeds the lowest one by at most this are near-equal, and one of them is
  /// drawn at random.
  base::Duration nearEqualTolerance = std::chrono::milliseconds(5);
  /// Minimum length, in blocks, of a prefix that is worth keeping in the external KV cache store.
  std::uint32_t minimumExportBlocks = 32;
};

/// Dependencies of a policy. All references must outlive the policy and are used on its thread.
struct PolicyEnvironment {
  const FleetView& fleet;
  base::Clock& clock;
  base::TimerService& timers;
  base::RandomSource& random;
  base::EventLog& log;
  /// Zone of this node.
  std::string zone;
  /// Source of cache and queue state. If null, policies that need it choose by hashing.
  CacheLookup* lookup = nullptr;
  /// For policies that probe engines directly; may be null.
  clients::EngineClient* engines = nullptr;
  /// Live members, used to extrapolate from this node's own rates to those of the whole fleet; may
  /// be null.
  const membership::MemberDirectory* members = nullptr;
  PolicyTuning tuning = {};
};

/// Creates the policy of this name. If there is none, returns null and lists the available names in
/// `reason`.
std::unique_ptr<RoutingPolicy> makePolicy(std::string_view name, PolicyEnvironment environment,
                                          base::Reason& reason);

/// Returns which engines the directory must poll for the policy of this name.
PollScope pollScopeOf(std::string_view policy);

/// Returns the names of all policies, "default" first.
std::vector<std::string_view> policyNames();

}  // namespace covewing::engine_routing
