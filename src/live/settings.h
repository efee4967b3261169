/// \file
/// Settings of one node, read from a TOML file. A flag may override any of them (docs/SETTINGS.md).
///
/// All settings are checked, and every mistake is reported, with file, line, key and the allowed
/// values.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.h"
#include "base/event_log.h"
#include "base/time.h"

namespace covewing::live {

struct Settings {
  std::string name;
  std::string zone;
  std::string region;

  base::Endpoint callerEndpoint;
  base::Endpoint operatorEndpoint;
  base::Endpoint peerEndpoint;
  base::Endpoint metricsEndpoint;
  std::vector<base::Endpoint> seeds;

  base::Endpoint tableEndpoint;
  base::Endpoint objectsEndpoint;
  base::Endpoint machinesEndpoint;
  base::Duration platformTimeout{};

  std::size_t openRequests = 0;
  std::size_t loadSlots = 0;
  std::size_t connections = 0;
  std::size_t bodyBytes = 0;
  std::size_t headerBytes = 0;
  std::size_t responseBufferBytes = 0;
  base::Duration stallTimeout{};
  base::Duration drainTimeout{};

  std::string operatorKey;
  std::string routingPolicy;
  base::Duration freshnessBound{};
  base::Severity logSeverity = base::Severity::kInfo;
};

/// One mistake in a settings file or a flag.
struct SettingsMistake {
  /// Name of the file, or "command line".
  std::string file;
  /// Line number, starting at 1; 0 if the line is unknown.
  std::uint32_t line = 0;
  /// Key of the setting or name of the section; empty if the mistake concerns the file as a whole.
  std::string key;
  /// What is wrong and which values are allowed.
  std::string problem;
};

/// Returns "FILE:LINE: KEY: PROBLEM", without an unknown line and an empty key.
std::string toText(const SettingsMistake& mistake);

/// Value of a setting that was given by a flag.
struct SettingOverride {
  std::string key;
  std::string text;
};

/// Name and text of a settings file.
struct SettingsSource {
  std::string file;
  std::string text;
};

/// Parses and checks the settings. Returns nothing if `mistakes` is not empty afterwards. Without a
/// source, `overrides` must contain all settings that have no default.
std::optional<Settings> loadSettings(const std::optional<SettingsSource>& source,
                                     const std::vector<SettingOverride>& overrides,
                                     std::vector<SettingsMistake>& mistakes);

}  // namespace covewing::live
