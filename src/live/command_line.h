/// \file
/// Command line of covewingd: `--settings FILE`, `--check FILE`, `--help`, and a flag for each
/// setting, named as its key with dashes (`listen.caller` is `--listen-caller`).
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "live/settings.h"

namespace covewing::live {

enum class CommandMode { kRun, kCheck, kHelp };

struct CommandLine {
  CommandMode mode = CommandMode::kRun;
  /// Empty: no file, flags only.
  std::string settingsFile;
  std::vector<SettingOverride> overrides;
};

/// Parses with getopt_long. Empty, with a text for people, for an unknown or incomplete flag.
std::optional<CommandLine> parseCommandLine(int argumentCount, char** arguments,
                                            std::string& problem);

/// Help text: usage and each setting.
std::string helpText();

}  // namespace covewing::live
