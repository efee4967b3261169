#include "emulator_http/action.h"

#include <array>
#include <utility>

#include "emulator_http/json_fields.h"
#include "emulator_http/wire.h"

namespace covewing::emulator_http {

using base::Reason;
using emulator::ServiceMode;
using nlohmann::json;

namespace {

template <class Value>
struct NamedValue {
  std::string_view name;
  Value value;
};
// Clang 14 does not support class template argument deduction for aggregates.
template <class Value>
NamedValue(std::string_view, Value) -> NamedValue<Value>;

constexpr std::array kMachineVerbs = {
    NamedValue{"crash", MachineVerb::kCrash}, NamedValue{"restart", MachineVerb::kRestart},
    NamedValue{"pause", MachineVerb::kPause}, NamedValue{"resume", MachineVerb::kResume},
    NamedValue{"leave", MachineVerb::kLeave},
};
constexpr std::array kServices = {
    NamedValue{"table", Service::kTable},
    NamedValue{"object_store", Service::kObjectStore},
    NamedValue{"machine_list", Service::kMachineList},
    NamedValue{"weight_store", Service::kWeightStore},
    NamedValue{"kept_cache_store", Service::kKeptCacheStore},
};
constexpr std::array kServiceModes = {
    NamedValue{"normal", ServiceMode::kNormal},
    NamedValue{"slow", ServiceMode::kSlow},
    NamedValue{"down", ServiceMode::kDown},
};

template <class Value, std::size_t Size>
std::optional<Value> findValue(const std::array<NamedValue<Value>, Size>& names,
                               std::string_view name) {
  for (const NamedValue<Value>& entry : names) {
    if (entry.name == name) return entry.value;
  }
  return std::nullopt;
}

std::optional<base::Duration> milliseconds(JsonFields& fields, std::string_view name) {
  if (!fields.has(name)) return std::nullopt;
  return std::chrono::milliseconds(fields.number32(name, 0));
}

std::optional<double> probability(JsonFields& fields, std::string_view name) {
  if (!fields.has(name)) return std::nullopt;
  const double value = fields.real(name, 0.0);
  if (value < 0.0 || value > 1.0) fields.fail(name);
  return value;
}

std::optional<std::uint32_t> count(JsonFields& fields, std::string_view name) {
  if (!fields.has(name)) return std::nullopt;
  return fields.number32(name, 0);
}

Action parseCacheEvents(JsonFields& fields) {
  CacheEventAction action;
  action.machine = fields.text("machine");
  action.lossRate = probability(fields, "loss_rate");
  // A rate of 1 is rejected: an engine that loses all its events is indistinguishable from a dead
  // one.
  if (action.lossRate == 1.0) fields.fail("loss_rate");
  action.lossBurst = count(fields, "loss_burst");
  if (action.lossBurst == 0U) fields.fail("loss_burst");
  action.delay = milliseconds(fields, "delay_ms");
  action.loseKept = fields.number("lose_kept", 0) != 0;
  return action;
}

Action parseService(JsonFields& fields) {
  ServiceAction action;
  const auto service = findValue(kServices, fields.text("service"));
  if (!service) fields.fail("service");
  action.service = service.value_or(Service::kTable);
  if (fields.has("mode")) {
    action.mode = findValue(kServiceModes, fields.text("mode"));
    if (!action.mode) fields.fail("mode");
  }
  action.slowLatency = milliseconds(fields, "slow_latency_ms");
  action.answerLoss = probability(fields, "answer_loss");
  action.loseNextAnswers = count(fields, "lose_next_answers");
  if (fields.has("rate_limit")) action.rateLimit = fields.real("rate_limit", 0.0);
  action.lag = milliseconds(fields, "lag_ms");
  return action;
}

Action parseApplicationFaults(JsonFields& fields) {
  ApplicationFaultAction action;
  action.machine = fields.text("machine");
  emulator::ApplicationFaults& faults = action.faults;
  faults.refuse = probability(fields, "refuse").value_or(0.0);
  faults.loseAnswer = probability(fields, "lose_answer").value_or(0.0);
  faults.delayAnswer = probability(fields, "delay_answer").value_or(0.0);
  faults.crossAnswer = probability(fields, "cross_answer").value_or(0.0);
  faults.delay = milliseconds(fields, "delay_ms").value_or(faults.delay);
  return action;
}

Action parseListMachine(JsonFields& fields) {
  clients::Machine machine;
  machine.name = fields.text("machine");
  const auto kind = parseMachineKind(fields.text("kind"));
  if (!kind) fields.fail("kind");
  machine.kind = kind.value_or(clients::MachineKind::kNode);
  const std::string state = fields.text("state", "live");
  if (state != "live" && state != "leaving") fields.fail("state");
  machine.state =
      state == "leaving" ? clients::MachineState::kLeaving : clients::MachineState::kLive;
  const auto endpoint = base::parseEndpoint(fields.text("endpoint"));
  if (!endpoint) fields.fail("endpoint");
  machine.endpoint = endpoint.value_or(base::Endpoint{});
  machine.zone = fields.text("zone");
  machine.region = fields.text("region");
  machine.application = fields.text("application", {});
  return ListMachineAction{std::move(machine)};
}

Action parseByName(JsonFields& fields, std::string_view name) {
  if (const auto verb = findValue(kMachineVerbs, name)) {
    return MachineAction{*verb, fields.text("machine")};
  }
  if (name == "cache_events") return parseCacheEvents(fields);
  if (name == "service") return parseService(fields);
  if (name == "application_faults") return parseApplicationFaults(fields);
  if (name == "list_machine") return parseListMachine(fields);
  if (name == "unlist_machine") return UnlistMachineAction{fields.text("machine")};
  fields.fail("action");
  return MachineAction{};
}

}  // namespace

std::optional<Action> parseAction(const json& object, Reason& reason) {
  if (!object.is_object()) {
    reason = Reason{base::ResultCode::kInvalidField, "action is not an object"};
    return std::nullopt;
  }
  JsonFields fields(object, reason);
  Action action = parseByName(fields, fields.text("action"));
  if (!fields.ok()) return std::nullopt;
  return action;
}

std::optional<std::vector<TimedAction>> parseScenario(std::string_view text, Reason& reason) {
  const auto object = parseObject(text, reason);
  if (!object) return std::nullopt;
  JsonFields fields(*object, reason);
  std::vector<TimedAction> actions;
  const std::vector<json> entries = fields.elements("actions");
  if (!fields.ok()) return std::nullopt;
  for (std::size_t index = 0; index < entries.size(); ++index) {
    auto action = parseAction(entries[index], reason);
    if (!action) {
      reason.detail = "actions[" + std::to_string(index) + "]: " + reason.detail;
      return std::nullopt;
    }
    JsonFields timing(entries[index], reason);
    const base::Duration at = std::chrono::milliseconds(timing.number32("at_ms", 0));
    if (!timing.ok()) return std::nullopt;
    actions.push_back(TimedAction{at, *std::move(action)});
  }
  return actions;
}

}  // namespace covewing::emulator_http
