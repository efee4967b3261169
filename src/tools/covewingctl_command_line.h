/// \file
/// Command line of covewingctl: verbs, their options, and the parsed command line.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.h"

namespace covewing::tools {

/// Options of the command line; kOptionTable in the source file has their spelling and help text.
enum class Option : std::uint8_t {
  kNode,
  kKey,
  kKeyFile,
  kJson,
  kTimeout,
  kRounds,
  kOperator,
  kOperation,
  kHelp,
  kVersion,
  kIfVersion,
  kRetired,
  kEngine,
  kZone,
  kCount,
  kAdapter,
  kParallel,
  kMinimumServing,
  kKeepOld,
};

/// Identifies a verb; selects the request that it sends and the format of its output.
enum class VerbId : std::uint8_t {
  kTemplateCreate,
  kTemplateChange,
  kTemplateRetire,
  kTemplateGet,
  kTemplateList,
  kTemplateHistory,
  kTemplateExpand,
  kOrderLoad,
  kOrderSwap,
  kOrderRole,
  kOrderList,
  kOrderShow,
  kOrderCancel,
  kFleet,
  kNode,
  kExplain,
  kCheckSettings,
};

struct Verb {
  VerbId id;
  /// One or two words, such as "template create".
  std::string_view words;
  /// Positional arguments as shown in the help.
  std::string_view arguments;
  std::size_t minimumArguments;
  std::size_t maximumArguments;
  std::string_view summary;
  std::string_view details;
  /// Options that the verb accepts besides the common ones.
  std::span<const Option> options;
};

std::span<const Verb> verbTable();

/// A parsed command line. Absent options keep their defaults.
struct CommandLine {
  /// Null if no verb was given, which is valid only with `help` or `showVersion`.
  const Verb* verb = nullptr;
  std::vector<std::string> arguments;
  bool help = false;
  bool showVersion = false;
  bool json = false;
  std::vector<base::Endpoint> nodes;
  std::string key;
  std::string keyFile;
  std::chrono::milliseconds timeout = std::chrono::seconds(10);
  unsigned rounds = 3;
  std::string operatorName;
  std::string operationId;
  std::optional<std::uint64_t> ifVersion;
  bool retired = false;
  std::vector<std::string> engines;
  std::string zone;
  std::optional<std::uint64_t> count;
  std::vector<std::string> adapters;
  std::optional<std::uint64_t> parallel;
  std::optional<std::uint64_t> minimumServing;
  bool keepOld = false;
};

/// Parses the command line; returns nullopt with the error in `errorText` if it is invalid.
std::optional<CommandLine> parseCommandLine(int argc, char* const argv[], std::string& errorText);

/// Parses an unsigned decimal integer; returns nullopt if the text is anything else or does not fit
/// into 64 bits.
std::optional<std::uint64_t> parseNumber(std::string_view text);

/// Returns the help page of the verb, or of the whole program if `verb` is null.
std::string helpPage(const Verb* verb);

}  // namespace covewing::tools
