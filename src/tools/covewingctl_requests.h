/// \file
/// The operator call that a command line stands for.
#pragma once

#include <optional>
#include <string>

#include "tools/covewingctl_client.h"
#include "tools/covewingctl_command_line.h"

namespace covewing::tools {

/// Builds the call; empty with the mistake. `document` is the content of the verb's FILE argument,
/// where it has one, and `version` the version to replace, where one is needed.
std::optional<ApiCall> makeCall(const CommandLine& line, const std::string& document,
                                std::string& errorText);

/// Name of the template that the command line is about.
std::string templateName(const CommandLine& line);
/// The command line's FILE argument; empty when the verb has none.
std::string fileArgument(const CommandLine& line);
/// The call changes something, so that it needs an operation identifier.
bool isMutation(VerbId verb);

}  // namespace covewing::tools
