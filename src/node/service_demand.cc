#include "node/service_demand.h"

#include <algorithm>

namespace covewing::node {

namespace {

/// The service in the configuration; null if it is not configured.
const config::Service* find(const config::RouteTablePtr& table, const std::string& service) {
  return table ? table->findService(service) : nullptr;
}

}  // namespace

bool ServiceDemand::isConfigured(const std::string& service) const {
  return find(environment_.tables.table(), service) != nullptr;
}

std::uint32_t ServiceDemand::eventWatchers(const std::string& service) const {
  const auto table = environment_.tables.table();
  const auto* found = find(table, service);
  return found != nullptr && found->engine ? found->engine->eventWatchers : 0;
}

std::size_t ServiceDemand::replicasForLongRequests(const std::string& service) const {
  const auto table = environment_.tables.table();
  const auto* found = find(table, service);
  const auto slots = found != nullptr && found->engine ? found->engine->slots : 1;
  return environment_.durations.replicasForLongRuns(service, slots, environment_.nodes(),
                                                    environment_.clock.now());
}

double ServiceDemand::replicasInUse(const std::string& service) const {
  const auto table = environment_.tables.table();
  const auto* found = find(table, service);
  if (found == nullptr || !found->engine) return 0;
  const auto now = environment_.clock.now();
  routing::ReplicaLoad own;
  routing::ReplicaLoad others;
  for (const auto& record : environment_.replicas.ofService(service)) {
    own += record->ownLoad();
    others +=
        environment_.fleetLoad.loadOfOtherNodes(base::engineIdOf(record->facts().instance), now);
  }
  const auto count = environment_.nodes();
  const bool loadReported = 2 * (environment_.fleetLoad.reportingNodes(now) + 1) > count;
  const auto inUse = [&](double nodeLoad, double othersLoad, double each) {
    return (loadReported ? nodeLoad + othersLoad : nodeLoad * static_cast<double>(count)) /
           std::max(1.0, each);
  };
  return std::max(inUse(own.requests, others.requests, found->engine->slots),
                  inUse(static_cast<double>(own.tokens), static_cast<double>(others.tokens),
                        static_cast<double>(found->engine->cacheTokens)));
}

}  // namespace covewing::node
