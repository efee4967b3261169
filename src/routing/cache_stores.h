/// \file
/// The external KV cache stores to which replicas may save prompt parts and from which they may
/// fetch them, and the availability of these stores.
///
/// Rendezvous hashing assigns one store to each prompt part, so that all nodes save and look up the
/// part at the same store, whether or not they watch that store. Nodes that watch a store observe
/// its availability directly; other nodes rely on the reports of those that do.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "base/endpoint.h"
#include "config/route_table.h"

namespace covewing::routing {

struct CacheStoreState {
  /// Name of the store among the holders of cached prompt parts.
  std::string name;
  base::Endpoint endpoint;
  std::string zone;
  std::uint32_t eventWatchers = 0;
  /// Whether the last poll of the store by this node succeeded; empty if this node does not watch
  /// the store.
  std::optional<bool> localAvailability;
  /// Availability as reported by other nodes, by node name.
  std::map<std::string, bool, std::less<>> reportedAvailability;

  /// Returns this node's own observation if there is one, otherwise the majority of the reports of
  /// other nodes. False if neither exists.
  bool available() const;
};

class CacheStores {
 public:
  /// Replaces the stores by those of a route table in force. The state of stores that remain is
  /// kept.
  void update(const config::RouteTable& table);
  const std::vector<CacheStoreState>& all() const { return stores_; }
  const CacheStoreState* find(std::string_view name) const;
  /// Records the result of this node's own poll of a store. Calls the listener if it changed.
  void setLocalAvailability(std::string_view name, bool available);
  /// Clears this node's own observation, since it no longer watches the store.
  void clearLocalAvailability(std::string_view name);
  void onLocalAvailabilityChanged(
      std::function<void(const std::string& name, bool available)> listener) {
    listener_ = std::move(listener);
  }
  /// Records the availability of a store as reported by another node.
  void onReportedAvailability(std::string_view name, std::string_view node, bool available);
  /// Returns the store to use for a prompt part among the available ones; null if none is
  /// available.
  const CacheStoreState* choose(std::uint64_t part) const;

 private:
  CacheStoreState* find(std::string_view name);

  std::vector<CacheStoreState> stores_;
  std::function<void(const std::string&, bool)> listener_;
};

}  // namespace covewing::routing
