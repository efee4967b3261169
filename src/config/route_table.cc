#include "config/route_table.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "base/ids.h"

namespace covewing::config {

namespace {

/// The host in lower case, without a port.
std::string normalHost(std::string_view host) {
  std::string normal{host.substr(0, host.find(':'))};
  std::ranges::transform(normal, normal.begin(), [](char letter) {
    const bool upper = letter >= 'A' && letter <= 'Z';
    return upper ? static_cast<char>(letter - 'A' + 'a') : letter;
  });
  return normal;
}

/// Empty if no tenant is isolated.
std::string partitionBeside(const std::vector<TenantAccess>& tenants) {
  std::vector<std::string_view> isolated;
  for (const auto& tenant : tenants) {
    if (tenant.isolated) isolated.emplace_back(tenant.name);
  }
  if (isolated.empty()) return {};
  std::ranges::sort(isolated);
  std::string names;
  for (const auto& name : isolated)
    names.append(std::to_string(name.size())).append(":").append(name);
  return fmt::format(".{:016x}", base::hashName(names));
}

}  // namespace

std::string isolatedCachePartition(std::string_view tenant) { return "/" + std::string{tenant}; }

RouteTable::RouteTable(RouteTableContents contents)
    : contents_(std::move(contents)), sharedCachePartition_(partitionBeside(contents_.tenants)) {
  for (const Route& route : contents_.routes)
    routesByHost_[normalHost(route.host)].push_back(&route);
  for (auto& [host, routes] : routesByHost_) {
    std::ranges::stable_sort(routes, [](const Route* left, const Route* right) {
      return left->pathPrefix.size() > right->pathPrefix.size();
    });
  }
  for (const TenantAccess& tenant : contents_.tenants) {
    for (const std::string& key : tenant.keys) tenantsByKey_.emplace(key, &tenant);
    tenantsByName_.emplace(tenant.name, &tenant);
  }
  for (const Service& service : contents_.services) servicesByName_.emplace(service.name, &service);
}

const Route* RouteTable::findRoute(std::string_view host, std::string_view path) const {
  const auto routes = routesByHost_.find(normalHost(host));
  if (routes == routesByHost_.end()) return nullptr;
  const auto found = std::ranges::find_if(
      routes->second, [path](const Route* route) { return path.starts_with(route->pathPrefix); });
  return found == routes->second.end() ? nullptr : *found;
}

const TenantAccess* RouteTable::findTenantByKey(std::string_view key) const {
  const auto found = tenantsByKey_.find(key);
  return found == tenantsByKey_.end() ? nullptr : found->second;
}

const TenantAccess* RouteTable::findTenantByName(std::string_view name) const {
  const auto found = tenantsByName_.find(name);
  return found == tenantsByName_.end() ? nullptr : found->second;
}

const Service* RouteTable::findService(std::string_view name) const {
  const auto found = servicesByName_.find(name);
  return found == servicesByName_.end() ? nullptr : found->second;
}

}  // namespace covewing::config
