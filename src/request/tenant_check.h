/// \file
/// Checks of a request against its tenant's template, before anything is spent on it.
#pragma once

#include <optional>
#include <string_view>

#include "base/result_code.h"
#include "clients/engine_client.h"
#include "config/configuration_view.h"
#include "request/caller_request.h"
#include "request/zone_reachability.h"
#include "routing/fleet_view.h"

namespace covewing::request {

/// What the checks need to know of the node.
struct TenantCheckSources {
  const config::ConfigurationView& configuration;
  const routing::FleetView& fleet;
  const ZoneReachability& zones;
};

/// A completion that its template allows, in the terms of engines.
struct CompletionPlan {
  config::TenantTemplatePtr tenant;
  base::PriorityClass priority = base::PriorityClass::kStandard;
  clients::CacheIdentity identity;
  std::uint32_t maximumTokens = 0;
};

/// A proxied call that its template allows.
struct ProxyPlan {
  config::TenantTemplatePtr tenant;
  std::string application;
  /// Must run at most once.
  bool notRepeatable = false;
  /// Repeating it after an unknown outcome does no harm (an idempotent method, not marked).
  bool repeatable = false;
};

/// Finds the tenant of a bearer key and checks that it may be served at all here and now.
config::TenantTemplatePtr checkTenant(const TenantCheckSources& sources, std::string_view bearerKey,
                                      base::Reason& reason);

/// Checks tenant, model, adapter and priority.
std::optional<CompletionPlan> checkCompletion(const TenantCheckSources& sources,
                                              const CompletionRequest& request,
                                              base::Reason& reason);

/// Checks tenant and path; the longest matching path of the template decides.
std::optional<ProxyPlan> checkProxied(const TenantCheckSources& sources,
                                      const ProxiedRequest& request, base::Reason& reason);

}  // namespace covewing::request
