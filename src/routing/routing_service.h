/// \file
/// Everything about routing on one node, wired together: engine directory, cache index home, lookup
/// client and the policy in use.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/peer_transport.h"
#include "routing/cache_index_home.h"
#include "routing/cache_lookup_client.h"
#include "routing/engine_directory.h"
#include "routing/policy_factory.h"
#include "routing/staged_lookup.h"

namespace covewing::routing {

/// Builds a policy that is not in the factory, such as one that only experiments may use.
using PolicyFactory = std::function<std::unique_ptr<RoutingPolicy>(PolicyEnvironment)>;

struct RoutingOptions {
  /// Checked with `policyNames` before; an unknown name falls back to the shipped policy.
  std::string policy{kDefaultPolicy};
  /// Used in place of `policy` where set.
  PolicyFactory makePolicy;
  EngineDirectoryOptions directory;
  CacheIndexHomeOptions home;
  CacheLookupOptions lookup;
  StagedLookupOptions staging;
  PolicyTuning tuning;
};

/// All must outlive the service and share its thread.
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

}  // namespace covewing::routing
