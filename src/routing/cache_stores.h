/// \file
/// The stores of kept cache that replicas may save to and fetch from, and whether they answer.
///
/// Each part of a prompt has one store by rendezvous hashing, so that every node saves it to and
/// seeks it at the same one, whether or not the node watches that store. Nodes that watch a store
/// know at first hand whether it answers; the others go by what these tell.
#pragma once

#include <string>
#include <utility>
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
  /// Whether it answered the last call of this node's watch; empty when this node does not watch
  /// it.
  std::optional<bool> localAvailability;
  /// Whether it answered other nodes, by their name.
  std::map<std::string, bool, std::less<>> reportedAvailability;

  /// This node's own knowledge, else what most other nodes say; false while nothing is known.
  bool available() const;
};

class CacheStores {
 public:
  /// Takes the stores of a route table in force; what is known of those that stay is kept.
  void update(const config::RouteTable& table);
  const std::vector<CacheStoreState>& all() const { return stores_; }
  const CacheStoreState* find(std::string_view name) const;
  /// What this node's own watch sees. The listener is told when it changes.
  void setLocalAvailability(std::string_view name, bool available);
  /// This node watches the store no longer.
  void clearLocalAvailability(std::string_view name);
  void onLocalAvailabilityChanged(
      std::function<void(const std::string& name, bool available)> listener) {
    listener_ = std::move(listener);
  }
  /// Another node says whether the store answers it.
  void onReportedAvailability(std::string_view name, std::string_view node, bool available);
  /// The available store of a part; null when none is available.
  const CacheStoreState* choose(std::uint64_t part) const;

 private:
  CacheStoreState* find(std::string_view name);

  std::vector<CacheStoreState> stores_;
  std::function<void(const std::string&, bool)> listener_;
};

}  // namespace covewing::routing
