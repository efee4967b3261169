/// \file
/// A replica of a service as described by its entry in the fleet list.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.h"
#include "base/ids.h"
#include "base/time.h"
#include "clients/replica_target.h"

namespace covewing::routing {

enum class ReplicaState : std::uint8_t {
  kReady,
  kDraining,
  /// The entry cannot be parsed. The replica receives no new work until it can, but is not
  /// considered ended.
  kUnknown
};

/// A model that the replica has loaded.
struct ReplicaModel {
  std::string name;
  base::WeightsVersion version = 0;
};

struct Replica {
  /// Identifies one instance (process lifetime) of a replica; a restart gets a new identifier even
  /// if the deployment's own name of the replica stays. Everything known about an instance is
  /// stored under this identifier and discarded with it.
  std::string instance;
  std::string service;
  /// Version of the replica's software, not of the weights. It never changes within an instance.
  std::string softwareVersion;
  base::Endpoint endpoint;
  std::string zone;
  /// Number of requests that the replica runs concurrently; 0 if not stated.
  std::uint32_t slots = 0;
  ReplicaState state = ReplicaState::kReady;
  std::vector<ReplicaModel> models;
  /// When the instance started, according to its entry (Unix time in milliseconds).
  std::optional<std::uint64_t> startedAt{};
  /// When this node read the entry.
  base::TimePoint readAt{};

  const ReplicaModel* findModel(std::string_view name) const;
};

/// The replica as the receiver of calls.
inline clients::ReplicaTarget targetOf(const Replica& replica) {
  return {replica.instance, replica.endpoint};
}

}  // namespace covewing::routing
