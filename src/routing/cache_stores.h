/// \file
/// The stores of kept cache that replicas may save to and fetch from, and whether they answer.
#pragma once

#include <string>
#include <vector>

#include "base/endpoint.h"
#include "config/route_table.h"

namespace covewing::routing {

struct CacheStoreState {
  /// Its name among the holders of cached parts.
  std::string name;
  base::Endpoint endpoint;
  std::string zone;
  std::uint32_t eventWatchers = 0;
  /// It answered the last call of this node's watch.
  bool available = false;
};

class CacheStores {
 public:
  /// Takes the stores of a route table in force; what is known of those that stay is kept.
  void update(const config::RouteTable& table);
  const std::vector<CacheStoreState>& all() const { return stores_; }
  const CacheStoreState* find(std::string_view name) const;
  void setAvailable(std::string_view name, bool available);
  /// The store to use from a zone: an available one, a near one first; null when there is none.
  const CacheStoreState* choose(std::string_view zone) const;

 private:
  std::vector<CacheStoreState> stores_;
};

}  // namespace covewing::routing
