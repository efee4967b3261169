/// \file
/// One node's view of the back ends. Load is known only for the engines that this node polls; the
/// other state comes from gossip and the machine list.
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

namespace covewing::engine_routing {

/// A load report and the time of its receipt on this node's clock. Requests dispatched since then
/// are counted by the engine's home (routing/queue_estimate.h).
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
  /// True if this node considers the engine dead or unreachable; it receives no new requests until
  /// it responds again.
  bool unreachable = false;
  std::vector<clients::LoadedWeights> weights;
  std::optional<ReceivedLoad> load;

  bool serves(std::string_view model, std::string_view adapter, base::WeightsVersion version) const;
};

/// Read access to the engines, in ascending order of id, so that equal views have the same order on
/// all nodes.
class FleetView {
 public:
  virtual ~FleetView() = default;
  virtual const std::vector<EngineState>& engines() const = 0;
  virtual const EngineState* find(base::EngineId id) const = 0;
  /// Returns the replicas of an application that are live and not leaving, those in the own zone
  /// first.
  virtual std::vector<clients::BackEndAddress> applicationReplicas(
      std::string_view application) const = 0;
  /// Returns the version of the model that most serving engines of the own region have loaded, the
  /// newest of these on a tie. Where all those engines share a version, the result is therefore the
  /// newest shared one. Other regions change versions independently and are considered only if no
  /// engine of the own region has the model. 0 if no engine has it.
  virtual base::WeightsVersion defaultVersion(std::string_view model) const = 0;
};

}  // namespace covewing::engine_routing
