#include "coordination/order.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include "coordination/json_values.h"

namespace covewing::coordination {

namespace {

constexpr std::array<std::string_view, 3> kTypeNames = {"load", "swap", "role"};
constexpr std::array<std::string_view, 6> kOrderStateNames = {"pending", "running", "rolling_back",
                                                              "done",    "failed",  "cancelled"};
constexpr std::array<std::string_view, 12> kStepStateNames = {
    "waiting",      "loading", "loaded", "unloading", "changing",  "draining",
    "rolling_back", "done",    "failed", "skipped",   "cancelled", "rolled_back"};
constexpr std::array<std::string_view, 2> kRoleNames = {"serving", "standby"};

template <class Enum, std::size_t size>
std::string_view nameOf(const std::array<std::string_view, size>& names, Enum value) {
  return names.at(static_cast<std::size_t>(value));
}

template <class Enum, std::size_t size>
std::optional<Enum> valueOf(const std::array<std::string_view, size>& names,
                            std::string_view name) {
  const auto found = std::ranges::find(names, name);
  if (found == names.end()) return std::nullopt;
  return static_cast<Enum>(found - names.begin());
}

Json jsonOf(const OrderStep& step) {
  return {{"engine", step.engine},
          {"state", toString(step.state)},
          {"detail", step.detail},
          {"executor", step.executor},
          {"elapsed_us", static_cast<std::uint64_t>(step.elapsed.count())},
          {"incarnation", step.incarnation},
          {"had_version", step.hadVersion},
          {"old_versions", step.oldVersions}};
}

std::optional<OrderStep> parseStep(const Json& json) {
  if (!json.is_object()) return std::nullopt;
  const auto state = valueOf<StepState>(kStepStateNames, textField(json, "state"));
  if (!state) return std::nullopt;
  OrderStep step;
  step.engine = textField(json, "engine");
  step.state = *state;
  step.detail = textField(json, "detail");
  step.executor = textField(json, "executor");
  step.elapsed = base::Duration(static_cast<base::Duration::rep>(numberField(json, "elapsed_us")));
  step.incarnation = numberField(json, "incarnation");
  step.hadVersion = booleanField(json, "had_version");
  const auto versions = json.find("old_versions");
  if (versions != json.end() && versions->is_array()) {
    for (const Json& version : *versions) {
      if (version.is_number_unsigned()) step.oldVersions.push_back(version.get<std::uint64_t>());
    }
  }
  return step;
}

bool parseSteps(const Json& json, std::vector<OrderStep>& steps) {
  const auto list = json.find("steps");
  if (list == json.end() || !list->is_array()) return false;
  for (const Json& element : *list) {
    auto step = parseStep(element);
    if (!step) return false;
    steps.push_back(std::move(*step));
  }
  return true;
}

}  // namespace

std::string_view toString(OrderType type) { return nameOf(kTypeNames, type); }
std::string_view toString(OrderState state) { return nameOf(kOrderStateNames, state); }
std::string_view toString(StepState state) { return nameOf(kStepStateNames, state); }
std::string_view toString(clients::EngineRole role) { return nameOf(kRoleNames, role); }

std::optional<OrderType> parseOrderType(std::string_view name) {
  return valueOf<OrderType>(kTypeNames, name);
}

std::optional<clients::EngineRole> parseEngineRole(std::string_view name) {
  return valueOf<clients::EngineRole>(kRoleNames, name);
}

bool isFinal(StepState state) {
  switch (state) {
    case StepState::kDone:
    case StepState::kFailed:
    case StepState::kSkipped:
    case StepState::kCancelled:
    case StepState::kRolledBack:
      return true;
    default:
      return false;
  }
}

bool isFinal(OrderState state) {
  return state == OrderState::kDone || state == OrderState::kFailed ||
         state == OrderState::kCancelled;
}

bool usesLoadSlot(StepState state) { return state == StepState::kLoading; }

bool isActive(StepState state) {
  return !isFinal(state) && state != StepState::kWaiting && state != StepState::kLoaded;
}

std::string orderIdOf(std::string_view operationId) {
  constexpr std::size_t kDigits = 16;
  std::array<char, kDigits + 1> text{};
  std::snprintf(text.data(), text.size(), "%016llx",
                static_cast<unsigned long long>(base::hashName(operationId)));
  return {text.data(), kDigits};
}

std::string orderPrefix(std::string_view region) { return "order/" + std::string(region) + "/"; }

std::string orderKey(std::string_view region, std::string_view id) {
  return orderPrefix(region) + std::string(id);
}

std::string encodeOrder(const Order& order) {
  Json steps = Json::array();
  for (const OrderStep& step : order.steps) steps.push_back(jsonOf(step));
  const Json json = {{"id", order.id},
                     {"region", order.region},
                     {"kind", toString(order.type)},
                     {"model", order.weights.model},
                     {"version", order.weights.version},
                     {"adapters", order.weights.adapters},
                     {"role", toString(order.role)},
                     {"parallel", order.parallel},
                     {"minimum_serving", order.minimumServing},
                     {"keep_old", order.keepOld},
                     {"operation", order.operationId},
                     {"author", order.author},
                     {"cancel_requested", order.cancelRequested},
                     {"state", toString(order.state)},
                     {"detail", order.detail},
                     {"nonce", order.nonce},
                     {"token", order.token},
                     {"steps", std::move(steps)}};
  return textOf(json);
}

std::optional<Order> parseOrder(std::string_view value, base::Revision revision,
                                base::Reason& reason) {
  reason = {base::ResultCode::kMessageMalformed, "the order row is not a valid order"};
  const Json json = Json::parse(value, nullptr, false);
  if (!json.is_object()) return std::nullopt;
  const auto type = parseOrderType(textField(json, "kind"));
  const auto state = valueOf<OrderState>(kOrderStateNames, textField(json, "state"));
  const auto role = parseEngineRole(textField(json, "role"));
  Order order;
  if (!type || !state || !role || !parseSteps(json, order.steps)) return std::nullopt;
  order.id = textField(json, "id");
  order.region = textField(json, "region");
  order.type = *type;
  order.weights.model = textField(json, "model");
  order.weights.version = numberField(json, "version");
  order.weights.adapters = textsField(json, "adapters");
  order.role = *role;
  order.parallel = static_cast<std::uint32_t>(numberField(json, "parallel"));
  order.minimumServing = static_cast<std::uint32_t>(numberField(json, "minimum_serving"));
  order.keepOld = booleanField(json, "keep_old");
  order.operationId = textField(json, "operation");
  order.author = textField(json, "author");
  order.cancelRequested = booleanField(json, "cancel_requested");
  order.state = *state;
  order.detail = textField(json, "detail");
  order.nonce = numberField(json, "nonce");
  order.token = numberField(json, "token");
  order.revision = revision;
  reason = {};
  return order;
}

}  // namespace covewing::coordination
