#include "live/command_line.h"

#include <fmt/format.h>
#include <getopt.h>

#include <algorithm>

#include "live/settings_schema.h"

namespace covewing::live {

namespace {

constexpr int kSettingsFlag = 's';
constexpr int kCheckFlag = 'c';
constexpr int kHelpFlag = 'h';
/// Codes of the settings' flags start here, above all character codes.
constexpr int kFirstSettingFlag = 256;

std::string flagName(std::string_view key) {
  std::string name{key};
  std::ranges::replace(name, '.', '-');
  std::ranges::replace(name, '_', '-');
  return name;
}

/// The option table for getopt_long, together with the names that its entries point to.
struct OptionTable {
  OptionTable() {
    const auto schema = settingsSchema();
    names.reserve(schema.size());
    for (const auto& entry : schema) names.push_back(flagName(entry.key));
    options = {{"settings", required_argument, nullptr, kSettingsFlag},
               {"check", required_argument, nullptr, kCheckFlag},
               {"help", no_argument, nullptr, kHelpFlag}};
    int value = kFirstSettingFlag;
    for (const auto& name : names)
      options.push_back({name.c_str(), required_argument, nullptr, value++});
    options.push_back({nullptr, 0, nullptr, 0});
  }

  std::vector<std::string> names;
  std::vector<option> options;
};

void applyFlag(int flag, std::string value, CommandLine& commandLine) {
  switch (flag) {
    case kSettingsFlag:
      commandLine.settingsFile = std::move(value);
      break;
    case kCheckFlag:
      commandLine.mode = CommandMode::kCheck;
      commandLine.settingsFile = std::move(value);
      break;
    case kHelpFlag:
      commandLine.mode = CommandMode::kHelp;
      break;
    default: {
      const auto index = static_cast<std::size_t>(flag - kFirstSettingFlag);
      commandLine.overrides.push_back({std::string{settingsSchema()[index].key}, std::move(value)});
    }
  }
}

}  // namespace

std::optional<CommandLine> parseCommandLine(int argumentCount, char** arguments,
                                            std::string& problem) {
  const OptionTable table;
  CommandLine commandLine;
  optind = 0;
  opterr = 0;
  for (;;) {
    const int position = std::max(optind, 1);
    const int flag = getopt_long(argumentCount, arguments, ":s:c:h", table.options.data(), nullptr);
    if (flag == -1) break;
    if (flag == '?' || flag == ':') {
      const std::string flagText = position < argumentCount ? arguments[position] : "";
      problem = (flag == '?' ? "unknown flag " : "value missing for ") + flagText;
      return std::nullopt;
    }
    applyFlag(flag, optarg == nullptr ? std::string{} : std::string{optarg}, commandLine);
  }
  if (optind < argumentCount) {
    problem = std::string{"unexpected argument "} + arguments[optind];
    return std::nullopt;
  }
  return commandLine;
}

std::string helpText() {
  std::string text =
      "usage: covewingd [--settings FILE] [--SETTING VALUE]...\n"
      "       covewingd --check FILE\n\n"
      "Runs one node until SIGTERM, which drains it; a second SIGTERM ends it at once.\n"
      "--check only checks a settings file: exit status 0 when it is right, 2 when not.\n"
      "Each setting of the file can be given or overridden by a flag:\n\n";
  for (const auto& entry : settingsSchema()) {
    text += fmt::format("  --{} VALUE\n      {} ({}", flagName(entry.key), entry.meaning,
                        entry.allowed);
    text += entry.defaultText.empty() ? ")\n" : fmt::format("; default {})\n", entry.defaultText);
  }
  return text;
}

}  // namespace covewing::live
