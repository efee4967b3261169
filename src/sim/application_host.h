/// \file
/// An application replica behind the simulated network, as one process.
#pragma once

#include <cstdint>

#include "emulator/application_model.h"
#include "sim/fleet_options.h"
#include "sim/network.h"
#include "sim/process.h"

namespace covewing::sim {

class ApplicationHost {
 public:
  ApplicationHost(Network& network, const ApplicationPlacement& placement,
                  const base::Endpoint& endpoint, emulator::ExecutionObserver* observer,
                  std::uint64_t seed)
      : network_(network),
        placement_(placement),
        endpoint_(endpoint),
        process_(network.scheduler(), placement.model.name, seed),
        host_(network.addHost(process_, endpoint, placement.location.zone,
                              placement.location.region)),
        model_((process_.start(), placement.model), observer, process_, process_, process_) {}

  const ApplicationPlacement& placement() const { return placement_; }
  const base::Endpoint& endpoint() const { return endpoint_; }
  HostId host() const { return host_; }
  Process& process() { return process_; }
  emulator::ApplicationModel& model() { return model_; }

  /// Ends the process at once; calls in progress get no answer.
  void crash() {
    if (process_.crashed()) return;
    process_.resume();
    // Broken first, so that what the model says while it dies reaches nobody.
    network_.breakConnections(host_);
    model_.crash();
    process_.crash();
  }
  void restart() {
    if (!process_.crashed()) return;
    process_.start();
    model_.restart();
  }

 private:
  Network& network_;
  ApplicationPlacement placement_;
  base::Endpoint endpoint_;
  Process process_;
  HostId host_;
  emulator::ApplicationModel model_;
};

}  // namespace covewing::sim
