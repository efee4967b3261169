/// \file
/// Checks of a request against its tenant's template, done before any resources are spent on the
/// request.
#pragma once

#include <optional>
#include <string_view>

#include "base/result_code.h"
#include "clients/engine_client.h"
#include "config/configuration_view.h"
#include "engine_routing/fleet_view.h"
#include "request/caller_request.h"
#include "request/zone_reachability.h"

namespace covewing::request {

/// Data of the node that the checks use.
struct TenantCheckSources {
  const config::ConfigurationView& configuration;
  const engine_routing::FleetView& fleet;
  const ZoneReachability& zones;
};

/// Engine parameters of a completion request that the tenant's template allows.
struct CompletionPlan {
  config::TenantTemplatePtr tenant;
  base::PriorityClass priority = base::PriorityClass::kStandard;
  clients::CacheIdentity identity;
  std::uint32_t maximumTokens = 0;
};

/// Parameters of a proxied request that the tenant's template allows.
struct ProxyPlan {
  config::TenantTemplatePtr tenant;
  std::string application;
  /// The request must be executed at most once.
  bool notRepeatable = false;
  /// Repeating the request after an unknown outcome does no harm: its method is idempotent, and it
  /// is not marked as not repeatable.
  bool repeatable = false;
};

/// Finds the tenant of a bearer key and checks whether this node may serve it at the moment.
/// Returns null and sets `reason` if not.
config::TenantTemplatePtr checkTenant(const TenantCheckSources& sources, std::string_view bearerKey,
                                      base::Reason& reason);

/// Checks the tenant, model, adapter and priority. Returns an empty value and sets `reason` if the
/// request is not allowed.
std::optional<CompletionPlan> checkCompletion(const TenantCheckSources& sources,
                                              const CompletionRequest& request,
                                              base::Reason& reason);

/// Checks the tenant and path. If several paths of the template match, the longest one applies.
/// Returns an empty value and sets `reason` if the request is not allowed.
std::optional<ProxyPlan> checkProxied(const TenantCheckSources& sources,
                                      const ProxiedRequest& request, base::Reason& reason);

}  // namespace covewing::request
