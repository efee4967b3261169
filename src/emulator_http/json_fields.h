/// \file
/// Typed access to the fields of a JSON object. The first missing or invalid field sets the reason;
/// reading a missing or invalid field returns a default value, so that a parser can check `ok` once
/// at the end.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result_code.h"

namespace covewing::emulator_http {

/// Parses a body; returns nullopt with a reason if it is not a JSON object.
std::optional<nlohmann::json> parseObject(std::string_view body, base::Reason& reason);

class JsonFields {
 public:
  /// `object` must be a JSON object. It and `reason` must outlive this instance.
  JsonFields(const nlohmann::json& object, base::Reason& reason)
      : object_(object), reason_(reason) {}

  bool ok() const { return ok_; }
  bool has(std::string_view name) const { return object_.contains(std::string(name)); }
  /// Each getter returns `fallback` if the field is absent; the field is required if the getter has
  /// no `fallback`.
  std::string text(std::string_view name);
  std::string text(std::string_view name, std::string fallback);
  std::uint64_t number(std::string_view name);
  std::uint64_t number(std::string_view name, std::uint64_t fallback);
  std::uint32_t number32(std::string_view name, std::uint32_t fallback);
  double real(std::string_view name, double fallback);
  std::uint64_t hexadecimal(std::string_view name, std::uint64_t fallback);
  std::vector<std::string> textList(std::string_view name);
  /// Elements of an array field; empty if the field is absent.
  std::vector<nlohmann::json> elements(std::string_view name);
  /// Records that a field is missing or invalid; only the first such field sets the reason.
  void fail(std::string_view name);

 private:
  const nlohmann::json* find(std::string_view name) const;

  const nlohmann::json& object_;
  base::Reason& reason_;
  bool ok_ = true;
};

}  // namespace covewing::emulator_http
