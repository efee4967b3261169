/// \file
/// What an operator of the emulator or a scenario file can make happen (docs/EMULATOR.md, "Actions
/// and scenarios").
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/result_code.h"
#include "base/time.h"
#include "clients/machine_list_client.h"
#include "emulator/application_model.h"
#include "emulator/service_conditions.h"

namespace covewing::emulator_http {

/// Selects every machine of the right kind.
inline constexpr std::string_view kAllMachines = "*";

enum class MachineVerb { kCrash, kRestart, kPause, kResume, kLeave };
/// Changes the life of engines or application replicas.
struct MachineAction {
  MachineVerb verb = MachineVerb::kCrash;
  std::string machine;
};

/// Sets how engines publish cache events; fields left out stay as they are.
struct CacheEventAction {
  std::string machine;
  std::optional<double> lossRate;
  std::optional<std::uint32_t> lossBurst;
  std::optional<base::Duration> delay;
  /// Loses what was published and is still kept.
  bool loseKept = false;
};

enum class Service { kTable, kObjectStore, kMachineList, kWeightStore, kKeptCacheStore };
/// Sets a service's condition; fields left out stay as they are.
struct ServiceAction {
  Service service = Service::kTable;
  std::optional<emulator::ServiceMode> mode;
  std::optional<base::Duration> slowLatency;
  std::optional<double> answerLoss;
  std::optional<std::uint32_t> loseNextAnswers;
  std::optional<double> rateLimit;
  std::optional<base::Duration> lag;
};

/// Replaces the faults of application replicas.
struct ApplicationFaultAction {
  std::string machine;
  emulator::ApplicationFaults faults;
};

/// Lists a machine that runs outside the emulator, such as a node.
struct ListMachineAction {
  clients::Machine machine;
};
struct UnlistMachineAction {
  std::string machine;
};

using Action = std::variant<MachineAction, CacheEventAction, ServiceAction, ApplicationFaultAction,
                            ListMachineAction, UnlistMachineAction>;

/// An action and when it happens, from the start of the emulator.
struct TimedAction {
  base::Duration at{};
  Action action;
};

std::optional<Action> parseAction(const nlohmann::json& object, base::Reason& reason);
/// Parses a scenario: `{"actions": [{"at_ms": N, "action": ...}, ...]}`.
std::optional<std::vector<TimedAction>> parseScenario(std::string_view text, base::Reason& reason);

}  // namespace covewing::emulator_http
