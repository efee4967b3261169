/// \file
/// Actions that an operator of the emulator or a scenario file can trigger (docs/EMULATOR.md,
/// "Actions and scenarios").
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

/// Machine name that selects every machine of the kind that the action applies to.
inline constexpr std::string_view kAllMachines = "*";

enum class MachineVerb { kCrash, kRestart, kPause, kResume, kLeave };
/// Changes the process state of engines or application replicas.
struct MachineAction {
  MachineVerb verb = MachineVerb::kCrash;
  std::string machine;
};

/// Sets how engines publish cache events; absent fields keep their current values.
struct CacheEventAction {
  std::string machine;
  std::optional<double> lossRate;
  std::optional<std::uint32_t> lossBurst;
  std::optional<base::Duration> delay;
  /// Marks all events that are published and still retained as lost.
  bool loseKept = false;
};

enum class Service { kTable, kObjectStore, kMachineList, kWeightStore, kKeptCacheStore };
/// Sets the mode and the faults of a service; absent fields keep their current values.
struct ServiceAction {
  Service service = Service::kTable;
  std::optional<emulator::ServiceMode> mode;
  std::optional<base::Duration> slowLatency;
  std::optional<double> answerLoss;
  std::optional<std::uint32_t> loseNextAnswers;
  std::optional<double> rateLimit;
  std::optional<base::Duration> lag;
};

/// Replaces the injected faults of application replicas.
struct ApplicationFaultAction {
  std::string machine;
  emulator::ApplicationFaults faults;
};

/// Adds a machine that runs outside the emulator, such as a node, to the machine list.
struct ListMachineAction {
  clients::Machine machine;
};
/// Removes a machine from the machine list.
struct UnlistMachineAction {
  std::string machine;
};

using Action = std::variant<MachineAction, CacheEventAction, ServiceAction, ApplicationFaultAction,
                            ListMachineAction, UnlistMachineAction>;

/// An action and the time at which it is applied, counted from the start of the emulator.
struct TimedAction {
  base::Duration at{};
  Action action;
};

std::optional<Action> parseAction(const nlohmann::json& object, base::Reason& reason);
/// Parses a scenario: `{"actions": [{"at_ms": N, "action": ...}, ...]}`.
std::optional<std::vector<TimedAction>> parseScenario(std::string_view text, base::Reason& reason);

}  // namespace covewing::emulator_http
