/// \file
/// The table of all settings: key, type, default, what is allowed, meaning. docs/SETTINGS.md holds
/// the same table.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "live/settings.h"

namespace covewing::live {

enum class SettingType : std::uint8_t { kText, kInteger, kEndpoint, kEndpointList };

/// Name of the type for people, such as "IPv4 address and port".
std::string_view toString(SettingType type);

/// A value of the type of its setting, not yet checked otherwise.
using SettingValue = std::variant<std::string, std::int64_t, std::vector<std::string>>;

struct SettingEntry {
  std::string_view key;
  SettingType type;
  /// As it would be written on the command line; empty: the setting must be given, except for
  /// lists.
  std::string_view defaultText;
  /// What is allowed, for people.
  std::string_view allowed;
  std::string_view meaning;
  /// Stores the value; false when it is not allowed.
  bool (*apply)(Settings& settings, const SettingValue& value);

  bool required() const { return defaultText.empty() && type != SettingType::kEndpointList; }
};

/// All settings, grouped by section.
std::span<const SettingEntry> settingsSchema();
/// Null when no setting has this key.
const SettingEntry* findSetting(std::string_view key);

}  // namespace covewing::live
