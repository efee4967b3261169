/// \file
/// Back ends as one node knows them. Load is known only where this node polls the engine; the rest
/// comes from gossip and the machine list.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "clients/back_end.h"
#include "clients/engine_client.h"

namespace covewing::routing {

/// A load report and when it came, on this node's clock. Work sent since is counted by the engine's
/// home (routing/queue_estimate.h).
struct ReceivedLoad {
  clients::EngineLoad load;
  base::TimePoint receivedAt;
};

struct EngineState {
  clients::BackEndAddress address;
  std::string zone;
  std::string region;
  base::Incarnation incarnation = 0;
  clients::EngineRole role = clients::EngineRole::kServing;
  bool leaving = false;
  /// Held dead or unreachable from here: no new work until it is seen again.
  bool unreachable = false;
  std::vector<clients::LoadedWeights> weights;
  std::optional<ReceivedLoad> load;

  bool serves(std::string_view model, std::string_view adapter, base::WeightsVersion version) const;
};

/// Read access to the engines. Ascending by id, so that equal views are equal everywhere.
class FleetView {
 public:
  virtual ~FleetView() = default;
  virtual const std::vector<EngineState>& engines() const = 0;
  virtual const EngineState* find(base::EngineId id) const = 0;
  /// Live, not leaving replicas of an application, own zone first.
  virtual std::vector<clients::BackEndAddress> applicationReplicas(
      std::string_view application) const = 0;
  /// The version that most serving engines of the own region have loaded of the model, the newest
  /// of these; so the newest that all have, where they share one. Other regions, which swap
  /// versions on their own, count only where the own one has no engine with the model. 0 if none.
  virtual base::WeightsVersion defaultVersion(std::string_view model) const = 0;
};

}  // namespace covewing::routing
