/// \file
/// Tolerant reading of JSON fields of rows that this project wrote: a missing or odd field reads as
/// its zero value. Internal to this folder.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace covewing::coordination {

using Json = nlohmann::json;

/// Compact text; never throws on malformed UTF-8.
std::string textOf(const Json& json);
std::string textField(const Json& object, std::string_view name);
std::uint64_t numberField(const Json& object, std::string_view name);
bool booleanField(const Json& object, std::string_view name);
std::vector<std::string> textsField(const Json& object, std::string_view name);

}  // namespace covewing::coordination
