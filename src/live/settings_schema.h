/// \file
/// The table of all settings: key, type, default, allowed values and meaning. docs/SETTINGS.md
/// contains the same table.
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

/// Returns the name of the type for documentation and messages, such as "list of addresses".
std::string_view toString(SettingType type);

/// A value that has the type of its setting but has not been checked otherwise.
using SettingValue = std::variant<std::string, std::int64_t, std::vector<std::string>>;

struct SettingEntry {
  std::string_view key;
  SettingType type;
  /// The default as it would be written on the command line. Empty if the setting has no default
  /// and must be given, or if it is a list, which is then empty.
  std::string_view defaultText;
  /// Description of the allowed values.
  std::string_view allowed;
  std::string_view meaning;
  /// Stores the value in `settings`. Returns false if the value is not allowed.
  bool (*apply)(Settings& settings, const SettingValue& value);

  bool required() const { return defaultText.empty() && type != SettingType::kEndpointList; }
};

/// Returns all settings, grouped by section.
std::span<const SettingEntry> settingsSchema();
/// Returns null if no setting has this key.
const SettingEntry* findSetting(std::string_view key);

}  // namespace covewing::live
