/// \file
/// Command line of covewingd: `--settings FILE`, `--check FILE`, `--help`, and one flag per
/// setting, whose name is the setting's key with dashes (`--listen-caller` for `listen.caller`).
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "live/settings.h"

namespace covewing::live {

enum class CommandMode { kRun, kCheck, kHelp };

struct CommandLine {
  CommandMode mode = CommandMode::kRun;
  /// Path of the settings file; empty if there is none and all settings come from flags.
  std::string settingsFile;
  std::vector<SettingOverride> overrides;
};

/// Parses the arguments with getopt_long. Returns nothing, with a message for the user in
/// `problem`, if a flag is unknown or lacks its value, or if an argument is not a flag.
std::optional<CommandLine> parseCommandLine(int argumentCount, char** arguments,
                                            std::string& problem);

/// Returns the help text: the usage and a description of each setting.
std::string helpText();

}  // namespace covewing::live
