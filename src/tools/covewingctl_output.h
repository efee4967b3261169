/// \file
/// Prints a node's JSON responses as human-readable tables and lines.
#pragma once

#include <iosfwd>
#include <string>

#include "tools/covewingctl_command_line.h"

namespace covewing::tools {

/// Prints the response to a successful call.
void printResponse(VerbId verb, const std::string& body, std::ostream& output);
/// Prints a refusal: its code, name and detail, the error of each invalid field, and the version
/// that is in force, if the response has it.
void printRefusal(const std::string& body, std::ostream& output);

}  // namespace covewing::tools
