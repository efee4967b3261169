/// \file
/// The platform's list of live and leaving machines. It lags: an entry may be gone, or missing, by
/// several seconds, so it is a hint that other evidence confirms.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/endpoint.h"

namespace covewing::clients {

enum class MachineKind : std::uint8_t { kEngine, kApplication, kNode, kKeptCacheStore };
enum class MachineState : std::uint8_t { kLive, kLeaving };

struct Machine {
  std::string name;
  MachineKind kind = MachineKind::kEngine;
  MachineState state = MachineState::kLive;
  base::Endpoint endpoint;
  std::string zone;
  std::string region;
  /// For applications: the name of the application it is a replica of.
  std::string application;
  bool operator==(const Machine&) const = default;
};

/// Empty when the list could not be had.
using MachineListCallback = std::function<void(std::optional<std::vector<Machine>>)>;

class MachineListClient {
 public:
  virtual ~MachineListClient() = default;
  /// Answers exactly once, later, on the node's thread.
  virtual void fetch(MachineListCallback callback) = 0;
};

}  // namespace covewing::clients
