/// \file
/// How many replicas of a service the work in progress needs, as far as this node knows.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

#include "base/time.h"
#include "request/relay_service.h"
#include "routing/fleet_load.h"
#include "routing/replica_directory.h"
#include "routing/request_durations.h"

namespace covewing::node {

/// All must outlive the object and be used on its thread.
struct ServiceDemandEnvironment {
  base::Clock& clock;
  const request::RouteTableSource& tables;
  const routing::ReplicaDirectory& replicas;
  const routing::FleetLoad& fleetLoad;
  routing::RequestDurations& durations;
  /// Number of nodes that share the replicas.
  std::function<std::size_t()> nodes;
};

class ServiceDemand {
 public:
  explicit ServiceDemand(ServiceDemandEnvironment environment)
      : environment_(std::move(environment)) {}

  bool isConfigured(const std::string& service) const;
  /// Number of nodes that watch the cache events of each replica of the service; 0 for services
  /// without models.
  std::uint32_t eventWatchers(const std::string& service) const;
  /// Number of replicas that long-running requests fill.
  std::size_t replicasForLongRequests(const std::string& service) const;
  /// Number of replicas that the load of all nodes fills, by slots or cache memory. Uses the load
  /// reports of the other nodes if more than half of all nodes report, counting this one; otherwise
  /// this node's own load times the number of nodes.
  double replicasInUse(const std::string& service) const;

 private:
  ServiceDemandEnvironment environment_;
};

}  // namespace covewing::node
