/// \file
/// The routing components of one node, connected to each other: engine directory, cache index home,
/// lookup client and the policy in use.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/peer_transport.h"
#include "engine_routing/cache_index_home.h"
#include "engine_routing/cache_lookup_client.h"
#include "engine_routing/engine_directory.h"
#include "engine_routing/policy_factory.h"
#include "engine_routing/staged_lookup.h"

namespace covewing::engine_routing {

/// Creates a policy that is not available through the policy factory, for example one that is used
/// only in experiments.
using PolicyFactory = std::function<std::unique_ptr<RoutingPolicy>(PolicyEnvironment)>;

struct RoutingOptions {
  /// Must have been validated with `policyNames`; an unknown name selects the shipped policy.
  std::string policy{kDefaultPolicy};
  /// Replaces `policy` if set.
  PolicyFactory makePolicy;
  EngineDirectoryOptions directory;
  CacheIndexHomeOptions home;
  CacheLookupOptions lookup;
  StagedLookupOptions staging;
  PolicyTuning tuning;
};

/// All references must outlive the service and are used on its thread.
struct RoutingEnvironment {
  base::Clock& clock;
  base::TimerService& timers;
  base::RandomSource& random;
  base::EventLog& log;
  base::PeerTransport& peers;
  clients::MachineListClient& machines;
  clients::EngineClient& engines;
  const membership::MemberDirectory& members;
  membership::RecordDissemination& records;
};

class RoutingService {
 public:
  RoutingService(const RoutingOptions& options, const RoutingEnvironment& environment);

  void start();
  RoutingPolicy& policy() { return *policy_; }
  EngineDirectory& directory() { return directory_; }
  const FleetView& fleet() const { return directory_; }
  const CacheIndexHome& home() const { return home_; }
  /// Handler of the channel kCacheIndex.
  CacheLookupClient& lookups() { return lookups_; }

 private:
  EngineDirectory directory_;
  CacheIndexHome home_;
  CacheLookupClient lookups_;
  StagedLookup staged_;
  std::unique_ptr<RoutingPolicy> policy_;
};

}  // namespace covewing::engine_routing
