#include "emulator_http/json_fields.h"

#include <limits>

#include "emulator/hexadecimal.h"

namespace covewing::emulator_http {

using base::Reason;
using base::ResultCode;
using nlohmann::json;

std::optional<json> parseObject(std::string_view body, Reason& reason) {
  json parsed = json::parse(body, nullptr, false);
  if (parsed.is_discarded()) {
    reason = Reason{ResultCode::kMalformedJson, "body"};
    return std::nullopt;
  }
  if (!parsed.is_object()) {
    reason = Reason{ResultCode::kInvalidField, "body is not an object"};
    return std::nullopt;
  }
  return parsed;
}

void JsonFields::fail(std::string_view name) {
  if (!ok_) return;
  ok_ = false;
  reason_ = Reason{ResultCode::kInvalidField, std::string(name)};
}

const json* JsonFields::find(std::string_view name) const {
  const auto found = object_.find(std::string(name));
  return found == object_.end() || found->is_null() ? nullptr : &*found;
}

std::string JsonFields::text(std::string_view name) {
  if (find(name) == nullptr) fail(name);
  return text(name, {});
}

std::string JsonFields::text(std::string_view name, std::string fallback) {
  const json* value = find(name);
  if (value == nullptr) return fallback;
  if (value->is_string()) return value->get<std::string>();
  fail(name);
  return fallback;
}

std::uint64_t JsonFields::number(std::string_view name) {
  if (find(name) == nullptr) fail(name);
  return number(name, 0);
}

std::uint64_t JsonFields::number(std::string_view name, std::uint64_t fallback) {
  const json* value = find(name);
  if (value == nullptr) return fallback;
  if (value->is_number_unsigned()) return value->get<std::uint64_t>();
  fail(name);
  return fallback;
}

std::uint32_t JsonFields::number32(std::string_view name, std::uint32_t fallback) {
  const std::uint64_t value = number(name, fallback);
  if (value <= std::numeric_limits<std::uint32_t>::max()) return static_cast<std::uint32_t>(value);
  fail(name);
  return fallback;
}

double JsonFields::real(std::string_view name, double fallback) {
  const json* value = find(name);
  if (value == nullptr) return fallback;
  if (value->is_number()) return value->get<double>();
  fail(name);
  return fallback;
}

std::uint64_t JsonFields::hexadecimal(std::string_view name, std::uint64_t fallback) {
  if (find(name) == nullptr) return fallback;
  const auto value = emulator::parseHexadecimal(text(name, {}));
  if (!value) fail(name);
  return value.value_or(fallback);
}

std::vector<std::string> JsonFields::textList(std::string_view name) {
  std::vector<std::string> values;
  for (const json& each : elements(name)) {
    if (!each.is_string()) {
      fail(name);
      return {};
    }
    values.push_back(each.get<std::string>());
  }
  return values;
}

std::vector<json> JsonFields::elements(std::string_view name) {
  const json* value = find(name);
  if (value == nullptr) return {};
  if (value->is_array()) return value->get<std::vector<json>>();
  fail(name);
  return {};
}

}  // namespace covewing::emulator_http
