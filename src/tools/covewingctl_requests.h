/// \file
/// Builds the operator API call for a command line.
#pragma once

#include <optional>
#include <string>

#include "tools/covewingctl_client.h"
#include "tools/covewingctl_command_line.h"

namespace covewing::tools {

/// Builds the call; returns nullopt with the error in `errorText` if that is not possible.
/// `document` is the content of the verb's FILE argument, if it has one. The version to replace, if
/// the verb needs one, is `line.ifVersion`.
std::optional<ApiCall> makeCall(const CommandLine& line, const std::string& document,
                                std::string& errorText);

/// Returns the name of the template that the command line refers to.
std::string templateName(const CommandLine& line);
/// Returns the command line's FILE argument; empty if the verb has none.
std::string fileArgument(const CommandLine& line);
/// Returns whether the verb changes state, so that its call needs an operation identifier.
bool isMutation(VerbId verb);

}  // namespace covewing::tools
