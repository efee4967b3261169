/// \file
/// The routes of a fleet as one typed model: which host and path goes to which service, under which
/// promises, for which tenants. A table is immutable; a newer version replaces it whole.
///
/// The table says nothing of where it came from: a reader of the operators' format fills it.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/endpoint.h"
#include "base/time.h"

namespace covewing::config {

/// What may be repeated of a route's requests.
enum class RequestKind : std::uint8_t {
  /// May run more than once.
  kIdempotent,
  /// Runs at most once.
  kNonIdempotent,
  /// Answered by a stream of events; runs at most once unless the route is resumable.
  kStreaming,
};

/// One part of a route's traffic.
struct ServiceShare {
  std::string service;
  /// Relative to the other shares of the route.
  std::uint32_t weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string pathPrefix;
  RequestKind kind = RequestKind::kNonIdempotent;
  /// The longest that a request may be held, from its arrival to the end of its answer.
  base::Duration timeout{};
  /// An answer (a stream's first event) within this time is in time.
  base::Duration targetLatency{};
  /// The longest pause between events that keeps a stream in time; zero: none stated.
  base::Duration gapTarget{};
  /// How long callers wait for a stream's first event before they leave; zero: as long as for the
  /// whole answer.
  base::Duration firstEventPatience{};
  /// Rank, 0 is the most urgent.
  std::uint32_t priority = 0;
  /// The most replicas that may run one request.
  std::uint32_t attempts = 1;
  std::vector<ServiceShare> split;
  /// Served without a key.
  bool isPublic = false;
  /// Requests name the parts of their prompt and go where these are cached.
  bool sticky = false;
  /// A broken stream may be taken up behind its last event.
  bool resumable = false;

  /// True when a request may run again after its outcome became unknown.
  bool repeatable() const {
    return kind == RequestKind::kIdempotent || (kind == RequestKind::kStreaming && resumable);
  }
};

/// What is known of the model engines behind a service.
struct EngineProfile {
  /// Requests that one replica runs at once.
  std::uint32_t slots = 0;
  std::uint64_t cacheTokens = 0;
  /// Callers that one replica lets watch its cache events at once; 0: none.
  std::uint32_t eventWatchers = 0;
  std::vector<std::string> models;
};

/// A store of kept cache that replicas may save to and fetch from.
struct CacheStore {
  base::Endpoint endpoint;
  std::string zone;
  std::uint32_t eventWatchers = 0;
};

struct Service {
  std::string name;
  std::string healthPath;
  /// Connections that one replica accepts from all callers together; 0: not stated.
  std::uint32_t connectionLimit = 0;
  std::optional<EngineProfile> engine;
  std::optional<CacheStore> cacheStore;
};

/// What a tenant may send over all nodes together.
struct TenantRate {
  /// Requests, or tokens where `countsTokens`.
  double perSecond = 0;
  /// What may come at once above the rate, in the same unit.
  double burst = 0;
  /// A request counts the tokens of its prompt and of its longest answer.
  bool countsTokens = false;
  /// What a request counts that does not state its tokens.
  std::uint32_t unstatedTokens = 1;

  /// What a request counts; `statedTokens` is empty when it says nothing.
  std::uint32_t countOf(std::optional<std::uint32_t> statedTokens) const {
    return countsTokens ? statedTokens.value_or(unstatedTokens) : 1;
  }
};

/// A tenant as far as relaying needs it.
struct TenantAccess {
  std::string name;
  std::vector<std::string> keys;
  /// Goes before the route's priority.
  std::optional<std::uint32_t> priority;
  /// Shares no cached prompt with other tenants.
  bool isolated = false;
  /// Empty without a limit.
  std::optional<TenantRate> rate;
};

/// Bounds of what a caller may send.
struct TrafficLimits {
  std::size_t headerBytes = 16U << 10U;
  std::size_t bodyBytes = 4U << 20U;
  base::Duration headerTimeout = std::chrono::seconds(3);
  base::Duration idleTimeout = std::chrono::seconds(15);
};

/// What a reader of the operators' format collects.
struct RouteTableContents {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  std::vector<TenantAccess> tenants;
  TrafficLimits limits;
};

class RouteTable {
 public:
  explicit RouteTable(RouteTableContents contents);

  std::uint64_t version() const { return contents_.version; }
  const TrafficLimits& limits() const { return contents_.limits; }
  const std::vector<Route>& routes() const { return contents_.routes; }
  const std::vector<Service>& services() const { return contents_.services; }
  /// Keys are asked for only where tenants are configured.
  bool hasTenants() const { return !contents_.tenants.empty(); }

  /// The route of this host whose prefix begins the path and is the longest; null if none.
  /// `host` is taken without case and without a port, `path` without its query.
  const Route* findRoute(std::string_view host, std::string_view path) const;
  const TenantAccess* findTenantByKey(std::string_view key) const;
  const TenantAccess* findTenantByName(std::string_view name) const;
  const Service* findService(std::string_view name) const;
  /// Name of the partition of the replicas' caches that requests of a tenant which is not isolated
  /// share, in requests without a tenant too. It is derived from the set of isolated tenants alone,
  /// so that all nodes with this configuration use the same one, and no tenant that is isolated
  /// under this configuration has ever written to it: nodes with a configuration under which it was
  /// not isolated use another partition.
  const std::string& sharedCachePartition() const { return sharedCachePartition_; }

 private:
  RouteTableContents contents_;
  std::string sharedCachePartition_;
  /// Routes of each host, the longest prefix first.
  std::unordered_map<std::string, std::vector<const Route*>> routesByHost_;
  std::unordered_map<std::string_view, const TenantAccess*> tenantsByKey_;
  std::unordered_map<std::string_view, const TenantAccess*> tenantsByName_;
  std::unordered_map<std::string_view, const Service*> servicesByName_;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

/// Name of the partition of the replicas' caches that an isolated tenant has for itself.
std::string isolatedCachePartition(std::string_view tenant);

}  // namespace covewing::config
