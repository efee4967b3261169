#include "request/tenant_check.h"

#include <algorithm>
#include <array>
#include <string>

namespace covewing::request {

namespace {

using base::Reason;
using base::ResultCode;

/// Methods that are idempotent according to RFC 9110: repeating a call has the same effect as
/// making it once.
constexpr std::array<std::string_view, 6> kIdempotentMethods = {"GET", "HEAD",   "OPTIONS",
                                                                "PUT", "DELETE", "TRACE"};

template <class Range>
bool contains(const Range& range, std::string_view value) {
  return std::ranges::find(range, value) != std::ranges::end(range);
}

config::TenantTemplatePtr unknownTenant(const TenantCheckSources& sources, Reason& reason) {
  if (!sources.configuration.loaded()) {
    reason = Reason{ResultCode::kConfigurationStale, "no copy of the configuration is here yet"};
  } else if (!sources.configuration.freshness().confirmed) {
    // The tenant may have been added since this copy of the configuration was confirmed.
    reason = Reason{ResultCode::kConfigurationStale,
                    "the bearer key is unknown here, and the configuration cannot be confirmed"};
  } else {
    reason = Reason{ResultCode::kUnknownTenant, "the bearer key belongs to no tenant"};
  }
  return nullptr;
}

const config::ModelPermission* findPermission(const config::TenantTemplate& tenant,
                                              std::string_view model) {
  const auto found = std::ranges::find(tenant.models, model, &config::ModelPermission::model);
  return found == tenant.models.end() ? nullptr : &*found;
}

bool adapterAllowed(const config::ModelPermission& permission, std::string_view adapter) {
  return adapter.empty() || contains(permission.adapters, adapter);
}

std::uint32_t outputLimit(const config::TenantTemplate& tenant, std::uint32_t requested) {
  const std::uint32_t limit = tenant.limits.maximumOutputTokens;
  if (limit == 0) return requested;
  return requested == 0 ? limit : std::min(requested, limit);
}

/// The part of a request target before its query.
std::string_view pathOf(std::string_view target) { return target.substr(0, target.find('?')); }

/// A route matches whole path segments: "/standings" covers "/standings/7", not "/standingsx".
bool pathMatches(std::string_view route, std::string_view path) {
  if (!path.starts_with(route)) return false;
  return path.size() == route.size() || route.ends_with('/') || path[route.size()] == '/';
}

const config::ApplicationRoute* findRoute(const config::TenantTemplate& tenant,
                                          std::string_view path) {
  const config::ApplicationRoute* best = nullptr;
  for (const config::ApplicationRoute& route : tenant.applications) {
    if (!pathMatches(route.path, path)) continue;
    if (best == nullptr || route.path.size() > best->path.size()) best = &route;
  }
  return best;
}

}  // namespace

config::TenantTemplatePtr checkTenant(const TenantCheckSources& sources, std::string_view bearerKey,
                                      Reason& reason) {
  config::TenantTemplatePtr tenant = sources.configuration.findByKey(bearerKey);
  if (tenant == nullptr) return unknownTenant(sources, reason);
  if (tenant->retired) {
    reason = Reason{ResultCode::kTenantRetired, "tenant " + tenant->name + " was retired"};
    return nullptr;
  }
  const bool confirmed = sources.configuration.freshness().confirmed;
  if (!confirmed && tenant->whenStale == config::StaleChoice::kRefuse) {
    reason = Reason{ResultCode::kConfigurationStale, "the configuration here is not confirmed"};
    return nullptr;
  }
  const bool refusesCutOff = tenant->whenCutOff == config::CutOffChoice::kRefuse;
  if (refusesCutOff && !tenant->homeZone.empty() && sources.zones.cutOff(tenant->homeZone)) {
    reason = Reason{ResultCode::kZoneCutOff, "home zone " + tenant->homeZone + " is cut off"};
    return nullptr;
  }
  return tenant;
}

std::optional<CompletionPlan> checkCompletion(const TenantCheckSources& sources,
                                              const CompletionRequest& request, Reason& reason) {
  CompletionPlan plan;
  plan.tenant = checkTenant(sources, request.bearerKey, reason);
  if (plan.tenant == nullptr) return std::nullopt;
  const config::TenantTemplate& tenant = *plan.tenant;
  const config::ModelPermission* permission = findPermission(tenant, request.model);
  if (permission == nullptr) {
    reason = Reason{ResultCode::kModelForbidden, "model " + request.model};
    return std::nullopt;
  }
  if (!adapterAllowed(*permission, request.adapter)) {
    reason = Reason{ResultCode::kModelForbidden, "adapter " + request.adapter};
    return std::nullopt;
  }
  plan.priority = request.priority.value_or(tenant.priority);
  if (plan.priority < tenant.priority) {
    reason = Reason{ResultCode::kPriorityForbidden,
                    "priority " + std::string(base::toString(plan.priority))};
    return std::nullopt;
  }
  plan.maximumTokens = outputLimit(tenant, request.maximumTokens);
  plan.identity.tenantSalt = tenant.cacheSalt;
  plan.identity.model = request.model;
  plan.identity.adapter = request.adapter;
  plan.identity.weightsVersion =
      permission->version != 0 ? permission->version : sources.fleet.defaultVersion(request.model);
  return plan;
}

std::optional<ProxyPlan> checkProxied(const TenantCheckSources& sources,
                                      const ProxiedRequest& request, Reason& reason) {
  ProxyPlan plan;
  plan.tenant = checkTenant(sources, request.bearerKey, reason);
  if (plan.tenant == nullptr) return std::nullopt;
  const config::ApplicationRoute* route = findRoute(*plan.tenant, pathOf(request.target));
  if (route == nullptr) {
    reason = Reason{ResultCode::kUnknownPath, "no application of the tenant serves this path"};
    return std::nullopt;
  }
  plan.application = route->application;
  plan.notRepeatable =
      request.notRepeatable || contains(route->notRepeatableMethods, request.method);
  plan.repeatable = !plan.notRepeatable && contains(kIdempotentMethods, request.method);
  return plan;
}

}  // namespace covewing::request
