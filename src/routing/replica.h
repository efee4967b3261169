/// \file
/// A replica of a service as the fleet's list describes it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.h"
#include "base/ids.h"
#include "base/time.h"

namespace covewing::routing {

enum class ReplicaState : std::uint8_t {
  kReady,
  kDraining,
  /// Its entry cannot be read: it gets no new work until it can, and has not ended.
  kUnknown
};

/// A model that a replica has loaded.
struct ReplicaModel {
  std::string name;
  base::WeightsVersion version = 0;
};

struct Replica {
  /// Names one run of one replica; a restart has another, also where the deployment's own name for
  /// the replica stays. All that is known of a run is kept by this name and ends with it.
  std::string instance;
  std::string service;
  base::Endpoint endpoint;
  std::string zone;
  /// Requests that it runs at once; 0: not stated.
  std::uint32_t slots = 0;
  ReplicaState state = ReplicaState::kReady;
  std::vector<ReplicaModel> models;
  /// The entry tells when the run started.
  bool hasStartTime = false;
  /// When this node read the entry.
  base::TimePoint readAt{};

  const ReplicaModel* findModel(std::string_view name) const;
};

}  // namespace covewing::routing
