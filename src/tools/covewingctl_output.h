/// \file
/// Prints a node's JSON answers as tables and lines for people.
#pragma once

#include <iosfwd>
#include <string>

#include "tools/covewingctl_command_line.h"

namespace covewing::tools {

/// Prints the answer of a call that was done.
void printResponse(VerbId verb, const std::string& body, std::ostream& output);
/// Prints a refusal: code, detail, each field's mistake, what is in force.
void printRefusal(const std::string& body, std::ostream& output);

}  // namespace covewing::tools
