/// \file
/// Which faults excuse a late effect: a bound that needs the network is counted from the end of a
/// fault that took the network, or the process itself, away. All other faults excuse nothing.
#pragma once

#include <string>

#include "sim/history.h"

namespace covewing::sim {

/// Parts of the fleet cannot reach each other.
inline bool isCut(const FaultRecord& fault) {
  return fault.kind == "zone-cut" || fault.kind == "regions-apart";
}

/// The named process stands still.
inline bool isPauseOf(const FaultRecord& fault, const std::string& process) {
  const bool pause =
      fault.kind == "node-pause" || fault.kind == "holder-pause" || fault.kind == "engine-pause";
  return pause && fault.subject == process;
}

/// No node is left that could have kept anything.
inline bool isHerdRestart(const FaultRecord& fault) { return fault.kind == "herd-restart"; }

}  // namespace covewing::sim
