/// \file
/// Settings of one node: a TOML file, each value of which a flag may override (docs/SETTINGS.md).
///
/// A file is checked whole: every mistake is reported, with file, line, key and what is allowed.
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

/// One mistake in a settings file or flag.
struct SettingsMistake {
  /// Name of the file, or "command line".
  std::string file;
  /// From 1; 0 where no line is known.
  std::uint32_t line = 0;
  /// Empty when the file as a whole is meant.
  std::string key;
  /// What is wrong and what is allowed.
  std::string problem;
};

/// "FILE:LINE: KEY: PROBLEM".
std::string toText(const SettingsMistake& mistake);

/// The value of a setting given by a flag.
struct SettingOverride {
  std::string key;
  std::string text;
};

/// Text of a settings file and where it came from.
struct SettingsSource {
  std::string file;
  std::string text;
};

/// Parses and checks. Empty when `mistakes` is not. Without a source, flags must give all that has
/// no default.
std::optional<Settings> loadSettings(const std::optional<SettingsSource>& source,
                                     const std::vector<SettingOverride>& overrides,
                                     std::vector<SettingsMistake>& mistakes);

}  // namespace covewing::live
