/// \file
/// Lenient access to JSON fields of rows that covewing itself writes: a field that is missing or of
/// another type reads as its zero value. Internal to this folder.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace covewing::coordination {

using Json = nlohmann::json;

/// Serializes without white space; malformed UTF-8 is replaced and does not throw.
std::string textOf(const Json& json);
std::string textField(const Json& object, std::string_view name);
std::uint64_t numberField(const Json& object, std::string_view name);
bool booleanField(const Json& object, std::string_view name);
std::vector<std::string> textsField(const Json& object, std::string_view name);

}  // namespace covewing::coordination
